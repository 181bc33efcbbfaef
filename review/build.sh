#!/bin/sh
# The stand-ins are Python files that need only the standard library; this checks that
# they compile.
set -eu
cd "$(dirname "$0")"
exec python3 -c '
import pathlib
for path in sorted(pathlib.Path(".").glob("*/*.py")):
    compile(path.read_text(encoding="utf-8"), str(path), "exec")
    print("ok", path)
'
