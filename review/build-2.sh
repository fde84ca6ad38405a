#!/bin/sh
# The stand-ins of the cases 6 to 10 are Python programs of the standard library: there is nothing to compile, only to check.
set -e
cd "$(dirname "$0")"
for f in common-2/*.py [0-9]*/case.py; do
  [ -f "$f" ] || continue
  python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$f"
done
