#!/usr/bin/env bash
# Plays the case on real processes; exit code 1: the rule was broken, 0: it held, 2: the case couldn't run.
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
program="$root/target/review-2/case-$(basename "$here")"
[ -x "$program" ] && [ -x "$root/target/main/hawthornpin-entry" ] || { echo "not built"; exit 2; }
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
timeout 115 "$program" "$root" "$folder" "$here/record.txt"
code=$?
[ "$code" -le 1 ] && exit "$code"
exit 2
