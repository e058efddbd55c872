#!/usr/bin/env bash
# Fails when clang-format would change a source file.
set -euo pipefail
cd "$(dirname "$0")/.."
git ls-files --cached --others --exclude-standard '*.cpp' '*.h' |
  grep -v '\.pb\.' | xargs clang-format --dry-run --Werror
echo "format: clean"
