"""Ownership of key ranges: who owns which keys, under which fencing token, and how they move."""
