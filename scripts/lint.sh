#!/usr/bin/env bash
# Checks formatting, and runs clang-tidy on every source file that has changed
# since it was found clean: .lint-clean holds a key of the contents of each
# clean source, of all project headers that it includes, and of the checks.
# Needs a release build, which knows what each source includes. --all runs
# clang-tidy on every file.
set -euo pipefail
cd "$(dirname "$0")/.."

mapfile -t files < <(git ls-files -co --exclude-standard -- '*.h' '*.cc')
clang-format --dry-run --Werror "${files[@]}"

keys=$(mktemp)
clean=$(mktemp)
trap 'rm -f "$keys" "$clean"' EXIT
checks=$( (cat .clang-tidy; clang-tidy --version) | sha256sum | cut -c1-16)
# "object: #deps ..." lines, each followed by an indented line a dependency,
# become "source header ...".
ninja -C build/release -t deps |
  awk -v root="$PWD/" '
    /^[^ ].*#deps/ { if (line != "") print line; line = ""; next }
    { path = $1; if (index(path, root) == 1) path = substr(path, length(root) + 1)
      if (path !~ /^\//) line = line " " path }
    END { if (line != "") print line }' |
  while read -r source headers; do
    [ -f "$source" ] || continue
    key=$(cat "$source" $(printf '%s\n' $headers | sort) | sha256sum | cut -c1-24)
    echo "$source $checks-$key"
  done | sort -u > "$keys"

pending=()
for source in $(git ls-files -co --exclude-standard -- '*.cc'); do
  line=$(grep -F "$source " "$keys" || true)
  if [ -z "$line" ]; then
    echo "lint: the build does not know $source" >&2
    exit 1
  fi
  if [ "${1:-}" != --all ] && grep -qxF "$line" .lint-clean 2>/dev/null; then
    echo "$source" >> "$clean"
  else
    pending+=("$source")
  fi
done

status=0
if [ "${#pending[@]}" -gt 0 ]; then
  printf '%s\0' "${pending[@]}" |
    xargs -0 -n 1 -P "$(nproc)" bash -c '
      clang-tidy -p build/release --quiet --warnings-as-errors="*" "$1" 2>/dev/null &&
        echo "$1" >> "$0"' "$clean" || status=1
fi
sed 's/$/ /' "$clean" | grep -F -f - "$keys" | sort > .lint-clean || true
echo "lint: ${#files[@]} files formatted, ${#pending[@]} of $(wc -l < "$keys") sources checked, the others unchanged since they were clean"
exit "$status"
