#!/bin/sh
# Builds the stand-ins that the scripts of cases 4 to 8 start. Run it after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
go build -o target/rig2 ./review/rig2
