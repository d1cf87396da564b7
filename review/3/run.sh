#!/usr/bin/env bash
# Plays the case. Exit 0: the rule held; 1: it was broken; 2: the case could not run.
# TROUBLE=0: without the disruption.
set -u
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
program=build-review/case-$(basename "$here")
[ -x "$program" ] || exit 2
folder=$(mktemp -d) || exit 2
timeout -k 2 115 "$program" "$folder" "$here/record.txt"
result=$?
[ -n "${KEEP:-}" ] && cp -r "$folder" "$KEEP"
rm -rf "$folder"
[ "$result" -le 2 ] || exit 2
exit "$result"
