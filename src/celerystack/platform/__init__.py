"""Adapter to the users' platform: translates its settings, rows, headers and orders."""
