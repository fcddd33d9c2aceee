#!/usr/bin/env bash
# Builds the stand-ins of the cases' scripts: plain Python, which only has to compile.
set -euo pipefail
cd "$(dirname "$0")"
python3 - common/*.py [0-9]/*.py <<'PY'
import pathlib
import sys

for name in sys.argv[1:]:
    compile(pathlib.Path(name).read_text(encoding="utf-8"), name, "exec")
PY
