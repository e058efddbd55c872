#!/usr/bin/env bash
# Runs the case; needs the build of deploy/system.toml and review/build-3.sh.
# Writes record.txt. Exit codes: 1 the rule was broken, 0 it held, 2 it could
# not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/main/sassafrasd ] && [ -x target/review-3/trial ] || exit 2
exec target/review-3/trial seeds review/15
