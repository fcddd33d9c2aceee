"""Deltas between two configurations, as copies from the base and inserted bytes."""

from __future__ import annotations

from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass

from xxhash import xxh3_64_intdigest

_CHUNK_LINES_MASK = 3


@dataclass(frozen=True, slots=True, kw_only=True)
class DeltaStep:
    """Copies a range of the base, then appends new bytes."""

    copy_offset_bytes: int
    copy_bytes: int
    insert: bytes


class DeltaError(ValueError):
    """A delta can't be applied to its base, or builds too large a content."""


def digest_content(content: bytes) -> int:
    """Return the 64-bit hash that identifies a content."""
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
    """Return the content that steps build from the base.

    Raises DeltaError for a copy outside the base and above max_bytes.
    """
    parts: list[bytes] = []
    total_bytes = 0
    for step in steps:
        end = step.copy_offset_bytes + step.copy_bytes
        if end > len(base):
            raise DeltaError("Delta copies bytes outside its base")
        total_bytes += step.copy_bytes + len(step.insert)
        if total_bytes > max_bytes:
            raise DeltaError("Delta builds a content above the size limit")
        parts += (base[step.copy_offset_bytes : end], step.insert)
    return b"".join(parts)


def _common_prefix_bytes(base: bytes, content: bytes, limit: int) -> int:
    """Return the length of the common prefix, at most the limit."""
    return _longest(limit, lambda size: base[:size] == content[:size])


def _common_suffix_bytes(base: bytes, content: bytes, limit: int) -> int:
    """Return the length of the common suffix, at most the limit."""
    return _longest(limit, lambda size: base[len(base) - size :] == content[len(content) - size :])


def _longest(limit: int, is_shared: Callable[[int], bool]) -> int:
    """Return by bisection the greatest size up to the limit for which is_shared holds."""
    low, high = 0, limit
    while low < high:
        middle = (low + high + 1) // 2
        if is_shared(middle):
            low = middle
        else:
            high = middle - 1
    return low


def _middle_steps(base: bytes, start: int, middle: bytes) -> Iterator[DeltaStep]:
    """Yield a step for each chunk of the differing middle part.

    The base's middle part starts at the offset start of the whole base.
    """
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
    """Yield content-defined chunks: runs of lines that end at a line selected by its hash."""
    start = end = 0
    for line in content.splitlines(keepends=True):
        end += len(line)
        if xxh3_64_intdigest(line) & _CHUNK_LINES_MASK == 0:
            yield content[start:end]
            start = end
    if start < len(content):
        yield content[start:]


def _merge(steps: Iterator[DeltaStep]) -> Iterator[DeltaStep]:
    """Join adjacent copies and adjacent inserts."""
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
