"""Admission, concurrency, queues, retry budgets, connection shares, crash suspects; without I/O."""

from __future__ import annotations
