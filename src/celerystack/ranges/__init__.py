"""Exclusive ownership of key ranges: their owners, fencing tokens, leases and moves."""
