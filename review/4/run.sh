#!/usr/bin/env bash
# Plays the case once. Exit code: 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0: without the SIGTERM.
cd "$(dirname "$0")" || exit 2
[ -x ../../target/bin/camphorstack ] && /usr/bin/python3 -c "import asyncio, tomllib" || exit 2
exec env TROUBLE="${TROUBLE:-1}" PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=../stand_ins /usr/bin/python3 case.py
