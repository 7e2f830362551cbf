#!/bin/sh
# Plays the case; see claim.txt. Exit codes: 0 the rule held, 1 it was broken, 2 it could not be played.
exec timeout 120 python3 "$(dirname "$0")/case.py"
