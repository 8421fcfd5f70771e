#!/bin/sh
# Builds the stand-ins of the cases: clients, backends, operators and the platform.
set -e
cd "$(dirname "$0")/.."
mkdir -p target
go test -c -trimpath -tags review -o target/review-stand ./review/stand
