#!/bin/sh
# Builds the stand-ins of cases 11 to 15, after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for case in large_entries same_cookie stale_seeds restart_in_outage restarted_targets; do
  g++ -std=c++20 -O2 -Wall -Wextra -o "target/review-3/$case" "review/standins-3/$case.cpp"
done
