#!/bin/sh
# Builds the stand-ins of the cases of the third review. The build of deploy/system.toml comes first.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
go build -o target/review/standin3 ./review/standin3
