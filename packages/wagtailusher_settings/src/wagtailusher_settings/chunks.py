"""Documents split over several keys of the configuration service.

A manifest lists the digest of each chunk, so that chunks of two revisions are never combined.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from hashlib import sha256
from typing import Annotated

import msgspec
from pydantic import BaseModel, ConfigDict, Field, StringConstraints, ValidationError
from xxhash import xxh3_64_intdigest

from wagtailusher_core import Revision
from wagtailusher_settings.canonical import CanonicalDocument, read_revision, to_canonical
from wagtailusher_settings.const import (
    DEFAULT_CHUNK_BYTES,
    MAX_CHUNKS,
    MAX_DOCUMENT_BYTES,
    MAX_REVISION,
    MAX_VALUE_BYTES,
)
from wagtailusher_settings.document import load_document, load_json
from wagtailusher_settings.errors import Problem, SettingsError
from wagtailusher_settings.schema import Sha256

_Key = Annotated[
    str, StringConstraints(pattern=r"^[A-Za-z0-9][A-Za-z0-9_.-]*(/[A-Za-z0-9][A-Za-z0-9_.-]*)*$")
]


class _ChunkModel(BaseModel):
    """One chunk of a manifest."""

    model_config = ConfigDict(strict=True, extra="forbid")

    key: Annotated[_Key, Field(max_length=200)]
    sha256: Sha256
    size_bytes: Annotated[int, Field(ge=2, le=MAX_VALUE_BYTES)]


class _ManifestModel(BaseModel):
    """The value of the watched key."""

    model_config = ConfigDict(strict=True, extra="forbid")

    epoch: Annotated[int, Field(ge=0, le=MAX_REVISION)] = 0
    revision: Annotated[int, Field(ge=1, le=MAX_REVISION)]
    chunks: Annotated[list[_ChunkModel], Field(min_length=1, max_length=MAX_CHUNKS)]


@dataclass(frozen=True, slots=True, kw_only=True)
class ChunkReference:
    """The key of a chunk, and the digest and size of its content."""

    key: str
    sha256: str
    size_bytes: int


@dataclass(frozen=True, slots=True, kw_only=True)
class Manifest:
    """The chunks of one revision."""

    revision: Revision
    chunks: tuple[ChunkReference, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class Bundle:
    """A manifest and the values of its chunks by key."""

    manifest: bytes
    chunks: Mapping[str, bytes]


class ChunkAssembler:
    """Collects the chunks of one manifest; reuses those that the next manifest names too."""

    def __init__(self) -> None:
        self._manifest: Manifest | None = None
        self._contents: dict[str, bytes] = {}

    @property
    def manifest(self) -> Manifest | None:
        """Return the manifest whose chunks are being collected."""
        return self._manifest

    def set_manifest(self, manifest: Manifest) -> tuple[ChunkReference, ...]:
        """Replace the manifest; return the chunks that must be read."""
        named = {chunk.sha256 for chunk in manifest.chunks}
        retained = {
            chunk_sha256: value
            for chunk_sha256, value in self._contents.items()
            if chunk_sha256 in named
        }
        self._manifest = manifest
        self._contents = retained
        return self.missing_chunks()

    def missing_chunks(self) -> tuple[ChunkReference, ...]:
        """Return the chunks that have not been added yet."""
        if self._manifest is None:
            return ()
        return tuple(chunk for chunk in self._manifest.chunks if chunk.sha256 not in self._contents)

    def add_chunk(self, content: bytes) -> bool:
        """Store a chunk if the manifest lists its digest; return whether it does."""
        content_sha256 = sha256(content).hexdigest()
        if self._manifest is None or all(
            content_sha256 != item.sha256 for item in self._manifest.chunks
        ):
            return False
        self._contents[content_sha256] = content
        return True

    def assemble(self) -> bytes | None:
        """Return the complete document, or None while a chunk is missing."""
        manifest = self._manifest
        if manifest is None or self.missing_chunks():
            return None
        return _join(manifest, [self._contents[chunk.sha256] for chunk in manifest.chunks])


def parse_manifest(content: bytes) -> Manifest | None:
    """Return the manifest in a value, or None if the value is itself a document."""
    if len(content) > MAX_VALUE_BYTES or b"chunks" not in content:
        return None
    value = load_document(content)
    if not isinstance(value, dict) or "chunks" not in value:
        return None
    try:
        model = _ManifestModel.model_validate(value)
    except ValidationError as error:
        raise SettingsError(
            Problem(key=".".join(map(str, item["loc"])), reason=item["msg"])
            for item in error.errors()
        ) from error
    if sum(chunk.size_bytes for chunk in model.chunks) > MAX_DOCUMENT_BYTES:
        reason = f"the chunks are larger than {MAX_DOCUMENT_BYTES} bytes"
        raise SettingsError([Problem(key="chunks", reason=reason)])
    return Manifest(
        revision=Revision(epoch=model.epoch, number=model.revision),
        chunks=tuple(
            ChunkReference(key=item.key, sha256=item.sha256, size_bytes=item.size_bytes)
            for item in model.chunks
        ),
    )


def split_document(
    content: bytes, *, prefix: str = "settings", chunk_bytes: int = DEFAULT_CHUNK_BYTES
) -> Bundle:
    """Split a document into a manifest and chunks whose keys contain their digests."""
    document = to_canonical(content)
    revision = read_revision(document)
    size_bytes = sum(len(bytes(raw)) for raw in document.workspaces.values())
    bucket_count = 1 << max(0, (size_bytes // chunk_bytes).bit_length())
    buckets: dict[int, dict[str, msgspec.Raw]] = {}
    for name, raw in sorted(document.workspaces.items()):
        buckets.setdefault(xxh3_64_intdigest(name.encode()) % bucket_count, {})[name] = raw
    values = [msgspec.json.encode({"fleet": document.fleet})]
    values += [msgspec.json.encode({"workspaces": buckets[index]}) for index in sorted(buckets)]
    chunks = {_chunk_key(prefix, value): value for value in values}
    manifest = {
        "epoch": revision.epoch,
        "revision": revision.number,
        "chunks": [
            {"key": key, "sha256": sha256(value).hexdigest(), "size_bytes": len(value)}
            for key, value in chunks.items()
        ],
    }
    return Bundle(manifest=msgspec.json.encode(manifest), chunks=chunks)


def _chunk_key(prefix: str, content: bytes) -> str:
    """Return a chunk's key, which is unique to its content."""
    return f"{prefix}/chunks/{sha256(content).hexdigest()[:24]}"


