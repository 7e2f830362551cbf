#!/bin/sh
# Plays the case; see claim.txt. Exit codes: 0 the rule held, 1 it was broken, 2 it could not be played.
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))' || {
    echo "Python 3.11 or later is needed"
    exit 2
}
timeout 118 python3 "$(dirname "$0")/case.py"
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"
