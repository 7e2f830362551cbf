#!/usr/bin/env bash
# Builds the stand-ins that the scripts of cases 4 to 8 start. They are Python programs without any
# package besides the standard library, and the project's own stand-ins are not needed.
set -euo pipefail
cd "$(dirname "$0")"
python3 - platform_2.py [4-8]/case.py <<'CHECK'
import ast
import sys

for name in sys.argv[1:]:
    with open(name, encoding="utf-8") as file:
        ast.parse(file.read(), name)
CHECK
