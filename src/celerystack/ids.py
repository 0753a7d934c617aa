"""Identifier types shared by all packages."""

from __future__ import annotations

from typing import NewType

ServiceName = NewType("ServiceName", str)
ServerId = NewType("ServerId", str)
EntryVmId = NewType("EntryVmId", str)
ZoneName = NewType("ZoneName", str)
Incarnation = NewType("Incarnation", str)
RequestId = NewType("RequestId", str)
TransactionId = NewType("TransactionId", str)
RowKey = NewType("RowKey", str)
Fingerprint = NewType("Fingerprint", bytes)
Token = NewType("Token", int)
Epoch = NewType("Epoch", int)
ShardId = NewType("ShardId", int)
KeyHash = NewType("KeyHash", int)
RowVersion = NewType("RowVersion", int)
ConfigVersion = NewType("ConfigVersion", int)
