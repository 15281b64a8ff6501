#!/usr/bin/env bash
# The stand-ins of the second review's scripts are Python (review/lab-2/lab.py): nothing is compiled. Checks that they can run. Needs
# python3 with its standard library, which comes with libglib2.0-dev, a package of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 - <<'CHECK'
import sys
assert sys.version_info >= (3, 9), "python 3.9 or newer is needed"
for path in ["review/lab-2/lab.py"]:
    compile(open(path, encoding="utf-8").read(), path, "exec")
CHECK
test -x target/bin/camphorstack || { echo "run the build command of deploy/system.toml first" >&2; exit 1; }
