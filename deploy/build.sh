#!/bin/sh
# Installs the program and its libraries into target/deps.
set -eu
cd "$(dirname "$0")/.."
mark=target/deps/.installed
# Processes may start at any time, so what they read is complete before it
# replaces the previous installation in one step.
stage=target/stage
if [ ! -e "$mark" ] || [ deploy/requirements.txt -nt "$mark" ] || [ constraints.txt -nt "$mark" ]; then
    rm -rf "$stage"
    python3 -m pip install -q --disable-pip-version-check --target "$stage" -c constraints.txt -r deploy/requirements.txt
    touch "$stage/.installed"
    if [ -d target/deps/celeryfield ]; then
        cp -r target/deps/celeryfield "$stage/celeryfield"
    fi
    python3 deploy/replace_folder.py "$stage" target/deps
fi
# Running days read these files, so they are replaced only if they differ.
if ! diff -rq -x __pycache__ src/celeryfield target/deps/celeryfield >/dev/null 2>&1; then
    rm -rf "$stage"
    mkdir -p "$stage"
    cp -r src/celeryfield "$stage/celeryfield"
    python3 -m compileall -q -s "$stage" -p target/deps "$stage/celeryfield"
    python3 deploy/replace_folder.py "$stage/celeryfield" target/deps/celeryfield
    rmdir "$stage"
fi
