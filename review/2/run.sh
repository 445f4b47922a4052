#!/bin/bash
# Plays the case; with TROUBLE=0 without its disruption. 0: the rule held, 1: it was broken, 2: the case could not run.
# KEEP=1 keeps the temporary folder, which has the session controller's logs.
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.." || exit 2
[ -x review/bin/stand ] && [ -x bin/pewterwheel ] || { echo "build first: the deploy file's build, then review/build.sh"; exit 2; }
set -m
timeout -k 2 110 review/bin/stand two "$folder/record.txt" &
group=$!
trap 'kill -KILL -- -$group 2>/dev/null' EXIT
trap 'kill -TERM -- -$group 2>/dev/null; wait $group; exit 2' TERM INT
wait $group
code=$?
case $code in 0 | 1) exit $code ;; *) exit 2 ;; esac
