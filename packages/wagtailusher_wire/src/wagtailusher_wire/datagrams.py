"""Fits messages into datagrams, whatever the length of the texts in them."""

from __future__ import annotations

from collections.abc import Callable, Iterator, Mapping, Sequence
from dataclasses import replace
from typing import Any, TypeVar

from wagtailusher_wire.codec import encode
from wagtailusher_wire.const import MAX_PAYLOAD_BYTES
from wagtailusher_wire.errors import MalformedMessageError
from wagtailusher_wire.messages import Message
from wagtailusher_wire.msgpack_rows import array_header_bytes, item_bytes

ItemT = TypeVar("ItemT")
MessageT = TypeVar("MessageT", bound=Message)


def fits_datagram(message: Message, *, max_bytes: int = MAX_PAYLOAD_BYTES) -> bool:
    """Return whether a message can be encoded in `max_bytes`."""
    try:
        return len(encode(message)) <= max_bytes
    except MalformedMessageError:
        return False


def split_to_fit(
    new_message: Callable[[tuple[ItemT, ...]], MessageT],
    items: tuple[ItemT, ...],
    on_misfit: Callable[[ItemT], None] = lambda item: None,
) -> Iterator[MessageT]:
    """Yield messages that together hold all items, each in one datagram.

    `on_misfit` gets an item that exceeds a datagram by itself.
    """
    if not items:
        return
    message = new_message(items)
    if fits_datagram(message):
        yield message
        return
    if len(items) == 1:
        on_misfit(items[0])
        return
    half = len(items) // 2
    yield from split_to_fit(new_message, items[:half], on_misfit)
    yield from split_to_fit(new_message, items[half:], on_misfit)


def fill_to_fit(
    new_message: Callable[[tuple[ItemT, ...]], MessageT],
    items: tuple[ItemT, ...],
    *,
    max_bytes: int = MAX_PAYLOAD_BYTES,
) -> MessageT:
    """Return the message with as many of the first items as `max_bytes` hold."""
    low, high = 0, len(items)
    while low < high:
        middle = (low + high + 1) // 2
        if fits_datagram(new_message(items[:middle]), max_bytes=max_bytes):
            low = middle
        else:
            high = middle - 1
    return new_message(items[:low])


def fill_fields_to_fit(message: MessageT, limits: Mapping[str, int]) -> MessageT:
    """Return the message with as many of the first items of some fields as fit.

    `limits` names fields of a message in msgpack, in the order in which they are filled, and the
    size in bytes up to which each may fill the message. Every item is encoded once only.
    """
    empty: dict[str, Any] = dict.fromkeys(limits, ())
    short = replace(message, **empty)
    try:
        size = len(encode(short))
    except MalformedMessageError:
        return short
    filled: dict[str, Any] = {}
    for name, max_bytes in limits.items():
        items: tuple[Any, ...] = getattr(message, name)
        count, size = _count_fitting(items, size, max_bytes)
        filled[name] = items[:count]
    return replace(message, **filled)


def _count_fitting(items: Sequence[Any], size: int, max_bytes: int) -> tuple[int, int]:
    """Return how many of the first items fit, and the size of the message with them."""
    base, items_size = size - array_header_bytes(0), 0
    for count, item in enumerate(items):
        try:
            items_size += item_bytes(item)
        except (ValueError, TypeError, OverflowError):
            return count, size
        next_size = base + array_header_bytes(count + 1) + items_size
        if next_size > max_bytes:
            return count, size
        size = next_size
    return len(items), size
