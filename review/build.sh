#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts. Needs a C++20 compiler only.
set -eu
cd "$(dirname "$0")/.."
mkdir -p build/review
g++ -std=c++20 -O1 -Wall -Wextra -I. review/standin/play.cpp -o build/review/play
