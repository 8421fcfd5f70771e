#!/bin/sh
# Builds the stand-ins of the scripts of the third review.
set -e
cd "$(dirname "$0")/.."
go build -tags review3 -o target/review-standins3 ./review/standins3
