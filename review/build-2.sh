#!/bin/sh
# Builds the stand-ins of the cases 6 to 10 into target/review-2/.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for number in 6 7 8 9 10; do
  source=review/$number/case.cpp
  [ -f "$source" ] || continue
  g++ -std=c++20 -O1 -Wall -Wextra -o "target/review-2/case-$number" "$source"
done
