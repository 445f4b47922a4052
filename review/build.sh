#!/bin/sh
# Builds what the cases start beside the project's own programs, from the module cache alone.
set -e
cd "$(dirname "$0")/.."
mkdir -p review/bin
GOPROXY=off go build -tags review -o review/bin/ ./review/stand
