#!/usr/bin/env bash
# Builds what the scripts of review/11 to review/15 start beside the daemon: the
# stand-ins are Python and need only its standard library (3.11 or later).
set -euo pipefail
cd "$(dirname "$0")"
python3 -B - <<'END'
import pathlib
import tomllib  # since Python 3.11

for source in sorted(pathlib.Path(".").glob("1[1-5]/*.py")) + \
        sorted(pathlib.Path("deployment").glob("*.py")):
    compile(source.read_text(), str(source), "exec")
END
