#!/bin/sh
# Runs the case; see claim.txt. Exits with 1 if the rule was broken, 0 if it
# held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
root=$(cd "$(dirname "$0")/../.." && pwd) || exit 2
number=$(basename "$(dirname "$(readlink -f "$0")")")
folder=$(mktemp -d) || exit 2
"$root/target/review-2/case-$number" "$root" "$folder" \
  "$root/review/$number/record.txt"
status=$?
rm -rf "$folder"
case $status in 0 | 1) exit $status ;; *) exit 2 ;; esac
