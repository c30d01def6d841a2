#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/6 to review/10 start, into build-review-2/.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S . -B build-review-2 -G Ninja -DCMAKE_BUILD_TYPE=Release -DCLEMENTINELIFT_TESTS=OFF \
    "-DCMAKE_PROJECT_clementinelift_INCLUDE=$PWD/review/targets-2.cmake"
cmake --build build-review-2 -j8 --target review-2-settings_stop review-2-late_start_after_restart \
    review-2-store_down_twice review-2-configuration_after_outage review-2-crash_after_unseen_end
