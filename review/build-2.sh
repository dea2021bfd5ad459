#!/bin/sh
# Builds the stand-ins of the second review into target/. Needs the Go toolchain only.
set -e
cd "$(dirname "$0")/standin-2"
GOWORK=off GOFLAGS=-mod=mod GOPROXY=off GOTOOLCHAIN=local go build -o ../../target/review-2 .
