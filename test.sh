#!/usr/bin/env bash
# Sets a fresh machine up, builds, runs the formatter, the linter and all tests.
set -euo pipefail
cd "$(dirname "$0")"
tools/setup
tools/build build
tools/format --check
tools/lint build
tools/capacity --check
tools/run-tests build
