#!/usr/bin/env bash
# Runs the capacity benchmark and puts its tables into docs/CAPACITY.md.
set -euo pipefail
cd "$(dirname "$0")/.."

page=docs/CAPACITY.md
tables=$(mktemp)
trap 'rm -f "$tables" "$tables.page"' EXIT

status=0
build/release/bin/bench_capacity "$@" > "$tables" || status=$?
if ! grep -q '^result name=capacity ' "$tables"; then
  cat "$tables"
  echo "capacity: the benchmark did not finish; $page is unchanged" >&2
  exit 1
fi
cat "$tables"
awk -v tables="$tables" '
  /<!-- tables: begin -->/ {
    print
    while ((getline line < tables) > 0) {
      if (line ~ /^result /) line = "`" line "`"
      print line
    }
    skipping = 1
    next
  }
  /<!-- tables: end -->/ { skipping = 0 }
  !skipping { print }
' "$page" > "$tables.page"
cp "$tables.page" "$page"
exit "$status"