def _join(manifest: Manifest, contents: list[bytes]) -> bytes:
    """Return the canonical document assembled from a manifest's chunks."""
    fleet: msgspec.Raw | None = None
    workspaces: dict[str, msgspec.Raw] = {}
    for reference, content in zip(manifest.chunks, contents, strict=True):
        for key, raw in _split_chunk(reference, content).items():
            if key == "fleet" and fleet is None:
                fleet = raw
                continue
            if key != "workspaces":
                raise _chunk_error(reference, f"{key} is not allowed in a chunk")
            part = msgspec.json.decode(raw, type=dict[str, msgspec.Raw])
            for name in part.keys() & workspaces.keys():
                raise _chunk_error(reference, f"workspace {name} is in two chunks")
            workspaces.update(part)
    revision = manifest.revision
    header = {
        "epoch": msgspec.Raw(str(revision.epoch).encode()),
        "revision": msgspec.Raw(str(revision.number).encode()),
    }
    document = CanonicalDocument(
        header=header, fleet=fleet or msgspec.Raw(b"{}"), workspaces=workspaces
    )
    return document.encode()


def _split_chunk(reference: ChunkReference, content: bytes) -> dict[str, msgspec.Raw]:
    """Return the top-level parts of a chunk; reject duplicate keys."""
    try:
        load_json(content)
        return msgspec.json.decode(content, type=dict[str, msgspec.Raw])
    except SettingsError as error:
        raise _chunk_error(reference, str(error)) from error
    except msgspec.DecodeError as error:
        raise _chunk_error(reference, str(error)) from error


def _chunk_error(reference: ChunkReference, reason: str) -> SettingsError:
    """Return the error for a chunk that can't be part of a document."""
    return SettingsError([Problem(key=reference.key, reason=reason)])
