#!/bin/sh
# Builds the stand-ins that the scripts of review/11 and later start, into target/review-3. Needs g++ only.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for source in review/standin-3/*.cpp; do
    name=$(basename "$source" .cpp)
    g++ -std=c++20 -O1 -pthread -Wall -Wextra -o "target/review-3/$name" "$source"
done
