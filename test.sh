#!/bin/sh
# The one test command: lint, format, types, doctests and tests. What it is given goes on to pytest.
# The tests of one file run in one process, in order; four files at a time. Those that measure the
# memory of processes follow, one at a time.
set -e
NO_TEST=5  # exit status of pytest
run_tests() {
    status=0
    python -m pytest "$@" || status=$?
    if [ "$status" -ne "$NO_TEST" ]; then
        [ "$status" -eq 0 ] || exit "$status"
        ran=yes
    fi
}
cd "$(dirname "$0")"
ruff check .
ruff format --check -q .
python -m mypy --no-error-summary
ran=no
run_tests -n 4 --dist loadfile -m "not crowd" "$@"
run_tests -m crowd "$@"
[ "$ran" = yes ] || exit "$NO_TEST"
