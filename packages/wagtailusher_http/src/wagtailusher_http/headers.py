"""Ordered header fields with case-insensitive names."""

from __future__ import annotations

from collections.abc import Iterable, Iterator

RawHeader = tuple[bytes, bytes]

HOP_FIELDS = frozenset(
    {"connection", "keep-alive", "te", "trailer", "transfer-encoding", "upgrade"}
)
"""Hop-by-hop fields, which apply to one connection only."""


class Headers:
    """Ordered header fields; names are stored in lower case."""

    __slots__ = ("_raw",)

    def __init__(self, items: Iterable[tuple[str, str]] = ()) -> None:
        """Store fields given as names and values."""
        self._raw: list[RawHeader] = [
            (name.lower().encode("ascii"), value.encode("latin-1")) for name, value in items
        ]

    @classmethod
    def from_raw(cls, raw: Iterable[RawHeader]) -> Headers:
        """Create headers from a parser's raw fields, whose names are in lower case."""
        headers = cls()
        headers._raw = [(bytes(name), bytes(value)) for name, value in raw]
        return headers

    @property
    def raw(self) -> list[RawHeader]:
        """Return the fields as bytes."""
        return self._raw

    def get(self, name: str, default: str | None = None) -> str | None:
        """Return the first value of a field, or the default."""
        wanted = name.lower().encode("ascii")
        for key, value in self._raw:
            if key == wanted:
                return value.decode("latin-1")
        return default

    def get_all(self, name: str) -> tuple[str, ...]:
        """Return the values of all fields with a name."""
        wanted = name.lower().encode("ascii")
        return tuple(value.decode("latin-1") for key, value in self._raw if key == wanted)

    def without(self, names: frozenset[str]) -> Headers:
        """Return a copy without the named fields; names are given in lower case."""
        unwanted = {name.encode("ascii") for name in names}
        return Headers.from_raw(item for item in self._raw if item[0] not in unwanted)

    def without_hop_headers(self, also: frozenset[str] = frozenset()) -> Headers:
        """Return a copy without hop-by-hop fields, those listed in Connection, and `also`."""
        named = (self.get("connection") or "").lower().split(",")
        return self.without(HOP_FIELDS | also | {name.strip() for name in named if name.strip()})

    def with_header(self, name: str, value: str) -> Headers:
        """Return a copy in which the field has only the given value."""
        copy = self.without(frozenset({name.lower()}))
        copy._raw.append((name.lower().encode("ascii"), value.encode("latin-1")))
        return copy

    def __iter__(self) -> Iterator[tuple[str, str]]:
        for name, value in self._raw:
            yield name.decode("ascii"), value.decode("latin-1")

    def __contains__(self, name: str) -> bool:
        return self.get(name) is not None

    def __repr__(self) -> str:
        return f"Headers({list(self)!r})"
