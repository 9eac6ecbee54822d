#!/bin/bash
# Builds the stand-ins of the cases review/4 to review/8, after the build of the deploy file.
set -e
cd "$(dirname "$0")/second"
go build -o ../../target/review-second/ ./cmd/...
