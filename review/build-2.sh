#!/bin/sh
# Builds the stand-ins, clients and judges of the scripts of the second review, after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
go build -o target/kit2 ./review/kit2
