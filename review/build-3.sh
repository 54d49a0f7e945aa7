#!/bin/sh
# Checks the stand-ins of review/lib-3 and the scripts that use them; they are Python and need no build.
set -eu
cd "$(dirname "$0")"
for file in lib-3/standins.py lib-3/network.py 1[1-5]/*.py trials-3/*/*.py; do
    [ -e "$file" ] || continue
    python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
done
