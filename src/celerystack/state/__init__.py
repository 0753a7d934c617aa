"""Versioned rows, their codecs and the state derived from them."""

from __future__ import annotations
