#!/usr/bin/env bash
# Installs what the build, the tests and the measurements need. Does nothing where it is all there.
set -euo pipefail
packages=(build-essential cmake ninja-build pkg-config libtbb-dev libzmq3-dev cppzmq-dev protobuf-compiler libprotobuf-dev
    prometheus-cpp-dev libyaml-cpp-dev libcpp-httplib-dev libgflags-dev libspdlog-dev doctest-dev libxxhash-dev
    libpcg-cpp-dev nlohmann-json3-dev libssl-dev libbenchmark-dev libboost1.81-dev spin gnuplot-nox clang clang-format clang-tidy curl)
missing=()
for package in "${packages[@]}"; do
    dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'install ok installed' || missing+=("$package")
done
[ ${#missing[@]} -eq 0 ] && exit 0
apt-get update -qq
DEBIAN_FRONTEND=noninteractive apt-get install -y -qq --no-install-recommends "${missing[@]}" >/dev/null
