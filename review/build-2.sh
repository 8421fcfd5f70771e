#!/bin/sh
# Builds the stand-ins of the second review's cases: clients, backends, operators and the platform.
set -e
cd "$(dirname "$0")/.."
mkdir -p target
go test -c -trimpath -tags review2 -o target/review-stand-2 ./review/stand-2
