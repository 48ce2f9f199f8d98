#!/usr/bin/env bash
# Plays one case: run_case.sh CASE FOLDER writes FOLDER/record.txt.
# Exit status: 0 the rule held, 1 it was broken, 2 the case could not run.
set -u
root=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
program=$root/build/review/play
[ -x "$program" ] || { echo "run review/build.sh first" >&2; exit 2; }
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
timeout --signal=KILL 115 "$program" "$1" "$root" "$2/record.txt" "$folder"
status=$?
[ -z "${KEEP_LOGS:-}" ] || cp "$folder"/log-*.txt "$KEEP_LOGS"
case $status in 0 | 1) exit $status ;; *) exit 2 ;; esac
