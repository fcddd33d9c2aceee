"""The received part of a body."""

from __future__ import annotations

from io import BytesIO

from wagtailusher_core import callback


class BodyBuffer:
    """Collects a body without a second copy at its end."""

    __slots__ = ("_content", "size_bytes")

    def __init__(self) -> None:
        """Start an empty buffer."""
        self.size_bytes = 0
        self._content = BytesIO()

    @callback
    def append(self, chunk: bytes | bytearray) -> None:
        """Add a chunk."""
        self._content.write(chunk)
        self.size_bytes += len(chunk)

    @callback
    def drop(self) -> None:
        """Free the content."""
        self._content = BytesIO()
        self.size_bytes = 0

    def content(self) -> bytes:
        """Return the content, which BytesIO does not copy."""
        return self._content.getvalue()
