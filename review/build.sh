#!/usr/bin/env bash
# Builds what the scripts of the review start beside target/bin/lycheed: one
# program a case, which holds its stand-ins. Needs g++ and JsonCpp, which
# deploy/system.toml declares.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p bin
for Source in */Case.cpp; do
  Name=$(dirname "$Source")
  g++ -std=c++20 -O2 -Wall -Wextra -Istandin -I/usr/include/jsoncpp \
    -o "bin/case-$Name" "$Source" -ljsoncpp -pthread
done
