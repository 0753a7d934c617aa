"""Runs the program with ``python -m celerystack``."""

from __future__ import annotations

import sys

from celerystack import run

if __name__ == "__main__":
    sys.exit(run.main())
