#!/usr/bin/env bash
# Builds what the scripts start besides the deploy file's build: nothing but Python, so it checks
# that the stand-ins compile.
set -euo pipefail
cd "$(dirname "$0")"
python3 -m compileall -q common.py [1-5]/run.py
