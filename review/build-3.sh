#!/bin/sh
# Builds what the scripts of review/11 and review/12 start: the stand-ins are Python modules without
# dependencies, so they are only compiled, to find errors before a run.
set -e
cd "$(dirname "$0")"
for file in common_3.py 1[12]/case.py; do
    python3 -c 'import sys; compile(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1], "exec")' "$file"
done
