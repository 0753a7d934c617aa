"""Identifier types shared by all packages."""

from __future__ import annotations

from typing import NewType

ServiceName = NewType("ServiceName", str)
ServerId = NewType("ServerId", str)
EntryVmId = NewType("EntryVmId", str)
ZoneName = NewType("ZoneName", str)
Incarnation = NewType("Incarnation", str)
"""Identifies one process of an entry VM or server; a restarted process has a new one."""
RequestId = NewType("RequestId", str)
TransactionId = NewType("TransactionId", str)
RowKey = NewType("RowKey", str)
Fingerprint = NewType("Fingerprint", bytes)
"""Hash that is equal for equal requests."""
Token = NewType("Token", int)
Epoch = NewType("Epoch", int)
ShardId = NewType("ShardId", int)
KeyHash = NewType("KeyHash", int)
RowVersion = NewType("RowVersion", int)
"""Version of a row or of the whole store; see `celerystack.fleet.rows` for its parts."""
StoreEra = NewType("StoreEra", int)
"""Number that rises each time the store comes back from an earlier copy of itself."""
ConfigVersion = NewType("ConfigVersion", int)
