#!/usr/bin/env bash
# Builds what the scripts start besides the deploy file's build: nothing but Python, so it checks
# that the stand-ins compile. It writes nothing.
set -euo pipefail
cd "$(dirname "$0")"
for file in common.py [1-5]/run.py; do
    python3 -c 'import sys; compile(open(sys.argv[1], "rb").read(), sys.argv[1], "exec")' "$file"
done
