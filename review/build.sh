#!/usr/bin/env bash
# Builds the stand-ins that the scripts start, into review/bin/.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p bin
for program in lost_answers sizes_in_bytes; do
  g++ -std=c++20 -O1 -Wall -Wextra -pthread -o "bin/$program" \
    "stand_ins/$program.cpp" stand_ins/fleet.cpp
done
