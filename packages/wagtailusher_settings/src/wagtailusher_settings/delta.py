"""The difference between two documents as bytes, for transfer between VMs."""

from __future__ import annotations

from hashlib import sha256

import msgspec

from wagtailusher_core import ErrorCode
from wagtailusher_settings.canonical import CanonicalDocument, to_canonical
from wagtailusher_settings.errors import Problem, SettingsError


class _Delta(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """What turns one canonical document into another."""

    base_sha256: str
    result_sha256: str
    header: dict[str, msgspec.Raw]
    fleet: msgspec.Raw | msgspec.UnsetType = msgspec.UNSET
    changed: dict[str, msgspec.Raw] = {}
    removed: list[str] = []


def canonical_bytes(content: bytes) -> bytes:
    """Return a document in the one form in which equal documents have equal bytes."""
    return to_canonical(content).encode()


def make_delta(old: bytes, new: bytes) -> bytes:
    """Return the difference of two documents; both are taken in canonical form."""
    before, after = to_canonical(old), to_canonical(new)
    changed = {
        name: raw
        for name, raw in after.workspaces.items()
        if name not in before.workspaces or bytes(before.workspaces[name]) != bytes(raw)
    }
    same_fleet = bytes(before.fleet) == bytes(after.fleet)
    delta = _Delta(
        base_sha256=sha256(before.encode()).hexdigest(),
        result_sha256=sha256(after.encode()).hexdigest(),
        header=dict(after.header),
        fleet=msgspec.UNSET if same_fleet else after.fleet,
        changed=changed,
        removed=[name for name in before.workspaces if name not in after.workspaces],
    )
    return msgspec.json.encode(delta)


def apply_delta(old: bytes, delta: bytes) -> bytes:
    """Return the canonical document that a delta was made for, checked by its digest."""
    try:
        parsed = msgspec.json.decode(delta, type=_Delta)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise _refuse(f"malformed delta: {error}", ErrorCode.WIRE_MALFORMED) from error
    before = to_canonical(old)
    if sha256(before.encode()).hexdigest() != parsed.base_sha256:
        raise _refuse("the delta is for another base", ErrorCode.SETTINGS_STALE)
    workspaces = {**before.workspaces, **parsed.changed}
    for name in parsed.removed:
        workspaces.pop(name, None)
    after = CanonicalDocument(
        header=parsed.header,
        fleet=before.fleet if isinstance(parsed.fleet, msgspec.UnsetType) else parsed.fleet,
        workspaces=workspaces,
    )
    content = after.encode()
    if sha256(content).hexdigest() != parsed.result_sha256:
        raise _refuse("the delta doesn't give the promised result", ErrorCode.WIRE_MALFORMED)
    return content


def _refuse(reason: str, code: ErrorCode) -> SettingsError:
    """Return the error of a delta that can't be applied."""
    return SettingsError([Problem(key="", reason=reason)], code=code)
