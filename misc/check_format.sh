#!/usr/bin/env bash
# Fails when a source file is not as the formatter would write it.
set -euo pipefail
cd "$(dirname "$0")/.."
git ls-files --cached --others --exclude-standard '*.cpp' '*.h' |
  grep -v '\.pb\.' | xargs clang-format --dry-run --Werror
echo "format: clean"
