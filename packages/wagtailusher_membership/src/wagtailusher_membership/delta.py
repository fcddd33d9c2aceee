"""Differences between two configurations, as copies from the base and new bytes."""

from __future__ import annotations

from collections.abc import Callable, Iterator, Sequence

from xxhash import xxh3_64_intdigest

from wagtailusher_wire import DeltaStep

_CHUNK_LINES_MASK = 3


class DeltaError(ValueError):
    """A delta doesn't fit its base."""


def digest_content(content: bytes) -> int:
    """Return the hash that tells contents apart."""
    return xxh3_64_intdigest(content)


def make_delta(base: bytes, content: bytes) -> tuple[DeltaStep, ...]:
    """Return steps that build the content from the base."""
    limit = min(len(base), len(content))
    prefix = _common_prefix_bytes(base, content, limit)
    suffix = _common_suffix_bytes(base, content, limit - prefix)
    middle = content[prefix : len(content) - suffix]
    steps = list(_merge(_middle_steps(base[prefix : len(base) - suffix], prefix, middle)))
    if prefix:
        steps.insert(0, DeltaStep(copy_offset_bytes=0, copy_bytes=prefix, insert=b""))
    if suffix:
        offset = len(base) - suffix
        steps.append(DeltaStep(copy_offset_bytes=offset, copy_bytes=suffix, insert=b""))
    return tuple(steps)


def apply_delta(base: bytes, steps: Sequence[DeltaStep], *, max_bytes: int) -> bytes:
    """Return the content that steps build from the base."""
    parts: list[bytes] = []
    total_bytes = 0
    for step in steps:
        end = step.copy_offset_bytes + step.copy_bytes
        if end > len(base):
            raise DeltaError("Copy is outside the base")
        total_bytes += step.copy_bytes + len(step.insert)
        if total_bytes > max_bytes:
            raise DeltaError("Content is too large")
        parts += (base[step.copy_offset_bytes : end], step.insert)
    return b"".join(parts)


def _common_prefix_bytes(base: bytes, content: bytes, limit: int) -> int:
    """Return how many first bytes two contents share, at most the limit."""
    return _longest(limit, lambda size: base[:size] == content[:size])


def _common_suffix_bytes(base: bytes, content: bytes, limit: int) -> int:
    """Return how many last bytes two contents share, at most the limit."""
    return _longest(limit, lambda size: base[len(base) - size :] == content[len(content) - size :])


def _longest(limit: int, is_shared: Callable[[int], bool]) -> int:
    """Return the greatest size up to the limit that is shared, by bisection."""
    low, high = 0, limit
    while low < high:
        middle = (low + high + 1) // 2
        if is_shared(middle):
            low = middle
        else:
            high = middle - 1
    return low


def _middle_steps(base: bytes, start: int, middle: bytes) -> Iterator[DeltaStep]:
    """Yield a step for each chunk of the part that differs; the base's begins at the start."""
    if not middle:
        return
    offsets: dict[bytes, int] = {}
    offset = start
    for chunk in _chunks(base):
        offsets.setdefault(chunk, offset)
        offset += len(chunk)
    for chunk in _chunks(middle):
        known = offsets.get(chunk)
        if known is None:
            yield DeltaStep(copy_offset_bytes=0, copy_bytes=0, insert=chunk)
        else:
            yield DeltaStep(copy_offset_bytes=known, copy_bytes=len(chunk), insert=b"")


def _chunks(content: bytes) -> Iterator[bytes]:
    """Yield runs of lines that end at lines chosen by their hash."""
    start = end = 0
    for line in content.splitlines(keepends=True):
        end += len(line)
        if xxh3_64_intdigest(line) & _CHUNK_LINES_MASK == 0:
            yield content[start:end]
            start = end
    if start < len(content):
        yield content[start:]


def _merge(steps: Iterator[DeltaStep]) -> Iterator[DeltaStep]:
    """Join neighbouring copies and neighbouring new bytes."""
    waiting: DeltaStep | None = None
    for step in steps:
        if waiting is None:
            waiting = step
        elif not step.copy_bytes:
            waiting = DeltaStep(
                copy_offset_bytes=waiting.copy_offset_bytes,
                copy_bytes=waiting.copy_bytes,
                insert=waiting.insert + step.insert,
            )
        elif (
            not waiting.insert
            and waiting.copy_offset_bytes + waiting.copy_bytes == step.copy_offset_bytes
        ):
            waiting = DeltaStep(
                copy_offset_bytes=waiting.copy_offset_bytes,
                copy_bytes=waiting.copy_bytes + step.copy_bytes,
                insert=b"",
            )
        else:
            yield waiting
            waiting = step
    if waiting is not None:
        yield waiting
