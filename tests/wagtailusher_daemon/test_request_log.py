"""Tests of the request log and its check of latency targets."""

from __future__ import annotations

from dataclasses import replace
import unittest

from tests.wagtailusher_router.node import POOL, policy
from wagtailusher_core import Outcome, RequestId
from wagtailusher_daemon.request_log import MAX_RECORDS, RequestLog, RequestRecord
from wagtailusher_router import ClassifiedRequest

ARRIVAL = ClassifiedRequest(
    request_id=RequestId("r"), policy=policy(), pool_id=POOL, fingerprint="f"
)


def record(first_token_ms: int, total_ms: int, events: int, *, chat: bool = True) -> RequestRecord:
    """Return the record of a complete answer; targets are 1,000, 49 and 10,000 ms."""
    return RequestRecord(
        trace_id="t",
        arrival=replace(ARRIVAL, streams_tokens=chat),
        arrived_ms=0,
        outcome=Outcome.COMPLETED,
        first_token_ms=first_token_ms,
        total_ms=total_ms,
        events=events,
    )


class RequestLogTest(unittest.TestCase):
    """Targets are the first token, the gaps between tokens, or a service's complete answer."""

    def test_targets(self) -> None:
        cases = [
            (record(1_000, 1_000 + 49 * 100, 101), True),
            (record(1_000, 1_000 + 50 * 100, 101), False),
            (record(1_001, 1_100, 101), False),
            (record(900, 60_000, 0), True),
            (record(5_000, 10_000, 0, chat=False), True),
            (record(5_000, 10_001, 0, chat=False), False),
        ]
        for number, (item, met) in enumerate(cases):
            with self.subTest(number=number):
                self.assertIs(item.target_met, met)
        unfinished = RequestRecord(trace_id="t", arrival=ARRIVAL, arrived_ms=0)
        self.assertIsNone(unfinished.target_met)

    def test_oldest_records_are_evicted(self) -> None:
        request_log = RequestLog()
        for number in range(MAX_RECORDS + 1):
            item = RequestRecord(trace_id=str(number), arrival=ARRIVAL, arrived_ms=0)
            request_log.add(item)
        self.assertIsNone(request_log.get("0"))
        self.assertIsNotNone(request_log.get(str(MAX_RECORDS)))


if __name__ == "__main__":
    unittest.main()
