"""Configuration folder: load, merge, validate, derive."""

from __future__ import annotations
