#!/bin/sh
# The one test command: lint, format, types, doctests and tests. What it is given goes on to pytest.
# The tests of one file run in one process, in order; four files at a time.
set -e
cd "$(dirname "$0")"
ruff check .
ruff format --check -q .
python -m mypy --no-error-summary
exec python -m pytest -n 4 --dist loadfile "$@"
