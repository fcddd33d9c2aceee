"""A budget of memory shared by the answers that are read whole."""

from __future__ import annotations

import logging

from wagtailusher_core import callback
from wagtailusher_http.body_buffer import BodyBuffer
from wagtailusher_http.client_connection import ClientConnection
from wagtailusher_http.exceptions import AnswerEvictedError

_LOGGER = logging.getLogger(__name__)


class AnswerBuffer(BodyBuffer):
    """The received part of an endpoint's answer."""

    __slots__ = ("connection", "is_evicted")

    def __init__(self, connection: ClientConnection) -> None:
        """Start an empty buffer for the body that a connection receives."""
        super().__init__()
        self.connection = connection
        self.is_evicted = False


class BufferBudget:
    """Limits the bytes held by all buffers; above it the largest answer gives way.

    The largest one is that of the peer that sends without end, so other answers are completed.
    """

    def __init__(self, max_bytes: int) -> None:
        self._max_bytes = max_bytes
        self._buffers: set[AnswerBuffer] = set()
        self.held_bytes = 0
        self.peak_bytes = 0
        self.evicted_count = 0

    @callback
    def open_buffer(self, connection: ClientConnection) -> AnswerBuffer:
        """Return a buffer for the body that a connection receives; `release` ends its use."""
        buffer = AnswerBuffer(connection)
        self._buffers.add(buffer)
        return buffer

    @callback
    def append(self, buffer: AnswerBuffer, chunk: bytes) -> None:
        """Add a chunk; raise AnswerEvictedError if this answer has to give way."""
        while self.held_bytes + len(chunk) > self._max_bytes and not buffer.is_evicted:
            self._evict(max(self._buffers, key=lambda item: _size_after(item, buffer, chunk)))
        self.check(buffer)
        buffer.append(chunk)
        self.held_bytes += len(chunk)
        self.peak_bytes = max(self.peak_bytes, self.held_bytes)

    @callback
    def check(self, buffer: AnswerBuffer) -> None:
        """Raise AnswerEvictedError if a buffer's answer gave way."""
        if buffer.is_evicted:
            raise AnswerEvictedError(
                f"the answer of {buffer.connection.address} was dropped, as the buffered answers"
                f" exceed {self._max_bytes} bytes"
            )

    @callback
    def release(self, buffer: AnswerBuffer) -> None:
        """Return a buffer's bytes to the budget."""
        self._buffers.discard(buffer)
        self.held_bytes -= buffer.size_bytes
        buffer.drop()

    @callback
    def _evict(self, buffer: AnswerBuffer) -> None:
        """Drop an answer and close its connection."""
        self.evicted_count += 1
        _LOGGER.warning(
            "Client: dropping an answer of %s after %s bytes, %s bytes are buffered",
            buffer.connection.address,
            buffer.size_bytes,
            self.held_bytes,
            extra={"event": "answer_evicted", "code": str(AnswerEvictedError.code)},
        )
        buffer.is_evicted = True
        self.release(buffer)
        buffer.connection.abort()


def _size_after(item: AnswerBuffer, growing: AnswerBuffer, chunk: bytes) -> int:
    """Return a buffer's size once the chunk is added to the growing one."""
    return item.size_bytes + (len(chunk) if item is growing else 0)
