#!/usr/bin/env bash
# Builds the stand-ins that the scripts start. It needs no network.
set -euo pipefail
cd "$(dirname "$0")/standin"
GOFLAGS=-buildvcs=false GOPROXY=off GOWORK=off GOTOOLCHAIN=local go build -o ../../target/review/standin .
