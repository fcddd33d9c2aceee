"""Bounds of the sizes of parts of encoded messages."""

from __future__ import annotations

_WORD_BYTES = 8


def bound_encoded_bytes(words: int, *texts: str) -> int:
    """Return the most that data and pointer words and some texts take."""
    text_words = sum(len(text.encode()) // _WORD_BYTES + 1 for text in texts)
    return _WORD_BYTES * (words + text_words)
