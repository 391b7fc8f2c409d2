#!/bin/sh
# Plays the case, with TROUBLE=0 without its disruption.
# Exit code: 0 if the rule held, 1 if it was broken, 2 if the case could not run.
TROUBLE="${TROUBLE:-1}"
export TROUBLE
cd "$(dirname "$0")" && exec python3 case.py
