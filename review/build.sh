#!/bin/sh
# Builds the stand-ins of the scripts into target/review. They are a module of their own,
# outside go.work, and use the standard library only.
set -e
cd "$(dirname "$0")/standin"
mkdir -p ../../target/review
GOWORK=off GOFLAGS=-mod=mod GOPROXY=off go build -o ../../target/review/ ./...
