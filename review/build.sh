#!/bin/sh
# Builds the program that plays the scripts of the cases, with all stand-ins that they start.
set -eu
cd "$(dirname "$0")/.."
go build -o target/review-kit ./review/kit
