#!/usr/bin/env bash
# Builds the stand-ins of the third review into target/, beside the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/stand-ins-3"
mkdir -p ../../target
GOFLAGS=-mod=readonly go build -o ../../target/review-3 .
