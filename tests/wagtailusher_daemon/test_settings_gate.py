"""Tests of the gate that parses each settings document once."""

from __future__ import annotations

import unittest

from tests.wagtailusher_daemon.fleet import settings_document
from wagtailusher_core import Revision
from wagtailusher_daemon.settings_gate import SettingsGate, Taken
from wagtailusher_settings import Applied, Rejected, SettingsCache

FIRST = Revision(epoch=0, number=1)


class SettingsGateTest(unittest.IsolatedAsyncioTestCase):
    """A refused document stays refused, and the last good one stays in force."""

    def setUp(self) -> None:
        self.taken: list[Taken] = []
        self.settings_cache = SettingsCache()
        self.gate = SettingsGate(self.settings_cache, self.taken.append)

    async def test_valid_document_is_applied(self) -> None:
        content = settings_document(1)
        await self.gate.async_prepare(content)
        self.assertIsNone(self.gate.validate(FIRST, content))
        self.gate.apply(content)
        self.assertIsInstance(self.taken[-1], Applied)
        self.assertIsNone(self.gate.validate(FIRST, content))

    async def test_refused_document_is_refused_again(self) -> None:
        good = settings_document(1)
        self.gate.validate(FIRST, good)
        self.gate.apply(good)
        bad = settings_document(2, tier=99)
        second = Revision(epoch=0, number=2)
        for _ in range(2):
            await self.gate.async_prepare(bad)
            self.assertIsNotNone(self.gate.validate(second, bad))
        self.assertIsInstance(self.taken[-1], Rejected)
        assert self.settings_cache.current is not None
        self.assertEqual(self.settings_cache.current.revision, FIRST)

    def test_document_of_another_revision_is_refused(self) -> None:
        self.assertIsNotNone(self.gate.validate(Revision(epoch=0, number=9), settings_document(1)))


if __name__ == "__main__":
    unittest.main()
