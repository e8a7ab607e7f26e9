#!/usr/bin/env bash
# Builds the stand-ins and the checks of the cases. The controllers come from the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-lab ./review/lab
