#!/usr/bin/env bash
# Checks the stand-ins of the cases. They are Python programs that need only the standard library of /usr/bin/python3, which
# libglib2.0-dev brings in, a package of the deploy file; so nothing has to be compiled.
set -euo pipefail
cd "$(dirname "$0")"
PYTHONDONTWRITEBYTECODE=1 /usr/bin/python3 - stand_ins/*.py [0-9]/*.py <<'PROGRAM'
import sys
for path in sys.argv[1:]:
    with open(path, encoding="utf-8") as file:
        compile(file.read(), path, "exec")
PROGRAM
