#!/bin/sh
# Installs the program and its libraries into target/deps.
set -eu
cd "$(dirname "$0")/.."
mark=target/deps/.installed
if [ ! -e "$mark" ] || [ deploy/requirements.txt -nt "$mark" ] || [ constraints.txt -nt "$mark" ]; then
    rm -rf target/deps
    python3 -m pip install -q --disable-pip-version-check --target target/deps -c constraints.txt -r deploy/requirements.txt
    touch "$mark"
fi
# Running days read these files, so they are replaced only if they differ.
if ! diff -rq -x __pycache__ src/celeryfield target/deps/celeryfield >/dev/null 2>&1; then
    rm -rf target/deps/celeryfield
    cp -r src/celeryfield target/deps/celeryfield
    python3 -m compileall -q target/deps/celeryfield
fi
