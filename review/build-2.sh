#!/bin/sh
# Prepares the scripts of the second review. Their stand-ins use only the
# standard library of the Python that runs the nodes, so nothing is fetched: it
# is checked that they compile. Nothing of the project's own stand-ins is used.
set -eu
cd "$(dirname "$0")"
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))'
for file in standins2/*.py [6-9]/*.py 10/*.py; do
    if [ -e "$file" ]; then
        python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
    fi
done
