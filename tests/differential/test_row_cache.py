"""`RowCache` against a dictionary that keeps the highest version."""

from __future__ import annotations

import testtools
from hypothesis import given, settings
from hypothesis import strategies as st

from celerystack.state import cache
from celerystack.store import ports

KEYS = ("map/a/0", "map/a/1", "map/b/0", "server/a")


def make_row(key: str, version: int) -> ports.Row:
    """Return the row of this version, which is always the same; every third is a deletion."""
    return ports.Row(key, version, None if version % 3 == 0 else f"{key} {version}".encode())


BATCHES = st.lists(
    st.lists(st.builds(make_row, st.sampled_from(KEYS), st.integers(1, 9)), max_size=6), max_size=12
)


class RowCacheTest(testtools.TestCase):
    @settings(max_examples=300)
    @given(BATCHES, st.randoms(use_true_random=False))
    def test_random_order_and_duplicates(self, batches, source) -> None:
        """Guards against stale rows that replace newer ones, and order-dependent digests."""
        row_cache = cache.RowCache()
        changed_rows: list[ports.Row] = []
        row_cache.add_listener(changed_rows.extend)
        newest_by_key: dict[str, ports.Row] = {}
        for batch in batches:
            expected = []
            for new in batch:
                if new.key not in newest_by_key or new.version > newest_by_key[new.key].version:
                    newest_by_key[new.key] = new
                    expected.append(new)
            changed_rows.clear()
            self.assertEqual(expected, row_cache.merge(batch))
            self.assertEqual(expected, changed_rows)
        self.assertEqual(
            {k: r.version for k, r in newest_by_key.items()}, row_cache.versions_by_key()
        )
        for prefix in ("", "map/", "map/a/", "server/", "x"):
            matching = [r for k, r in sorted(newest_by_key.items()) if k.startswith(prefix)]
            existing = [r for r in matching if r.value is not None]
            self.assertEqual(existing, row_cache.rows_with_prefix(prefix))
        shuffled = [new for batch in batches for new in batch] * 2
        source.shuffle(shuffled)
        other = cache.RowCache()
        for new in shuffled:
            other.merge([new])
        self.assertEqual(row_cache.digest, other.digest)
        for key in KEYS:
            self.assertEqual(row_cache.get(key), other.get(key))

    @settings(max_examples=200)
    @given(BATCHES, BATCHES)
    def test_digest_tells_different_caches_apart(self, first, second) -> None:
        """Guards against caches that miss a difference because their digests are equal."""
        caches = []
        for batches in (first, second):
            row_cache = cache.RowCache()
            for batch in batches:
                row_cache.merge(batch)
            caches.append(row_cache)
        first_cache, second_cache = caches
        same_versions = first_cache.versions_by_key() == second_cache.versions_by_key()
        self.assertEqual(same_versions, first_cache.digest == second_cache.digest)
