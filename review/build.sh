#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the review start, into build-review/.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S . -B build-review -G Ninja -DCMAKE_BUILD_TYPE=Release -DCLEMENTINELIFT_TESTS=OFF \
    -DCMAKE_PROJECT_clementinelift_INCLUDE="$PWD/review/targets.cmake" >/dev/null
cmake --build build-review --target review-recover review-stale review-cancel review-lapse
