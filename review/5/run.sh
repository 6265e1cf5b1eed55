#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.."
[ -x review/bin/case5 ] && [ -x target/bin/galenawell-node ] || exit 2
exec timeout --kill-after=5 115 review/bin/case5 review/5/record.txt
