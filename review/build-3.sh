#!/bin/sh
# Builds the stand-ins of the cases 11 to 15 into target/.
set -e
cd "$(dirname "$0")/.."
go build -o target/rig3 ./review/_rig3
