"""Decisions about leases: grants and renewals, lessor selection and takeovers, without I/O."""

from __future__ import annotations
