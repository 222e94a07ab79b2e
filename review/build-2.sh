#!/bin/sh
# Builds the program that the cases 6 to 10 start: the stand-ins and the checks.
set -e
cd "$(dirname "$0")/.."
go build -o target/review-stage ./review/_stage
