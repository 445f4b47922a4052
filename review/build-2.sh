#!/bin/sh
# Builds the stand-ins of the second review (clients, offices and the journal service, in one program) from the module's own
# files and the standard library alone. It comes after the deploy file's build and needs no network.
cd "$(dirname "$0")/.." || exit 2
mkdir -p bin && CGO_ENABLED=0 GOPROXY=off go build -buildvcs=false -tags review -o bin/review-2 ./review/rig2
