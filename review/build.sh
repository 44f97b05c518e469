#!/bin/sh
# Builds the stand-ins that the scripts of review/ start, after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
go build -tags review -ldflags=-linkmode=external -o target/review/ ./review/stand
