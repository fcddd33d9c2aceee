"""Structured logs on standard output: one JSON object per line, rate-limited and non-blocking."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
import logging
import os
import sys

from pythonjsonlogger.json import JsonFormatter

from wagtailusher_gateway.const import (
    LOG_BUFFER_BYTES,
    LOG_LINES_PER_S,
    LOG_SUCCESS_LINES_PER_S,
    MS_PER_S,
)

_FIELDS = "%(levelname)s %(message)s"
_RENAMED = {"levelname": "level"}


class LineBudget:
    """Limits the lines per second, with a lower limit for lines about successful requests."""

    def __init__(self, lines_per_s: int, success_lines_per_s: int) -> None:
        self._lines_per_s = lines_per_s
        self._success_lines_per_s = success_lines_per_s
        self._second = -1
        self._lines = 0
        self._success_lines = 0

    def try_spend(self, *, went_well: bool, now_ms: int) -> bool:
        """Count one more line if the limits allow it; return whether they do."""
        second = now_ms // MS_PER_S
        if second != self._second:
            self._second, self._lines, self._success_lines = second, 0, 0
        if self._lines >= self._lines_per_s:
            return False
        if went_well and self._success_lines >= self._success_lines_per_s:
            return False
        self._lines += 1
        self._success_lines += went_well
        return True


class BoundedLineHandler(logging.Handler):
    """Writes lines to a non-blocking descriptor; lines that don't fit are dropped and counted."""

    def __init__(
        self,
        descriptor: int,
        *,
        vm_id: str,
        clock_ms: Callable[[], int],
        count_dropped: Callable[[str], None],
    ) -> None:
        """Make the descriptor non-blocking; `count_dropped` gets the kind of each dropped line."""
        super().__init__()
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._vm_id = vm_id
        self._clock_ms = clock_ms
        self._count_dropped = count_dropped
        self._budget = LineBudget(LOG_LINES_PER_S, LOG_SUCCESS_LINES_PER_S)
        self._buffer: deque[bytes] = deque()
        self._buffered_bytes = 0
        self._dropped = 0
        self.setFormatter(JsonFormatter(_FIELDS, rename_fields=_RENAMED))

    def emit(self, record: logging.LogRecord) -> None:
        """Write a record, or drop it if the line limit is reached."""
        now_ms = self._clock_ms()
        went_well = bool(getattr(record, "went_well", False))
        if not self._budget.try_spend(went_well=went_well, now_ms=now_ms):
            self._drop("budget")
            return
        record.vm = self._vm_id
        record.at_ms = now_ms
        if self._dropped:
            record.dropped_before = self._dropped
            self._dropped = 0
        self._enqueue(self.format(record).encode("utf-8", "replace") + b"\n")
        self.flush()

    def _enqueue(self, line: bytes) -> None:
        """Buffer a line until it can be written, or drop it if the buffer is full."""
        if self._buffered_bytes + len(line) > LOG_BUFFER_BYTES:
            self._drop("buffer")
            return
        self._buffer.append(line)
        self._buffered_bytes += len(line)

    def _drop(self, kind: str) -> None:
        """Count a dropped line; the next line that is written states how many were dropped."""
        self._dropped += 1
        self._count_dropped(kind)

    def flush(self) -> None:
        """Write as much of the buffer as is possible without blocking."""
        while self._buffer:
            line = self._buffer[0]
            try:
                written = os.write(self._descriptor, line)
            except BlockingIOError:
                return
            except OSError:
                self._count_dropped("closed")
                self._buffer.clear()
                self._buffered_bytes = 0
                return
            self._buffered_bytes -= written
            if written < len(line):
                self._buffer[0] = line[written:]
                return
            self._buffer.popleft()


def set_up_structured_logs(
    *,
    vm_id: str,
    level: str,
    clock_ms: Callable[[], int],
    count_dropped: Callable[[str], None],
) -> BoundedLineHandler:
    """Send all logs to standard output and return the handler."""
    handler = BoundedLineHandler(
        sys.stdout.fileno(), vm_id=vm_id, clock_ms=clock_ms, count_dropped=count_dropped
    )
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level.upper())
    return handler
