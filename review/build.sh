#!/bin/sh
# The stand-ins of the cases are Python scripts that need the standard library alone: there is nothing to build.
# This checks that the program's environment is there and that each script can be compiled.
cd "$(dirname "$0")/.." || exit 1
for script in review/rig.py review/*/case.py; do
    .venv/bin/python -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$script" || exit 1
done
