"""Revisions of the settings in force.

Guards against a return to an older revision when documents arrive, or are applied, out of order.
"""

from __future__ import annotations

import json
from random import Random
import unittest

from hypothesis import given
from hypothesis import strategies as st

from wagtailusher_core import ErrorCode, Revision
from wagtailusher_settings import (
    Applied,
    NotNewer,
    ParsedDocument,
    Rejected,
    SettingsCache,
    canonical_bytes,
)


def build_content(epoch: int, number: int, tier: int = 2, *, spaced: bool = False) -> bytes:
    """Return a small document; a tier above 6 makes it invalid."""
    routes = {"chat": {"models": ["m"], "classes": {"a": {"tier": tier}}}}
    document = {"epoch": epoch, "revision": number, "fleet": {"routes": routes}}
    return json.dumps(document, indent=1 if spaced else None).encode()


DOCUMENTS = st.lists(
    st.builds(
        build_content, st.integers(0, 2), st.integers(1, 4), st.integers(5, 8), spaced=st.booleans()
    ),
    max_size=24,
)


class SettingsCacheTest(unittest.TestCase):
    """Updates in any order."""

    @given(DOCUMENTS)
    def test_the_highest_valid_revision_stays(self, contents: list[bytes]) -> None:
        settings_cache = SettingsCache()
        expected: dict[str, int] | None = None
        for now_ms, content in enumerate(contents):
            document = json.loads(content)
            order = (document["epoch"], document["revision"])
            tier = document["fleet"]["routes"]["chat"]["classes"]["a"]["tier"]
            result = settings_cache.update(content, now_ms)
            higher = expected is None or order > (expected["epoch"], expected["number"])
            self.assertEqual(isinstance(result, Applied), tier <= 6 and higher)
            if isinstance(result, Applied):
                expected = {"epoch": order[0], "number": order[1], "tier": tier}
                self.assertIsNone(settings_cache.last_rejection)
            if tier > 6:
                assert isinstance(result, Rejected)
                self.assertEqual(settings_cache.last_rejection, result)
                self.assertIn("fleet.routes.chat.classes.a.tier", result.problems[0].key)
            if settings_cache.current is not None and expected is not None:
                policy = settings_cache.current.fleet_node.routes["chat"].classes["a"]
                revision = settings_cache.current.revision
                found = {"epoch": revision.epoch, "number": revision.number, "tier": policy.tier}
                self.assertEqual(found, expected)

    def test_same_revision_with_other_content_is_refused(self) -> None:
        settings_cache = SettingsCache()
        settings_cache.update(build_content(0, 5, 2), 0)
        same = settings_cache.update(canonical_bytes(build_content(0, 5, 2, spaced=True)), 1)
        self.assertIsInstance(same, NotNewer)
        conflicting = settings_cache.update(build_content(0, 5, 3), 2)
        assert isinstance(conflicting, Rejected)
        self.assertEqual((conflicting.code, conflicting.count), (ErrorCode.SETTINGS_STALE, 1))
        repeated = settings_cache.update(build_content(0, 5, 3), 3)
        assert isinstance(repeated, Rejected)
        self.assertEqual(repeated.count, 2)
        self.assertIsInstance(settings_cache.update(build_content(0, 6, 3), 4), Applied)
        self.assertIsNone(settings_cache.last_rejection)

    def test_restored_backup_is_applied_only_with_a_higher_epoch(self) -> None:
        settings_cache = SettingsCache()
        settings_cache.update(build_content(0, 9), 0)
        stale = settings_cache.update(build_content(0, 4), 1)
        self.assertEqual(stale, NotNewer(revision=Revision(number=4), stale=True))
        self.assertIsInstance(settings_cache.update(build_content(1, 1), 2), Applied)

    @given(DOCUMENTS, st.randoms(use_true_random=False))
    def test_late_application_of_parsed_documents_never_reverts(
        self, contents: list[bytes], random: Random
    ) -> None:
        settings_cache = SettingsCache()
        waiting: list[ParsedDocument] = []
        last = Revision()
        for now_ms, content in enumerate(contents):
            waiting.append(settings_cache.prepare(content))
            if random.random() < 0.5:
                continue
            result = settings_cache.apply(waiting.pop(random.randrange(len(waiting))), now_ms)
            if isinstance(result, Applied):
                self.assertGreater(result.settings.revision, last)
                last = result.settings.revision
            if settings_cache.current is not None:
                self.assertEqual(settings_cache.current.revision, last)
