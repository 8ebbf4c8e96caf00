#!/bin/sh
# Builds the program of the third review's cases into target/, without a network. It has all stand-ins.
set -eu
cd "$(dirname "$0")/.."
export GOPROXY=off
exec go build -tags review -o target/ ./review/rig3
