#!/usr/bin/env bash
# Runs all tests. The tests listed in KNOWN-RED.txt run separately and may fail;
# the list is printed. A line "test: NAME" of that file lists one ctest test.
set -uo pipefail
cd "$(dirname "$0")/.."
known_failing=()
if [ -e KNOWN-RED.txt ]; then
  mapfile -t known_failing < <(sed -n 's/^test: //p' KNOWN-RED.txt)
fi
exclude=()
if [ ${#known_failing[@]} -gt 0 ]; then
  pattern=$(printf '%s|' "${known_failing[@]}")
  pattern="^(${pattern%|})\$"
  echo "known failing tests, run separately:"
  cat KNOWN-RED.txt
  ctest --test-dir build -R "$pattern" --output-on-failure || true
  exclude=(-E "$pattern")
fi
ctest --test-dir build --output-on-failure --no-tests=error -j 3 "${exclude[@]}"
