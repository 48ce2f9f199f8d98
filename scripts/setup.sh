#!/usr/bin/env bash
# Installs every package that the build, the tests and the linter need.
set -euo pipefail

packages=(
  g++ cmake ninja-build make pkg-config clang clang-format clang-tidy
  libclang-rt-14-dev libev-dev libmsgpack-cxx-dev libabsl-dev
  libcriterion-dev libtomlplusplus-dev nlohmann-json3-dev libnghttp2-dev
  libhttp-parser-dev libxxhash-dev libpcg-cpp-dev
  librapidcheck-dev curl
)

missing=()
for package in "${packages[@]}"; do
  if ! dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'ok installed'; then
    missing+=("$package")
  fi
done
if [ "${#missing[@]}" -eq 0 ]; then
  exit 0
fi
export DEBIAN_FRONTEND=noninteractive
apt-get update -q
apt-get install -y -q "${missing[@]}"
