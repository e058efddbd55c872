#!/usr/bin/env bash
# Builds the stand-ins of review/11 to review/15 into target/review-3/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
g++ -std=c++17 -O1 -Wall -Wextra -pthread -o target/review-3/trial \
  review/stand_ins_3/main.cpp review/stand_ins_3/trial.cpp \
  review/stand_ins_3/engine.cpp
