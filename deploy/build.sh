#!/bin/sh
# Makes target/deps (the libraries that daemons need) and target/lib (our packages), byte-compiled.
# Run at the root. target/deps is made anew only when its list or the version of Python has changed.
set -eu
listed=deploy/requirements-run.txt
made=target/deps/.made  # holds the version of Python that target/deps was made for

python_version=$(python3 -c 'import sys; print("%d.%d" % sys.version_info[:2])')
if ! python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))'; then
    echo "deploy/build.sh: python3 is $python_version, but 3.11 or later is needed" >&2
    exit 1
fi

# Byte code in the usual place, but without docstrings and assertions: memory is paid for, and with
# python3 -OO the standard library would be compiled anew at each start.
compiled() {
    python3 -OO -m compileall -q -f --invalidation-mode unchecked-hash "$1"
    find "$1" -name '*.opt-2.pyc' | while read -r bytecode; do
        mv "$bytecode" "${bytecode%.opt-2.pyc}.pyc"
    done
}

if [ ! -e "$made" ] || [ "$listed" -nt "$made" ] || [ "$(cat "$made")" != "$python_version" ]; then
    rm -rf target/deps
    python3 -m pip install -q --no-deps --no-compile --only-binary=:all: --disable-pip-version-check \
        --root-user-action=ignore --target target/deps -r "$listed"
    compiled target/deps
    echo "$python_version" >"$made"
fi

rm -rf target/lib.new
mkdir -p target/lib.new/meadowdock
# The packages share one import name; here they share one folder as well.
for folder in packages/*/meadowdock/*/; do
    cp -R "${folder%/}" "target/lib.new/meadowdock/$(basename "$folder")"
done
cp -R platform/platform_adapter target/lib.new/platform_adapter
find target/lib.new -name __pycache__ -prune -exec rm -rf {} +
rm -rf target/lib
mv target/lib.new target/lib
compiled target/lib
