# Settings shared by the build scripts; sourced by them.
export CCACHE_SLOPPINESS=pch_defines,time_macros,include_file_mtime,include_file_ctime
export CCACHE_MAXSIZE=4G
# A fixed seed, so that property-based tests generate the same cases in every run.
export RC_PARAMS="${RC_PARAMS:-seed=20261204}"
GALENAWELL_JOBS="${GALENAWELL_JOBS:-$(nproc)}"
export GALENAWELL_JOBS
# Lets builds in different worktrees share cached objects.
export CCACHE_BASEDIR="$PWD"
export CCACHE_NOHASHDIR=1
