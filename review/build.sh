#!/usr/bin/env bash
# Builds what the scripts of the cases start: the stand-ins are plain Python and need no compiler.
set -euo pipefail
cd "$(dirname "$0")"
python3 -m compileall -q .
