#!/bin/sh
# Builds what the scripts of the cases start besides the dispatcher, which is built as
# deploy/system.toml says.
set -e
cd "$(dirname "$0")/.."
go build -o target/review-drill ./review/drill
