#!/bin/sh
# Builds what the scripts of review/6 to review/10 start besides the programs of
# the deploy file: their stand-ins are Python without a build, so this checks
# that each can be compiled.
set -eu
cd "$(dirname "$0")"
for source in support/*.py 7/case.py 8/case.py 9/case.py 10/case.py; do
  python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$source"
done
