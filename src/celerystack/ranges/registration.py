"""Registration of this entry VM in the store, and the reads of range maps that depend on it."""

from __future__ import annotations

from collections.abc import Callable, Iterator

from celerystack import ids
from celerystack.fleet import directory_sync, nodes, rows
from celerystack.ranges import codec, leadership, leases, range_maps


class Registration:
    """The row of this VM, which must be in the store when the VM reads range maps.

    A planner waits for the registered VMs when keys move.

    Parameters
    ----------
    node : nodes.Node
        This VM.
    known_era : callable
        Returns the newest era of the store that this VM knows of.
    now : callable
        Clock in seconds.
    """

    def __init__(
        self,
        node: nodes.Node,
        store: rows.RowStore,
        *,
        known_era: Callable[[], ids.StoreEra],
        now: Callable[[], float],
    ) -> None:
        self._node = node
        self._store = store
        self._known_era = known_era
        self._now = now
        self._version = directory_sync.UNKNOWN

    @property
    def is_first(self) -> bool:
        """Whether this process has not registered yet."""
        return self._version == directory_sync.UNKNOWN

    def may_be_lost(self) -> bool:
        """Return whether the store came back from an earlier copy since this VM registered."""
        return self._known_era() > rows.era_of(self._version)

    async def register(self) -> None:
        """Write the row."""
        self._version = await nodes.register(self._store, self._node)

    async def read_maps(self, registered_at: float) -> list[range_maps.KnownMap]:
        """Read the range maps; none if the registration may be too old or lost by now.

        Maps from before the store came back from an earlier copy are left out.
        """
        if self._now() - registered_at > leases.REGISTER_TO_READ_S:
            return []
        confirmed_at = leases.confirmation_by_read(self._now())
        answer = await self._store.scan(leadership.RANGES_TABLE)
        era = rows.era_of(answer.version)
        if era != rows.era_of(self._version):
            return []
        return [
            range_maps.KnownMap(codec.decode(service, value), version, confirmed_at)
            for service, value, version in _values(answer)
            if codec.decode_era(service, value) == era
        ]


def _values(answer: rows.Rows) -> Iterator[tuple[ids.ServiceName, bytes, ids.RowVersion]]:
    """Yield service, value and version of the rows of range maps."""
    for row in answer.rows:
        if row.value is not None:
            yield ids.ServiceName(row.key), row.value, row.version
