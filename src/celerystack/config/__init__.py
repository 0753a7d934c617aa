"""Loads, merges and validates configuration folders and derives the configuration in force."""

from __future__ import annotations
