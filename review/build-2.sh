#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/6 to review/10 start, into build-review-2/.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S . -B build-review-2 -G Ninja -DCMAKE_BUILD_TYPE=Release -DCLEMENTINELIFT_TESTS=OFF \
    "-DCMAKE_PROJECT_clementinelift_INCLUDE=$PWD/review/targets-2.cmake"
targets=()
for source in review/second/*.cpp; do
    name=$(basename "$source" .cpp)
    [ "$name" = deployment ] || targets+=("review-2-$name")
done
cmake --build build-review-2 -j8 --target "${targets[@]}"
