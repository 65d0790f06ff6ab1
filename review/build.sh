#!/bin/sh
# The stand-ins are plain Python without dependencies; this checks that they compile.
set -eu
cd "$(dirname "$0")"
for file in standin/*.py [0-9]*/*.py; do
    python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
done
