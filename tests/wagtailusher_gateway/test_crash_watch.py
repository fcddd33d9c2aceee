"""Tests of what counts as the crash of an endpoint.

They guard against requests that are refused everywhere because one VM lost its connections.
"""

from __future__ import annotations

import asyncio
from random import Random
import unittest

from tests.wagtailusher_gateway.builders import endpoint, view
from wagtailusher_core import FailureDomainId
from wagtailusher_gateway.const import CRASH_REFERENCES
from wagtailusher_gateway.crash_watch import CrashWatch, choose_references
from wagtailusher_gateway.models import Endpoint
from wagtailusher_quarantine import Suspect

SUSPECT = Suspect(fingerprint="f", has_begun=True)


class CrashWatchTest(unittest.IsolatedAsyncioTestCase):
    """An endpoint ended a request's connection, and refuses new ones."""

    async def _async_crashed(self, refusing: set[str], references: tuple[str, ...]) -> bool:
        """Return whether endpoint 1 counts as crashed while these addresses refuse connections."""
        crashed: list[Endpoint] = []
        lost: list[str] = []

        async def async_is_refused(address: str) -> bool:
            return address in refusing

        watch = CrashWatch(
            is_refused=async_is_refused,
            other_addresses=lambda item: references,
            on_crash=lambda item, suspects: crashed.append(item),
            clock_ms=lambda: 1_000,
            on_lost=lambda endpoint_id, now_ms: lost.append(endpoint_id),
        )
        watch.record_break(endpoint(1), (SUSPECT,))
        await watch.async_wait(endpoint(1))
        await asyncio.sleep(0)
        self.assertEqual(lost, [item.endpoint_id for item in crashed])
        return bool(crashed)

    async def test_endpoint_crashed_if_it_alone_refuses_connections(self) -> None:
        own = endpoint(1).address
        self.assertTrue(await self._async_crashed({own}, ("b", "c")))
        self.assertTrue(await self._async_crashed({own, "b"}, ("b", "c")))
        self.assertTrue(await self._async_crashed({own}, ()))

    async def test_endpoint_has_not_crashed_if_all_refuse_connections(self) -> None:
        own = endpoint(1).address
        self.assertFalse(await self._async_crashed({own, "b", "c"}, ("b", "c")))
        self.assertFalse(await self._async_crashed(set(), ("b", "c")))

    def test_references_are_others_in_other_failure_domains(self) -> None:
        own = FailureDomainId("own")
        local = [endpoint(number, failure_domain_id=own) for number in (1, 2, 3)]
        remote = [
            endpoint(number, failure_domain_id=FailureDomainId("other"), is_draining=number == 6)
            for number in (4, 5, 6, 7, 8)
        ]
        for seed in range(20):
            chosen = choose_references(view(*local, *remote), local[0], Random(seed))
            self.assertEqual(len(set(chosen)), CRASH_REFERENCES)
            self.assertLessEqual(set(chosen), {remote[index].address for index in (0, 1, 3, 4)})
        alone = choose_references(view(*local), local[0], Random(1))
        self.assertEqual(set(alone), {local[1].address, local[2].address})
        self.assertEqual(choose_references(view(local[0]), local[0], Random(1)), [])


if __name__ == "__main__":
    unittest.main()
