#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-3/harness3 ] && [ -x target/sapphiregate ] || { echo "run the build of the deploy file and review/build-3.sh first"; exit 2; }
exec target/review-3/harness3 rollout review/12
