#!/bin/sh
# Builds the stand-ins that the scripts of the second review start, after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
go build -tags review -ldflags=-linkmode=external -o target/review-2/ ./review/stand2
