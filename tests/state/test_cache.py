from __future__ import annotations

import testtools

from celerystack import ids
from celerystack.state import cache
from celerystack.store import ports


def make_row(key: str, version: int, value: bytes | None = b"x") -> ports.Row:
    return ports.Row(ids.RowKey(key), ids.RowVersion(version), value)


class RowCacheTest(testtools.TestCase):
    def test_older_row_is_ignored(self):
        """Guards against a peer whose stale row reverts the configuration."""
        row_cache = cache.RowCache()
        row_cache.merge([make_row("config/head", 2, b"new")])
        self.assertEqual([], row_cache.merge([make_row("config/head", 1, b"old")]))
        self.assertEqual(b"new", row_cache.get(ids.RowKey("config/head")).value)

    def test_deleted_row_does_not_come_back(self):
        """Guards against a stale copy of a deleted row that undoes the deletion."""
        row_cache = cache.RowCache()
        row_cache.merge([make_row("drain/a", 2, None)])
        row_cache.merge([make_row("drain/a", 1, b"old")])
        self.assertIsNone(row_cache.get(ids.RowKey("drain/a")).value)

    def test_digest_depends_on_versions_only(self):
        """Guards against endless row exchange because digests depend on the order of arrival."""
        first, second = cache.RowCache(), cache.RowCache()
        first.merge([make_row("a", 1), make_row("b", 1)])
        first.merge([make_row("a", 2)])
        second.merge([make_row("b", 1)])
        second.merge([make_row("a", 2)])
        self.assertEqual(first.digest, second.digest)
        second.merge([make_row("b", 2)])
        self.assertNotEqual(first.digest, second.digest)

    def test_listener_gets_only_changed_rows(self):
        """Guards against listeners that process rows which they already know."""
        row_cache = cache.RowCache()
        changed_keys = []
        row_cache.add_listener(lambda changed: changed_keys.append([r.key for r in changed]))
        row_cache.merge([make_row("a", 1), make_row("b", 1)])
        row_cache.merge([make_row("a", 1)])
        row_cache.merge([make_row("a", 1), make_row("b", 2)])
        self.assertEqual([["a", "b"], ["b"]], changed_keys)
