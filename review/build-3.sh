#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 13 into target/review-3/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for source in review/*_3.cpp; do
    name=$(basename "$source" _3.cpp)
    "${CXX:-g++}" -std=c++20 -O2 -Wall -Wextra -pthread -o "target/review-3/${name//_/-}" "$source" &
    builds="${builds:-} $!"
done
for build in $builds; do wait "$build"; done
