from __future__ import annotations

import testtools

from celerystack import ids
from celerystack.state import cache
from celerystack.store import ports


def row(key: str, version: int, value: bytes | None = b"x") -> ports.Row:
    return ports.Row(ids.RowKey(key), ids.RowVersion(version), value)


class RowCacheTest(testtools.TestCase):
    def test_older_row_is_ignored(self):
        """Guards against a peer with an old view reverting the configuration."""
        rows = cache.RowCache()
        rows.merge([row("config/head", 2, b"new")])
        self.assertEqual([], rows.merge([row("config/head", 1, b"old")]))
        self.assertEqual(b"new", rows.get(ids.RowKey("config/head")).value)

    def test_deleted_row_does_not_come_back(self):
        """Guards against an older copy that undoes a deletion."""
        rows = cache.RowCache()
        rows.merge([row("drain/a", 2, None)])
        rows.merge([row("drain/a", 1, b"old")])
        self.assertIsNone(rows.get(ids.RowKey("drain/a")).value)

    def test_digest_depends_on_versions_only(self):
        """Guards against comparisons that never settle because the order of arrival differs."""
        first, second = cache.RowCache(), cache.RowCache()
        first.merge([row("a", 1), row("b", 1)])
        first.merge([row("a", 2)])
        second.merge([row("b", 1)])
        second.merge([row("a", 2)])
        self.assertEqual(first.digest, second.digest)
        second.merge([row("b", 2)])
        self.assertNotEqual(first.digest, second.digest)

    def test_listener_gets_only_changed_rows(self):
        """Guards against work for rows that are already known."""
        rows = cache.RowCache()
        seen = []
        rows.add_listener(lambda changed: seen.append([r.key for r in changed]))
        rows.merge([row("a", 1), row("b", 1)])
        rows.merge([row("a", 1)])
        rows.merge([row("a", 1), row("b", 2)])
        self.assertEqual([["a", "b"], ["b"]], seen)
