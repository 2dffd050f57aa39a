#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts. The build of the deploy file comes first.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/standin ./review/standin
