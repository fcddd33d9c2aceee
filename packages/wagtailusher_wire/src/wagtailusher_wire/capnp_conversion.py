"""Conversion between data classes and the dictionaries that pycapnp reads and writes."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import fields, is_dataclass
from enum import StrEnum
from typing import Any, NamedTuple, get_args, get_origin, get_type_hints

from wagtailusher_wire.errors import MalformedMessageError

Convert = Callable[[Any], Any]


class _Field(NamedTuple):
    """A field's names in the class and the schema, its converters and its default."""

    name: str
    schema_name: str
    to_plain: Convert
    from_plain: Convert
    missing: Any


_REQUIRED = object()
_FIELDS: dict[type, tuple[_Field, ...]] = {}


def to_plain(value: Any) -> dict[str, Any]:
    """Return a data class as a dictionary with the schema's field names."""
    return {
        field.schema_name: field.to_plain(getattr(value, field.name))
        for field in _fields_of(type(value))
    }


def from_plain(cls: type, plain: Mapping[str, Any]) -> Any:
    """Return a data class from a dictionary read by pycapnp.

    Raises MalformedMessageError when a field without a default is missing.
    """
    return cls(**{field.name: _read_field(field, plain) for field in _fields_of(cls)})


def _read_field(field: _Field, plain: Mapping[str, Any]) -> Any:
    """Return one field's value; text and lists that are null become empty."""
    value = plain.get(field.schema_name, field.missing)
    if value is _REQUIRED:
        raise MalformedMessageError(f"{field.name} is missing")
    return field.from_plain(value)


def _fields_of(cls: type) -> tuple[_Field, ...]:
    """Return the field converters of a data class, cached by class."""
    cached = _FIELDS.get(cls)
    if cached is not None:
        return cached
    hints = get_type_hints(cls)
    _FIELDS[cls] = class_fields = tuple(
        _describe_field(item.name, hints[item.name]) for item in fields(cls)
    )
    return class_fields


def _describe_field(name: str, hint: Any) -> _Field:
    """Return the converters and schema name of a field."""
    write, read, missing = _converters(hint)
    return _Field(name, _schema_name(name), write, read, missing)


def _schema_name(name: str) -> str:
    """Return a field's name in camel case, as in the schema."""
    head, *rest = name.split("_")
    return head + "".join(part.capitalize() for part in rest)


def _same(value: Any) -> Any:
    """Return the value unchanged."""
    return value


def _converters(hint: Any) -> tuple[Convert, Convert, Any]:
    """Return the write and read converters of a type, and the value of a null pointer."""
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
    """Return a converter of lists whose items are converted by `convert`."""
    if convert is _same:
        return collect

    def convert_each(values: Any) -> Any:
        return collect([convert(value) for value in values])

    return convert_each


def _reader_of(cls: type) -> Convert:
    """Return a converter from dictionaries to a data class."""

    def read(plain: Mapping[str, Any]) -> Any:
        return from_plain(cls, plain)

    return read
