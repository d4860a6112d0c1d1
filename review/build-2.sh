#!/bin/bash
# Builds the stand-ins of the cases 6 to 10 into build-review-2, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
[ -e build/libamberknot_net.a ] || bash -c "$(sed -n 's/^build = "\(.*\)"$/\1/p' deploy/balancer.toml)"
mkdir -p build-review-2
objects=()
for source in review/stand-2/*.cpp lab/http2_server.cpp; do
  object="build-review-2/$(basename "$source" .cpp).o"
  "${CXX:-g++}" -std=c++20 -O1 -Wall -DASIO_STANDALONE -I. -Isrc -Iinclude -c "$source" -o "$object" &
  objects+=("$object")
done
for job in $(jobs -p); do wait "$job"; done
"${CXX:-g++}" -o build-review-2/review-stand-2 "${objects[@]}" build/libamberknot_diameter.a build/libamberknot_net.a \
  build/libamberknot_core.a build/libamberknot.a -lnghttp2 -lpthread
