"""Structured logs on standard output: one JSON object a line, bounded and never blocking."""

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
    """Counts the lines of the present second; lines on what went well run out first."""

    def __init__(self, lines_per_s: int, success_lines_per_s: int) -> None:
        """Set the bounds."""
        self._lines_per_s = lines_per_s
        self._success_lines_per_s = success_lines_per_s
        self._second = -1
        self._lines = 0
        self._success_lines = 0

    def take(self, *, went_well: bool, now_ms: int) -> bool:
        """Tell whether one more line may be written."""
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
    """Writes lines to a descriptor that never blocks; what does not fit is counted."""

    def __init__(
        self,
        descriptor: int,
        *,
        vm_id: str,
        clock_ms: Callable[[], int],
        count_dropped: Callable[[str], None],
    ) -> None:
        """Take over a descriptor."""
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
        """Write a record or drop it."""
        now_ms = self._clock_ms()
        went_well = bool(getattr(record, "went_well", False))
        if not self._budget.take(went_well=went_well, now_ms=now_ms):
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
        """Keep a line until the reader takes it."""
        if self._buffered_bytes + len(line) > LOG_BUFFER_BYTES:
            self._drop("buffer")
            return
        self._buffer.append(line)
        self._buffered_bytes += len(line)

    def _drop(self, kind: str) -> None:
        """Count a dropped line; the next line that is written says how many there were."""
        self._dropped += 1
        self._count_dropped(kind)

    def flush(self) -> None:
        """Write what the reader takes without waiting."""
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
    """Write the logs of all parts to standard output."""
    handler = BoundedLineHandler(
        sys.stdout.fileno(), vm_id=vm_id, clock_ms=clock_ms, count_dropped=count_dropped
    )
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level.upper())
    return handler
