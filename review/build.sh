#!/bin/sh
# Builds every program that the scripts under review/ start, beside the build of the
# deploy file. It needs no network.
set -eu
cd "$(dirname "$0")/.."
go build -ldflags=-linkmode=external -o target/ ./cmd/mastwheeld
go build -o target/review-standins ./review/standins
