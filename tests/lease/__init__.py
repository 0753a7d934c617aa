"""Tests of the lease package."""
