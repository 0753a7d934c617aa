"""Adapters for the users' platform: settings, rows, HTTP headers and requests to servers."""
