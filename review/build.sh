#!/bin/bash
# Builds the stand-ins of the cases into target/. Run it after the build of the deploy file.
set -e
cd "$(dirname "$0")/rig"
mkdir -p ../../target
go test -c -o ../../target/review-rig .
