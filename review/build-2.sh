#!/usr/bin/env bash
# Builds the stand-ins of the scripts in review/6 to review/10 into target/review-2/. Needs only the compiler.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/6/scenario.cpp review/7/scenario.cpp review/8/scenario.cpp review/9/scenario.cpp review/10/scenario.cpp; do
    [ -f "$source" ] || continue
    number="$(basename "$(dirname "$source")")"
    g++ -std=c++20 -O1 -pthread -Wall -Wextra -Wno-missing-field-initializers -Ireview/standin-2 "$source" review/standin-2/platform.cpp -o "target/review-2/case-$number"
done
