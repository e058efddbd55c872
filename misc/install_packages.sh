#!/usr/bin/env bash
# Installs the packages that the build and the checks need. Does nothing when
# all are installed.
set -euo pipefail
packages=(g++ cmake ninja-build clang-format clang-tidy python3
  libcaf-dev cppzmq-dev libzmq3-dev libprotobuf-dev libboost1.81-dev
  libboost-log1.81-dev libboost-thread1.81-dev libtomlplusplus-dev catch2
  libssl-dev libxxhash-dev zlib1g-dev ccache)
missing=()
for it in "${packages[@]}"; do
  dpkg-query -W -f='${Status}' "$it" 2>/dev/null | grep -q 'ok installed' ||
    missing+=("$it")
done
[ ${#missing[@]} -eq 0 ] && exit 0
apt-get update -q
DEBIAN_FRONTEND=noninteractive apt-get install -y -q --no-install-recommends "${missing[@]}"
