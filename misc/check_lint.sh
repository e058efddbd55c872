#!/usr/bin/env bash
# Runs clang-tidy on every compiled file, in parallel. Generated Protobuf code and
# json.cpp, which compiles Boost.JSON, are excluded.
set -euo pipefail
cd "$(dirname "$0")/.."
files=$(python3 -c '
import json
for it in json.load(open("build/compile_commands.json")):
    if not it["file"].endswith(".pb.cc") and not it["file"].endswith("json.cpp"):
        print(it["file"])')
jobs=$(nproc)
echo "$files" | xargs -P "$jobs" -n 1 clang-tidy --quiet -p build 2>/dev/null
echo "lint: clean"
