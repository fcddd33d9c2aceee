"""Settings in force never go back, whatever order documents arrive in."""

from __future__ import annotations

import json
from random import Random
import unittest

from hypothesis import given
from hypothesis import strategies as st

from wagtailusher_core import ErrorCode, Revision
from wagtailusher_settings import (
    Applied,
    Ignored,
    Prepared,
    Refused,
    SettingsKeeper,
    canonical_bytes,
)


def build_content(epoch: int, number: int, tier: int = 2, *, spaced: bool = False) -> bytes:
    """Return a small document; a tier above 6 makes it invalid."""
    routes = {"chat": {"models": ["m"], "classes": {"a": {"tier": tier}}}}
    document = {"epoch": epoch, "revision": number, "fleet": {"routes": routes}}
    return json.dumps(document, indent=1 if spaced else None).encode()


OFFERS = st.lists(
    st.builds(
        build_content, st.integers(0, 2), st.integers(1, 4), st.integers(5, 8), spaced=st.booleans()
    ),
    max_size=24,
)


class KeeperTest(unittest.TestCase):
    """Offers in any order."""

    @given(OFFERS)
    def test_the_highest_valid_revision_stays(self, offers: list[bytes]) -> None:
        keeper = SettingsKeeper()
        expected: dict[str, int] | None = None
        for now_ms, content in enumerate(offers):
            document = json.loads(content)
            place = (document["epoch"], document["revision"])
            tier = document["fleet"]["routes"]["chat"]["classes"]["a"]["tier"]
            result = keeper.offer(content, now_ms)
            higher = expected is None or place > (expected["epoch"], expected["number"])
            self.assertEqual(isinstance(result, Applied), tier <= 6 and higher)
            if isinstance(result, Applied):
                expected = {"epoch": place[0], "number": place[1], "tier": tier}
                self.assertIsNone(keeper.refusal)
            if tier > 6:
                assert isinstance(result, Refused)
                self.assertEqual(keeper.refusal, result)
                self.assertIn("fleet.routes.chat.classes.a.tier", result.problems[0].key)
            if keeper.current is not None and expected is not None:
                policy = keeper.current.fleet_node.routes["chat"].classes["a"]
                revision = keeper.current.revision
                found = {"epoch": revision.epoch, "number": revision.number, "tier": policy.tier}
                self.assertEqual(found, expected)

    def test_same_revision_with_other_content_is_refused(self) -> None:
        keeper = SettingsKeeper()
        keeper.offer(build_content(0, 5, 2), 0)
        same = keeper.offer(canonical_bytes(build_content(0, 5, 2, spaced=True)), 1)
        self.assertIsInstance(same, Ignored)
        twin = keeper.offer(build_content(0, 5, 3), 2)
        assert isinstance(twin, Refused)
        self.assertEqual((twin.code, twin.count), (ErrorCode.SETTINGS_STALE, 1))
        again = keeper.offer(build_content(0, 5, 3), 3)
        assert isinstance(again, Refused)
        self.assertEqual(again.count, 2)
        self.assertIsInstance(keeper.offer(build_content(0, 6, 3), 4), Applied)
        self.assertIsNone(keeper.refusal)

    def test_only_a_raised_epoch_takes_a_restored_backup(self) -> None:
        keeper = SettingsKeeper()
        keeper.offer(build_content(0, 9), 0)
        stale = keeper.offer(build_content(0, 4), 1)
        self.assertEqual(stale, Ignored(revision=Revision(number=4), stale=True))
        self.assertIsInstance(keeper.offer(build_content(1, 1), 2), Applied)

    @given(OFFERS, st.randoms(use_true_random=False))
    def test_documents_prepared_early_and_applied_late_never_revert(
        self, offers: list[bytes], random: Random
    ) -> None:
        keeper = SettingsKeeper()
        waiting: list[Prepared] = []
        last = Revision()
        for now_ms, content in enumerate(offers):
            waiting.append(keeper.prepare(content))
            if random.random() < 0.5:
                continue
            result = keeper.apply(waiting.pop(random.randrange(len(waiting))), now_ms)
            if isinstance(result, Applied):
                self.assertGreater(result.settings.revision, last)
                last = result.settings.revision
            if keeper.current is not None:
                self.assertEqual(keeper.current.revision, last)
