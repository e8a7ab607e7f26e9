#!/usr/bin/env bash
# Builds the lab of the second review, which holds all stand-ins of its cases. Run it after the build of
# the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-lab-2 ./review/lab2
