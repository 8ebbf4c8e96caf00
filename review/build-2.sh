#!/bin/sh
# Builds the stand-ins and drivers of the second review's cases into target/review-2, without a network.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
GOFLAGS=-mod=readonly GOPROXY=off GOTOOLCHAIN=local go build -buildvcs=false -tags review -o target/review-2/ ./review/cmd2/...
