#!/bin/sh
# Makes target/deps (the libraries that daemons need) and target/lib (our packages), byte-compiled.
# Run at the root. target/deps is made anew only when its list has changed.
set -eu
listed=deploy/requirements-run.txt
made=target/deps/.made
if [ ! -e "$made" ] || [ "$listed" -nt "$made" ]; then
    rm -rf target/deps
    python3 -m pip install -q --no-deps --disable-pip-version-check --root-user-action=ignore \
        --target target/deps -r "$listed"
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
python3 -m compileall -q --invalidation-mode unchecked-hash target/lib
