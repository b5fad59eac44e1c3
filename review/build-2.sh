#!/usr/bin/env bash
# Builds the stand-ins of the scripts of this review. The program itself is built
# by the deploy file.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
go build -o target/review-2/ ./review/isolated
