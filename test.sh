#!/bin/sh
# The one test command: lint, format, doctests and tests.
set -e
cd "$(dirname "$0")"
ruff check .
ruff format --check -q .
exec python -m pytest "$@"
