#!/bin/sh
# Builds the stand-ins and the clients of the scripts into target/. They need the Go
# standard library only.
set -e
cd "$(dirname "$0")/harness"
GOFLAGS=-buildvcs=false GOPROXY=off GOTOOLCHAIN=local GOWORK=off go build -o ../../target/review-harness .
