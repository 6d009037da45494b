#!/usr/bin/env bash
Case=1
. "$(dirname "$0")/../standin/run-case.sh"
