#!/usr/bin/env bash
# Installs every package that the build, the tests and the checks need.
set -euo pipefail

packages=(
  g++ make cmake ninja-build ccache clang-format clang-tidy
  libboost1.81-dev libboost-fiber1.81-dev libboost-context1.81-dev
  libboost-json1.81-dev libboost-test1.81-dev
  libcapnp-dev capnproto libpopt-dev libspdlog-dev libfmt-dev libtomlplusplus-dev
  libxxhash-dev libssl-dev librapidcheck-dev nlohmann-json3-dev spin curl
)

missing=()
for package in "${packages[@]}"; do
  dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'ok installed' && continue
  missing+=("$package")
done
[ ${#missing[@]} -eq 0 ] && exit 0

export DEBIAN_FRONTEND=noninteractive
apt-get update -q
apt-get install -y -q --no-install-recommends "${missing[@]}"
