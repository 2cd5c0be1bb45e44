#!/bin/sh
# Builds the stand-ins of the cases 6 to 10: bin/review-standins-2. It needs no network.
cd "$(dirname "$0")/.." || exit 1
mkdir -p bin && exec go build -o bin/review-standins-2 ./review/_standins-2
