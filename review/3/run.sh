#!/usr/bin/env bash
Case=3
. "$(dirname "$0")/../standin/run-case.sh"
