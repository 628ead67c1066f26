#!/bin/sh
# Makes target/deps (the libraries that daemons need) and target/lib (our packages), byte-compiled.
# Run at the root. target/deps is made anew only when its list has changed.
set -eu
listed=deploy/requirements-run.txt
made=target/deps/.made

# Byte code in the usual place, but without docstrings and assertions: memory is paid for, and with
# python3 -OO the standard library would be compiled anew at each start.
compiled() {
    python3 -OO -m compileall -q -f --invalidation-mode unchecked-hash "$1"
    find "$1" -name '*.opt-2.pyc' | while read -r bytecode; do
        mv "$bytecode" "${bytecode%.opt-2.pyc}.pyc"
    done
}

if [ ! -e "$made" ] || [ "$listed" -nt "$made" ]; then
    rm -rf target/deps
    python3 -m pip install -q --no-deps --no-compile --disable-pip-version-check --root-user-action=ignore \
        --target target/deps -r "$listed"
    compiled target/deps
    touch "$made"
fi

rm -rf target/lib.new
mkdir -p target/lib.new
for folder in packages/*/ platform/mdplatform/; do
    name=$(basename "$folder")
    case "$folder" in
        packages/*) source=$folder$name ;;
        *) source=${folder%/} ;;
    esac
    if [ -e "$source/__init__.py" ] || [ -e "$source/main.py" ]; then
        cp -R "$source" "target/lib.new/$name"
    fi
done
find target/lib.new -name __pycache__ -prune -exec rm -rf {} +
rm -rf target/lib
mv target/lib.new target/lib
compiled target/lib
