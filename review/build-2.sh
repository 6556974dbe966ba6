#!/usr/bin/env bash
# Builds the stand-ins of the second review. They use the standard library only.
set -euo pipefail
cd "$(dirname "$0")/standin-2"
GOWORK=off GOFLAGS=-mod=mod GOTOOLCHAIN=local go build -o ../../target/review-standin-2 .
