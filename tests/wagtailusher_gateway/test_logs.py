"""Tests of the rate-limited, non-blocking log handler.

They guard against a process that stalls on a slow log reader or loses the lines about failures.
"""

from __future__ import annotations

from collections import Counter
import json
import logging
import os
import unittest

from wagtailusher_gateway.const import LOG_LINES_PER_S, LOG_SUCCESS_LINES_PER_S
from wagtailusher_gateway.logs import BoundedLineHandler


class LogsTest(unittest.TestCase):
    """Lines are JSON objects; lines beyond the limits are dropped and counted."""

    def setUp(self) -> None:
        self.reader, self.writer = os.pipe()
        self.dropped: Counter[str] = Counter()
        self.now_ms = 5_000
        self.handler = BoundedLineHandler(
            self.writer,
            vm_id="vm-1",
            clock_ms=lambda: self.now_ms,
            count_dropped=lambda kind: self.dropped.update([kind]),
        )
        self.logger = logging.Logger("test")
        self.logger.addHandler(self.handler)

    def tearDown(self) -> None:
        os.close(self.reader)
        os.close(self.writer)

    def _lines(self) -> list[dict[str, object]]:
        return [json.loads(line) for line in os.read(self.reader, 1 << 20).splitlines()]

    def test_line_has_its_fields(self) -> None:
        """A line has the event, its details, the VM and the time."""
        self.logger.info("Request: %s", "refused", extra={"event": "request", "request": "a1"})
        line = self._lines()[0]
        self.assertEqual((line["event"], line["request"], line["vm"]), ("request", "a1", "vm-1"))
        self.assertEqual((line["message"], line["at_ms"]), ("Request: refused", 5_000))

    def test_successes_are_thinned_out_first(self) -> None:
        """Failures are still written when successes are dropped, with the number of drops."""
        for _ in range(100):
            self.logger.info("Request: answered", extra={"went_well": True})
        self.logger.info("Request: refused", extra={"went_well": False})
        lines = self._lines()
        self.assertEqual(len(lines), LOG_SUCCESS_LINES_PER_S + 1)
        self.assertEqual(lines[-1]["dropped_before"], 100 - LOG_SUCCESS_LINES_PER_S)
        self.assertEqual(self.dropped["budget"], 100 - LOG_SUCCESS_LINES_PER_S)

    def test_lines_per_second_are_limited(self) -> None:
        """No more lines are written in a second than the limit; the next second has its own."""
        for _ in range(LOG_LINES_PER_S + 50):
            self.logger.warning("Store: unavailable")
        self.assertEqual(len(self._lines()), LOG_LINES_PER_S)
        self.now_ms += 1_000
        self.logger.warning("Store: unavailable")
        self.assertEqual(len(self._lines()), 1)

    def test_stopped_reader_does_not_block(self) -> None:
        """A full pipe never blocks; lines are buffered up to a limit and then dropped."""
        text = "x" * 4_000
        for _ in range(10):
            self.now_ms += 1_000
            for _ in range(LOG_LINES_PER_S):
                self.logger.warning(text)
        self.assertGreater(self.dropped["buffer"], 0)
        while len(os.read(self.reader, 1 << 16)) == 1 << 16:
            self.handler.flush()
        self.now_ms += 1_000
        self.logger.warning("Store: available")


if __name__ == "__main__":
    unittest.main()
