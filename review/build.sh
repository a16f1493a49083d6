#!/bin/sh
# Builds the stand-ins and the clients of the scripts. It needs the Go standard
# library only.
set -e
cd "$(dirname "$0")/harness"
GOFLAGS=-mod=mod GOWORK=off go build -o ../../target/review-harness .
