#!/bin/bash
# Builds the stand-ins and the checks of the cases into review/bin. They need no library but nghttp2, which the
# router's own build needs too. Run it after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p review/bin
for source in review/[0-9]/case.cpp; do
  number=$(basename "$(dirname "$source")")
  g++ -std=c++20 -O1 -Wall -Wextra -Ireview -o "review/bin/case-$number" "$source" -lnghttp2
done
