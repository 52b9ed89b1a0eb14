#!/bin/sh
# Builds the stand-ins that the scripts of review/REPORT-3.md start.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-3
go build -o target/review-3/rig ./review/rig
