#!/bin/sh
# Plays this case: exit 1 if the rule was broken, 0 if it held, 2 if it could not run. TROUBLE=0: without trouble.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
test -x "$here/../../.venv/bin/python" || exit 2
exec "$here/../../.venv/bin/python" "$here/case.py"
