"""Admission control, concurrency limits, queues and retry budgets, without I/O."""

from __future__ import annotations
