"""Tests of the relay benchmark with a small run through a real daemon.

Broken streams or failed requests would make the measured cost meaningless.
"""

from __future__ import annotations

import unittest

from wagtailusher_bench.relay import RelayShape, async_measure_relay

SMALL_SHAPE = RelayShape(
    streams=3, joined_streams=2, window_ms=200, repeats=1, requests=4, connections=2
)


class RelayMeasureTest(unittest.IsolatedAsyncioTestCase):
    """Checks that all streams and requests complete; the figures are not checked."""

    async def test_every_stream_and_request_completes(self) -> None:
        results = [result async for result in async_measure_relay(SMALL_SHAPE)]
        names = [result["measure"] for result in results]
        self.assertEqual(names, ["chunk_one_by_one", "chunk_joined", "whole_request"])
        for result in results:
            with self.subTest(measure=result["measure"]):
                self.assertEqual(result["broken"], 0)
                self.assertGreater(float(str(result["measured_per_s"])), 0)


if __name__ == "__main__":
    unittest.main()
