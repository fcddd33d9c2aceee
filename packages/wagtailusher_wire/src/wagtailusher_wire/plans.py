"""Converters between data classes and the plain structures that pycapnp reads and writes."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import fields, is_dataclass
from enum import StrEnum
from typing import Any, NamedTuple, get_args, get_origin, get_type_hints

from wagtailusher_wire.errors import MalformedMessageError

Convert = Callable[[Any], Any]


class _Field(NamedTuple):
    """One field's names on both sides and its converters."""

    name: str
    schema_name: str
    to_plain: Convert
    from_plain: Convert
    missing: Any


_REQUIRED = object()
_FIELDS: dict[type, tuple[_Field, ...]] = {}


def to_plain(value: Any) -> dict[str, Any]:
    """Return a data class's fields by their names in the schema."""
    return {
        field.schema_name: field.to_plain(getattr(value, field.name))
        for field in _fields_of(type(value))
    }


def from_plain(cls: type, plain: Mapping[str, Any]) -> Any:
    """Return the data class for a structure read from a message."""
    return cls(**{field.name: _read(field, plain) for field in _fields_of(cls)})


def _read(field: _Field, plain: Mapping[str, Any]) -> Any:
    """Return one field's value; null text and lists are empty."""
    value = plain.get(field.schema_name, field.missing)
    if value is _REQUIRED:
        raise MalformedMessageError(f"{field.name} is missing")
    return field.from_plain(value)


def _fields_of(cls: type) -> tuple[_Field, ...]:
    """Return the fields of a data class; each class is looked at once."""
    known = _FIELDS.get(cls)
    if known is not None:
        return known
    hints = get_type_hints(cls)
    _FIELDS[cls] = planned = tuple(_plan(item.name, hints[item.name]) for item in fields(cls))
    return planned


def _plan(name: str, hint: Any) -> _Field:
    """Return one field's plan."""
    write, read, missing = _converters(hint)
    return _Field(name, _schema_name(name), write, read, missing)


def _schema_name(name: str) -> str:
    """Return a field's name in the schema."""
    head, *rest = name.split("_")
    return head + "".join(part.capitalize() for part in rest)


def _same(value: Any) -> Any:
    """Return the value as it is."""
    return value


def _converters(hint: Any) -> tuple[Convert, Convert, Any]:
    """Return the converters for a type, and the value of a null pointer."""
    hint = getattr(hint, "__supertype__", hint)
    if get_origin(hint) is tuple:
        write, read, _ = _converters(get_args(hint)[0])
        return _each(write, list), _each(read, tuple), ()
    if is_dataclass(hint) and isinstance(hint, type):
        return to_plain, _reader_of(hint), _REQUIRED
    if issubclass(hint, StrEnum):
        return str, hint, _REQUIRED
    return _same, _same, hint() if hint in (str, bytes) else _REQUIRED


def _each(convert: Convert, collect: type) -> Convert:
    """Return a converter of lists."""
    if convert is _same:
        return collect

    def convert_each(values: Any) -> Any:
        return collect([convert(value) for value in values])

    return convert_each


def _reader_of(cls: type) -> Convert:
    """Return a converter to a data class."""

    def read(plain: Mapping[str, Any]) -> Any:
        return from_plain(cls, plain)

    return read
