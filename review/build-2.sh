#!/bin/sh
# Builds every stand-in that the cases 6 to 10 start. They are scripts for the Python of the deploy file's
# build and need its standard library only: compiling them shows that this Python can read them.
set -eu
cd "$(dirname "$0")/.."
test -x .venv/bin/python || { echo "run the build line of deploy/balancer.toml first" >&2; exit 2; }
.venv/bin/python -c 'import sys; sys.exit(sys.version_info < (3, 11))'
for file in review/rig_2.py review/[6-9]/case.py review/10/case.py; do
    test -f "$file" || continue
    .venv/bin/python -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
done
