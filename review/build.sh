#!/usr/bin/env bash
# Builds the programs of the cases, with their stand-ins, into review/bin/.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p bin
for source in [0-9]/case.cpp; do
    number="${source%%/*}"
    g++ -std=c++20 -O1 -Wall -Wextra -pthread "$source" -o "bin/case$number"
done
