"""Bounds of sizes in the packed form of messages."""

from __future__ import annotations

_WORD_BYTES = 8
_PACKED_WORD_BYTES = 10


def bound_packed_bytes(words: int, *texts: str) -> int:
    """Return the most that data and pointer words and some texts take when packed."""
    text_words = sum(len(text.encode()) // _WORD_BYTES + 1 for text in texts if text)
    return _PACKED_WORD_BYTES * (words + text_words)
