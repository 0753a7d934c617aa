from __future__ import annotations

import testtools
from hypothesis import given
from hypothesis import strategies as st

from celerystack import ids
from celerystack.observe import audit


class AuditTest(testtools.TestCase):
    @given(st.text(max_size=3000))
    def test_texts_are_short_and_on_one_line(self, text: str) -> None:
        """Guards against line breaks that forge audit entries, and texts that overfill a row."""
        line = audit.one_line(text)
        self.assertLessEqual(len(line), audit.TEXT_CHARACTERS_MAX)
        self.assertLessEqual(len(line.splitlines()), 1)

    def test_config_text_can_be_read_back(self) -> None:
        """Guards against a text from which ``--base`` cannot read the version."""
        text = audit.config_text(ids.ConfigVersion(12), "config/ab", files=["a.toml", "-b.toml"])
        self.assertEqual((12, "config/ab"), audit.parse_config_text(text))
        self.assertIsNone(audit.parse_config_text("state=active token=3 lessors=-"))

    def test_shards_text_is_bounded(self) -> None:
        """Guards against audit rows that grow with the number of shards."""
        owners = {ids.ShardId(n): ids.ServerId("s") for n in range(100)}
        self.assertIn("and 80 more", audit.shards_text(owners))
