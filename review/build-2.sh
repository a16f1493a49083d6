#!/usr/bin/env bash
# Builds the stand-ins of the cases of the second review. The build of the deploy file
# comes first.
set -euo pipefail
cd "$(dirname "$0")/stand-ins-2"
GOFLAGS=-buildvcs=false GOPROXY=off GOTOOLCHAIN=local GOWORK=off go build -o ../../target/review-2/stand-ins-2 .
