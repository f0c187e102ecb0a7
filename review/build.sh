#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases start. The project itself is built by the command of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/standin"
mkdir -p ../../target
GOWORK=off GOFLAGS=-mod=mod GOPROXY=off go build -o ../../target/review-standin .
