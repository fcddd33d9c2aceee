"""Tests of the validator that parses each settings document once."""

from __future__ import annotations

import unittest

from tests.wagtailusher_daemon.fleet import settings_document
from wagtailusher_core import Revision
from wagtailusher_daemon.settings_validator import ApplyResult, SettingsValidator
from wagtailusher_settings import Applied, Rejected, SettingsCache

FIRST = Revision(epoch=0, number=1)


class SettingsValidatorTest(unittest.IsolatedAsyncioTestCase):
    """Guards against a rejected document that replaces the current settings or passes later."""

    def setUp(self) -> None:
        self.results: list[ApplyResult] = []
        self.settings_cache = SettingsCache()
        self.validator = SettingsValidator(self.settings_cache, self.results.append)

    async def test_valid_document_is_applied(self) -> None:
        content = settings_document(1)
        await self.validator.async_prepare(content)
        self.assertIsNone(self.validator.validate(FIRST, content))
        self.validator.apply(content)
        self.assertIsInstance(self.results[-1], Applied)
        self.assertIsNone(self.validator.validate(FIRST, content))

    async def test_rejected_document_is_rejected_again(self) -> None:
        good = settings_document(1)
        self.validator.validate(FIRST, good)
        self.validator.apply(good)
        bad = settings_document(2, tier=99)
        second = Revision(epoch=0, number=2)
        for _ in range(2):
            await self.validator.async_prepare(bad)
            self.assertIsNotNone(self.validator.validate(second, bad))
        self.assertIsInstance(self.results[-1], Rejected)
        assert self.settings_cache.current is not None
        self.assertEqual(self.settings_cache.current.revision, FIRST)

    def test_document_with_another_revision_is_rejected(self) -> None:
        self.assertIsNotNone(
            self.validator.validate(Revision(epoch=0, number=9), settings_document(1))
        )


if __name__ == "__main__":
    unittest.main()
