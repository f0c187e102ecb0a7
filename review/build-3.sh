#!/usr/bin/env bash
# Builds the stand-ins of the third review's scripts. Run it after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/harness-3"
GOWORK=off go build -o ../../target/review-3/harness3 .
