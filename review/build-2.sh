#!/usr/bin/env bash
# Builds what the scripts of review/6 to review/10 start beside the build of the deploy file: the
# stand-ins of kit2, which need the standard library only. Fails if they can't be compiled.
set -euo pipefail
cd "$(dirname "$0")"
python3 -B - <<'END'
from pathlib import Path

for path in sorted([*Path("kit2").glob("*.py"), *Path().glob("[0-9]*/case.py")]):
    compile(path.read_bytes(), str(path), "exec")
END
