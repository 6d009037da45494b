#!/usr/bin/env bash
# TROUBLE=1, the default: with the disruption; exits with 1 if the rule is broken.
# TROUBLE=0: the same without it (no endpoint answers 500); must pass, so exits with 0.
# Exits with 2 if the case couldn't run.
export TROUBLE="${TROUBLE:-1}"
Case=1
. "$(dirname "$0")/../standin/run-case.sh"
