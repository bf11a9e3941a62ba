#!/bin/sh
# Prepares the stand-ins that the scripts of review/6 to review/10 start. They are Python programs
# that use the libraries of the deploy file's build, so there is nothing to compile.
set -e
cd "$(dirname "$0")/.."
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=target/deps:src python3 -c "import standins.metadata"
