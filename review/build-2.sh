#!/usr/bin/env bash
# Builds the stand-ins of the second review's cases into target/review-2/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/[4-8]/test/case.cc; do
  [ -e "$source" ] || continue
  number=$(basename "$(dirname "$(dirname "$source")")")
  g++ -std=c++20 -O1 -Wall -Wextra -pthread "$source" review/rig/test/rig.cc \
    -o "target/review-2/case-$number"
done
