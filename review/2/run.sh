#!/usr/bin/env bash
Case=2
. "$(dirname "$0")/../standin/run-case.sh"
