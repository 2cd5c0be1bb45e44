#!/bin/sh
# Builds the stand-ins of all cases, after the build of deploy/balancer.toml. They use the standard library only.
set -e
cd "$(dirname "$0")/.."
mkdir -p bin
go build -o bin/review-standins ./review/_standins
