"""Upper bounds of the encoded size of message parts."""

from __future__ import annotations

_WORD_BYTES = 8


def bound_encoded_bytes(words: int, *texts: str) -> int:
    """Return the maximum size in bytes of data and pointer words and of the given texts."""
    text_words = sum(len(text.encode()) // _WORD_BYTES + 1 for text in texts)
    return _WORD_BYTES * (words + text_words)
