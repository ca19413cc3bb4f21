#!/usr/bin/env bash
# Builds the stand-ins and scripts of the third review. The program itself is built by the command of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
go test -c -tags review -o target/review-3 ./review/harness3
