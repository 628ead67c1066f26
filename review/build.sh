#!/bin/sh
# Builds the stand-ins of this review: they need Python 3.11 and its standard library alone.
set -eu
cd "$(dirname "$0")"
python3 - <<'CHECK'
import ast
import sys
from pathlib import Path

if sys.version_info < (3, 11):
    sys.exit("review/build.sh: Python 3.11 or later is needed")
for path in Path().rglob("*.py"):
    ast.parse(path.read_text(encoding="utf-8"), str(path))
CHECK
