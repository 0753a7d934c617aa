"""`RowCache` against a dictionary that keeps the highest version."""

from __future__ import annotations

import testtools
from hypothesis import given, settings
from hypothesis import strategies as st

from celerystack.state import cache
from celerystack.store import ports

KEYS = ("map/a/0", "map/a/1", "map/b/0", "server/a")


def row(key: str, version: int) -> ports.Row:
    """Return the only row that the table ever had with this version; every third is a deletion."""
    return ports.Row(key, version, None if version % 3 == 0 else f"{key} {version}".encode())


BATCHES = st.lists(
    st.lists(st.builds(row, st.sampled_from(KEYS), st.integers(1, 9)), max_size=6), max_size=12
)


class RowCacheTest(testtools.TestCase):
    @settings(max_examples=300)
    @given(BATCHES, st.randoms(use_true_random=False))
    def test_random_order_and_duplicates(self, batches, source) -> None:
        """Guards against rows that revert, and against digests that depend on the order."""
        rows = cache.RowCache()
        heard: list[ports.Row] = []
        rows.add_listener(heard.extend)
        naive: dict[str, ports.Row] = {}
        for batch in batches:
            expected = []
            for new in batch:
                if new.key not in naive or new.version > naive[new.key].version:
                    naive[new.key] = new
                    expected.append(new)
            heard.clear()
            self.assertEqual(expected, rows.merge(batch))
            self.assertEqual(expected, heard)
        self.assertEqual({k: r.version for k, r in naive.items()}, rows.versions_by_key())
        for prefix in ("", "map/", "map/a/", "server/", "x"):
            shown = [r for k, r in sorted(naive.items()) if k.startswith(prefix)]
            existing = [r for r in shown if r.value is not None]
            self.assertEqual(existing, rows.with_prefix(prefix))
        shuffled = [new for batch in batches for new in batch] * 2
        source.shuffle(shuffled)
        other = cache.RowCache()
        for new in shuffled:
            other.merge([new])
        self.assertEqual(rows.digest, other.digest)
        for key in KEYS:
            self.assertEqual(rows.get(key), other.get(key))

    @settings(max_examples=200)
    @given(BATCHES, BATCHES)
    def test_digest_tells_different_caches_apart(self, first, second) -> None:
        """Guards against equal digests of caches that hold different versions."""
        caches = []
        for batches in (first, second):
            rows = cache.RowCache()
            for batch in batches:
                rows.merge(batch)
            caches.append(rows)
        one, two = caches
        same = one.versions_by_key() == two.versions_by_key()
        self.assertEqual(same, one.digest == two.digest)
