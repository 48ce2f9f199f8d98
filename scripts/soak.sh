#!/usr/bin/env bash
# Runs random schedules of faults on both sample sites, seed after seed, and
# then the fuzz targets if they are built (see docs/SCENARIOS.md).
#
# usage: scripts/soak.sh [SEEDS [FIRST_SEED [FUZZ_SECONDS]]]
set -uo pipefail
cd "$(dirname "$0")/.."

seeds="${1:-200}"
first="${2:-1}"
fuzz_seconds="${3:-60}"
failed=0

build/release/bin/run_scenarios --notables --random="$seeds" --seed="$first" ||
  failed=1

for target in packet frame config scenario; do
  fuzzer="build/fuzz/bin/fuzz_$target"
  if [ ! -x "$fuzzer" ]; then
    echo "soak: $fuzzer is not built, left out"
    continue
  fi
  found="build/fuzz/found_$target"
  mkdir -p "$found"
  "$fuzzer" -seed=1 -max_total_time="$fuzz_seconds" -print_final_stats=1 \
    -artifact_prefix="$found/" "$found" "fuzz/corpus/$target" 2>&1 |
    grep -E '^(stat::number_of_executed_units|==|SUMMARY|artifact)' |
    sed "s/^/$target /"
  [ "${PIPESTATUS[0]}" -eq 0 ] || failed=1
done
exit "$failed"
