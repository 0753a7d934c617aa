"""Stand-ins for outside systems and tools that drive a whole cluster; not shipped."""

from __future__ import annotations
