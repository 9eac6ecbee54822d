#!/bin/sh
# Builds the programs of the cases, with the stand-ins that they start, into review/bin/.
set -e
cd "$(dirname "$0")"
go build -o bin/ ./case1 ./case2 ./case3
