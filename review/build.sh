#!/bin/sh
# Builds the stand-ins of the review's scripts, as target/review-standin. They use Go's standard
# library alone. The system itself is built with the build line of deploy/system.toml.
set -e
cd "$(dirname "$0")/standin"
mkdir -p ../../target
GOWORK=off GOFLAGS=-mod=mod go build -o ../../target/review-standin .
