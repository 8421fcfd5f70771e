#!/bin/sh
# Builds the stand-ins of the second review's scripts.
cd "$(dirname "$0")/.." || exit 2
exec go build -tags review2 -o target/stand-2 ./review/stand-2
