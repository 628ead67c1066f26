#!/bin/sh
# Builds target/deps (the libraries that the daemons need) and target/lib (our packages),
# byte-compiled. Must run at the root of the repository. target/deps is rebuilt only when its
# requirements have changed, or it was built for another Python or another kind of machine.
set -eu
requirements=deploy/requirements-run.txt
build_record=target/deps/.made  # the platform that target/deps was built for

python_version=$(python3 -c 'import sys; print("%d.%d" % sys.version_info[:2])')
if ! python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))'; then
    echo "deploy/build.sh: python3 is $python_version, but 3.11 or later is needed" >&2
    exit 1
fi

# Not all libraries with compiled parts have wheels for a later one.
if ! python3 -c 'import sys; sys.exit(sys.version_info[:2] > (3, 13))'; then
    echo "deploy/build.sh: python3 is $python_version, but 3.11, 3.12 or 3.13 is needed" >&2
    exit 1
fi

# Compiles a folder to byte code without docstrings and assertions, because memory is paid for, and
# stores it under the names of normal byte code. Daemons don't run with python3 -OO, which uses other
# names: the standard library would then be compiled again at each start.
compile_optimized() {
    python3 -OO -m compileall -q -f --invalidation-mode unchecked-hash "$1"
    find "$1" -name '*.opt-2.pyc' | while read -r bytecode; do
        mv "$bytecode" "${bytecode%.opt-2.pyc}.pyc"
    done
}

# The libraries have compiled parts for one minor version of Python and one kind of machine.
platform=$(python3 -c 'import sys, sysconfig
print("%s %s" % (sys.implementation.cache_tag, sysconfig.get_platform()))')
if [ ! -e "$build_record" ] || [ "$requirements" -nt "$build_record" ] \
    || [ "$(cat "$build_record")" != "$platform" ]; then
    rm -rf target/deps
    python3 -m pip install -q --no-deps --no-compile --only-binary=:all: --disable-pip-version-check \
        --root-user-action=ignore --target target/deps -r "$requirements"
    compile_optimized target/deps
    echo "$platform" >"$build_record"
fi

rm -rf target/lib.new
mkdir -p target/lib.new/meadowdock
# The packages share one namespace; here they also share one folder.
for folder in packages/*/meadowdock/*/; do
    cp -R "${folder%/}" "target/lib.new/meadowdock/$(basename "$folder")"
done
cp -R platform/platform_adapter target/lib.new/platform_adapter
find target/lib.new -name __pycache__ -prune -exec rm -rf {} +
rm -rf target/lib
mv target/lib.new target/lib
compile_optimized target/lib
