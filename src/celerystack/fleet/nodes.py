"""Registration of the entry VMs in the store."""

from __future__ import annotations

import dataclasses
import logging

import msgpack

from celerystack import ids
from celerystack.fleet import rows

_log = logging.getLogger(__name__)

NODES_TABLE = "vms"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Node:
    """A registered entry VM.

    Attributes
    ----------
    address : tuple
        Where it receives datagrams.
    version : RowVersion
        Version of its row, which increases when it registers again; 0 if the row was not read.
    """

    vm: ids.EntryVmId
    zone: ids.ZoneName
    address: tuple[str, int]
    version: ids.RowVersion = dataclasses.field(default=ids.RowVersion(0), compare=False)


async def register(store: rows.RowStore, node: Node) -> ids.RowVersion:
    """Write the row of an entry VM, which is required before it grants any keys.

    Returns
    -------
    RowVersion
        Version of the row.
    """
    value = msgpack.packb([node.zone, *node.address])
    put = rows.Put(table=NODES_TABLE, key=ids.RowKey(node.vm), value=value)
    return await store.transact((), [put], ())


async def read_all(store: rows.RowStore) -> dict[ids.EntryVmId, Node]:
    """Return all registered entry VMs."""
    answer = await store.scan(NODES_TABLE)
    by_vm: dict[ids.EntryVmId, Node] = {}
    for row in answer.rows:
        try:
            zone, host, port = msgpack.unpackb(row.value or b"")
            address = (str(host), int(port))
        except Exception as error:
            _log.error(
                "ignored the malformed row of entry VM %s: %r",
                row.key,
                error,
                extra={"step": "nodes"},
            )
            continue
        vm = ids.EntryVmId(row.key)
        by_vm[vm] = Node(vm=vm, zone=ids.ZoneName(zone), address=address, version=row.version)
    return by_vm
