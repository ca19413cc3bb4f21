#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts into target/review/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for main in review/*/main.go; do
	folder=$(dirname "$main")
	go build -tags review -o "target/review/$(basename "$folder")" "./$folder"
done
