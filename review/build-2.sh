#!/bin/sh
# Prepares the stand-ins of review cases 6 to 10, which are Python files of this folder that use the
# standard library only. The programs under review come from the build of the deploy file.
set -e
cd "$(dirname "$0")"
python3 -m py_compile rig_2.py
test -d ../target/deps || { echo "run the build of the deploy file first" >&2; exit 1; }
