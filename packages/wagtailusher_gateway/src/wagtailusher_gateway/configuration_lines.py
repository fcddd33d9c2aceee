"""A configuration as lines of text, so that versions that differ little have short deltas."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import Any, TypeVar

import msgspec

from wagtailusher_gateway.exceptions import ViewError
from wagtailusher_gateway.models import (
    CallerLimits,
    Configuration,
    Route,
    Service,
    Workspace,
)
from wagtailusher_wire.msgpack_rows import from_row, row_type, to_row

ItemT = TypeVar("ItemT")

_HEAD, _ROUTE, _SERVICE, _KEY = b"C", b"R", b"S", b"K"
"""First byte of a line, which tells what the line holds."""


def encode_lines(configuration: Configuration) -> bytes:
    """Return a line for each route, service and API key, in their order."""
    return b"".join(_lines(configuration))


def decode_lines(content: bytes) -> Configuration:
    """Return the configuration from its lines; raise ViewError if they can't be decoded."""
    lines: dict[bytes, list[bytes]] = {_HEAD: [], _ROUTE: [], _SERVICE: [], _KEY: []}
    try:
        for line in content.splitlines():
            lines[line[:1]].append(line[1:])
        (head,) = lines[_HEAD]
        version, has_workspaces, limits = msgspec.json.decode(head, type=tuple[int, bool, Any])
        keys = (msgspec.json.decode(line, type=tuple[str, Any]) for line in lines[_KEY])
        services = map(_decoder(Service), lines[_SERVICE])
        return Configuration(
            version=version,
            has_workspaces=has_workspaces,
            limits=_convert(CallerLimits, limits),
            routes=tuple(map(_decoder(Route), lines[_ROUTE])),
            services={service.name: service for service in services},
            workspaces={key: _convert(Workspace, row) for key, row in keys},
        )
    except (msgspec.MsgspecError, KeyError, ValueError) as err:
        raise ViewError(f"the peer's configuration can't be decoded: {err}") from err


def _lines(configuration: Configuration) -> Iterator[bytes]:
    head = (configuration.version, configuration.has_workspaces, to_row(configuration.limits))
    yield _line(_HEAD, head)
    for route in configuration.routes:
        yield _line(_ROUTE, to_row(route))
    for service in configuration.services.values():
        yield _line(_SERVICE, to_row(service))
    for key, workspace in configuration.workspaces.items():
        yield _line(_KEY, (key, to_row(workspace)))


def _line(kind: bytes, value: Any) -> bytes:
    return kind + msgspec.json.encode(value) + b"\n"


def _decoder(cls: type[ItemT]) -> Callable[[bytes], ItemT]:
    decoder = msgspec.json.Decoder(row_type(cls))
    return lambda line: from_row(cls, decoder.decode(line))


def _convert(cls: type[ItemT], row: Any) -> ItemT:
    return from_row(cls, msgspec.convert(row, row_type(cls)))
