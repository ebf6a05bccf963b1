#!/bin/sh
# Puts the program and its libraries under target/deps.
set -eu
cd "$(dirname "$0")/.."
mark=target/deps/.installed
if [ ! -e "$mark" ] || [ deploy/requirements.txt -nt "$mark" ] || [ constraints.txt -nt "$mark" ]; then
    rm -rf target/deps
    python3 -m pip install -q --disable-pip-version-check --target target/deps -c constraints.txt -r deploy/requirements.txt
    touch "$mark"
fi
# Days that are being played read these files; they change only when needed.
if ! diff -rq -x __pycache__ src/celeryfield target/deps/celeryfield >/dev/null 2>&1; then
    rm -rf target/deps/celeryfield
    cp -r src/celeryfield target/deps/celeryfield
    python3 -m compileall -q target/deps/celeryfield
fi
