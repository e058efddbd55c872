#!/usr/bin/env bash
# Builds the stand-ins of the second review's cases into target/review-2/. Run it
# after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-2
source=review/stand_ins_2
mkdir -p "$out"
for file in "$source"/*.cpp; do
  program=$(basename "$file" .cpp)
  [ "$program" = platform ] && continue
  g++ -std=c++20 -O1 -Wall -Wextra -pthread -I. -o "$out/$program" "$file" \
    "$source/platform.cpp"
done
