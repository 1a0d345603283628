#!/bin/sh
# Builds the stand-ins that the cases 4, 5, 7 and 8 start. The programs are built by the build line of deploy/system.toml.
set -e
cd "$(dirname "$0")/standin-2"
GOWORK=off go build -buildvcs=false -o ../../target/standin2 .
