"""Connection shares, deadline queues and retry budgets, free of I/O."""

from __future__ import annotations
