#!/usr/bin/env bash
# Installs the Debian packages that the build, the tests and the demo need.
set -euo pipefail
packages=(g++ cmake make ninja-build ccache clang clang-format clang-tidy
    libclang-rt-14-dev pkg-config
    libulfius-dev libboost-dev libgflags-dev liblog4cplus-dev doctest-dev libyaml-cpp-dev
    nlohmann-json3-dev libssl-dev libbenchmark-dev)
missing=()
for package in "${packages[@]}"; do
    dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'install ok installed' \
        || missing+=("$package")
done
[ ${#missing[@]} -eq 0 ] && exit 0
apt-get update -qq
DEBIAN_FRONTEND=noninteractive apt-get install -y -qq "${missing[@]}"
