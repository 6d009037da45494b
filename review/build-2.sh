#!/usr/bin/env bash
# Builds the stand-ins of review/4 to review/8. They need a compiler only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for Each in review/standin-2/*.cpp; do
  g++ -std=c++20 -O2 -Wall -Wextra -pthread -o "target/review-2/$(basename "${Each%.cpp}" | tr '[:upper:]' '[:lower:]')" "$Each"
done
