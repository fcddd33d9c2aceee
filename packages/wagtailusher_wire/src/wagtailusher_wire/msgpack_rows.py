"""Messages as msgpack arrays without field names, which keeps them short."""

from __future__ import annotations

from dataclasses import MISSING, Field, fields, is_dataclass
from typing import Any, TypeVar, get_args, get_origin, get_type_hints

import msgspec

MessageT = TypeVar("MessageT")

_MAX_FIXED_ITEMS = 15
"""Most items of an array whose length is part of its first byte (msgpack's fixarray)."""

_MAX_ARRAY_16_ITEMS = 0xFFFF
"""Most items of an array with a length of 16 bits."""

_ROW_TYPES: dict[type[Any], type[msgspec.Struct]] = {}


def row_type(cls: type[Any]) -> type[msgspec.Struct]:
    """Return the array-like struct type of a class; its values are in field order.

    Fields with defaults may be missing at the end, in messages of builds that don't know them.
    """
    cached = _ROW_TYPES.get(cls)
    if cached is not None:
        return cached
    hints = get_type_hints(cls)
    columns = [_column(field, _column_type(hints[field.name])) for field in fields(cls)]
    _ROW_TYPES[cls] = row = msgspec.defstruct(
        cls.__name__, columns, array_like=True, frozen=True, kw_only=True
    )
    return row


def to_row(message: Any) -> msgspec.Struct:
    """Return a message as an array-like struct."""
    return msgspec.convert(message, row_type(type(message)), from_attributes=True)


def from_row(cls: type[MessageT], row: msgspec.Struct) -> MessageT:
    """Return the message from an array-like struct."""
    return msgspec.convert(row, cls, from_attributes=True)


def item_bytes(item: Any) -> int:
    """Return the encoded size of one item of a message's field.

    Raises ValueError, TypeError or OverflowError when a value does not fit its field.
    """
    return len(msgspec.msgpack.encode(to_row(item) if is_dataclass(item) else item))


def array_header_bytes(count: int) -> int:
    """Return the encoded size of the head of an array of `count` items."""
    if count <= _MAX_FIXED_ITEMS:
        return 1
    return 3 if count <= _MAX_ARRAY_16_ITEMS else 5


def _column(field: Field[Any], hint: Any) -> tuple[str, Any] | tuple[str, Any, Any]:
    """Return a field's name, type and default, if it has one."""
    if field.default is MISSING:
        return field.name, hint
    return field.name, hint, field.default


def _column_type(hint: Any) -> Any:
    """Return a field's type with data classes replaced by their row types."""
    if is_dataclass(hint) and isinstance(hint, type):
        return row_type(hint)
    if get_origin(hint) is tuple:
        return tuple[_column_type(get_args(hint)[0]), ...]  # type: ignore[misc]
    return hint
