"""Canonical JSON form of documents, whose workspaces are handled without decoding them."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from hashlib import blake2b
from typing import Any, Final

import msgspec

from wagtailusher_core import Revision
from wagtailusher_settings.document import is_json, load_document
from wagtailusher_settings.errors import Problem, SettingsError

HEADER_KEYS: Final = ("epoch", "revision")
TOP_KEYS: Final = frozenset(HEADER_KEYS) | {"fleet", "workspaces"}

_EMPTY: Final = msgspec.Raw(b"{}")


@dataclass(frozen=True, slots=True, kw_only=True)
class CanonicalDocument:
    """The raw JSON of each part of a document."""

    header: Mapping[str, msgspec.Raw]
    fleet: msgspec.Raw
    workspaces: Mapping[str, msgspec.Raw]

    def encode(self) -> bytes:
        """Return the document with its keys in a fixed order and each workspace on its own line.

        Line-based deltas then contain only the workspaces that changed.
        """
        parts = [_encode_entry(key, self.header[key]) for key in HEADER_KEYS if key in self.header]
        parts.append(_encode_entry("fleet", self.fleet))
        entries = [_encode_entry(name, raw) for name, raw in sorted(self.workspaces.items())]
        parts.append(b'"workspaces":{\n' + b",\n".join(entries) + b"\n}")
        return b"{" + b",\n".join(parts) + b"}\n"


def split_canonical(content: bytes) -> CanonicalDocument | None:
    """Return the parts of a document in canonical form, or None for any other text.

    A text is canonical if encoding its parts gives the same bytes, which rules out duplicate
    keys.
    """
    if not is_json(content):
        return None
    try:
        top = msgspec.json.decode(content, type=dict[str, msgspec.Raw])
        raw = msgspec.json.decode(top.get("workspaces", b"{}"), type=dict[str, msgspec.Raw])
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError):
        return None
    if not top.keys() <= TOP_KEYS:
        return None
    document = CanonicalDocument(
        header={key: top[key] for key in HEADER_KEYS if key in top},
        fleet=top.get("fleet", _EMPTY),
        workspaces=raw,
    )
    return document if document.encode() == content else None


def to_canonical(content: bytes) -> CanonicalDocument:
    """Return the parts of a JSON or YAML document; only its top level is checked."""
    canonical = split_canonical(content)
    if canonical is not None:
        return canonical
    document = load_document(content)
    check_top_level(document)
    workspaces = document.get("workspaces", {})
    return CanonicalDocument(
        header={key: _to_raw(document[key]) for key in HEADER_KEYS if key in document},
        fleet=_to_raw(document.get("fleet", {})),
        workspaces={name: _to_raw(value) for name, value in workspaces.items()},
    )


def check_top_level(document: Any) -> None:
    """Raise SettingsError if the top level of a document is not that of settings."""
    if not isinstance(document, dict):
        raise SettingsError([Problem(key="", reason="a document is a mapping")])
    problems = [Problem(key=key, reason="unknown key") for key in document if key not in TOP_KEYS]
    if not isinstance(document.get("workspaces", {}), dict):
        problems.append(Problem(key="workspaces", reason="a mapping is needed"))
    if problems:
        raise SettingsError(problems)


def read_revision(document: CanonicalDocument) -> Revision:
    """Return the revision in a document's header; raise SettingsError if it is malformed."""
    try:
        values = {key: msgspec.json.decode(raw, type=int) for key, raw in document.header.items()}
    except msgspec.DecodeError as error:
        raise SettingsError([Problem(key="revision", reason=str(error))]) from error
    return Revision(epoch=values.get("epoch", 0), number=values.get("revision", 0))


def canonical_bytes(content: bytes) -> bytes:
    """Return a document in canonical form, in which equal documents have equal bytes."""
    return to_canonical(content).encode()


def parse_revision(content: bytes) -> Revision:
    """Return the revision of a document; the rest of it is not validated."""
    return read_revision(to_canonical(content))


def digest(content: bytes) -> bytes:
    """Return a 16-byte digest that identifies a content."""
    return blake2b(content, digest_size=16).digest()


def _to_raw(value: Any) -> msgspec.Raw:
    """Return a value's compact JSON."""
    return msgspec.Raw(msgspec.json.encode(value))


def _encode_entry(key: str, raw: msgspec.Raw) -> bytes:
    """Return a key and its value as a member of a JSON object."""
    return msgspec.json.encode(key) + b":" + bytes(raw)
