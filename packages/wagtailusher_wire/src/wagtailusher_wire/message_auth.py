"""Authenticates datagrams between the fleet's processes with a shared secret."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
import hmac
import struct

from wagtailusher_core import Incarnation, VmId
from wagtailusher_wire.const import (
    MAC_BYTES,
    MAX_DATAGRAM_BYTES,
    MAX_VM_ID_BYTES,
    MIN_SECRET_BYTES,
    WIRE_VERSION,
)
from wagtailusher_wire.errors import (
    MalformedMessageError,
    UnauthenticatedPeerError,
    WireVersionError,
)
from wagtailusher_wire.replay import ReplayGuard

_PREFIX = struct.Struct("!BB")
_COUNTERS = struct.Struct("!QQ")


@dataclass(frozen=True, slots=True, kw_only=True)
class AuthenticatedMessage:
    """An authenticated payload and its sender."""

    vm_id: VmId
    incarnation: Incarnation
    sequence: int
    payload: bytes


class MessageAuthenticator:
    """Seals and opens messages; seals with the first secret and accepts any of them."""

    def __init__(
        self,
        secret: bytes,
        *,
        other_secrets: Sequence[bytes] = (),
        max_bytes: int = MAX_DATAGRAM_BYTES,
        guard: ReplayGuard | None = None,
    ) -> None:
        """Create a sealer; during a rotation both secrets are given."""
        secrets = (secret, *other_secrets)
        if min(map(len, secrets)) < MIN_SECRET_BYTES:
            raise ValueError(f"A fleet secret has at least {MIN_SECRET_BYTES} bytes")
        self._secrets = secrets
        self._max_bytes = max_bytes
        self._guard = guard or ReplayGuard()
        self._sequence = 0

    def sign(self, vm_id: VmId, incarnation: Incarnation, payload: bytes) -> bytes:
        """Return the datagram: version, sender, counters, payload and its code."""
        name = vm_id.encode()
        if not 0 < len(name) <= MAX_VM_ID_BYTES:
            raise MalformedMessageError("VM's identifier has an unusable length")
        self._sequence += 1
        prefix = _PREFIX.pack(WIRE_VERSION, len(name))
        counters = _COUNTERS.pack(incarnation, self._sequence)
        content = b"".join((prefix, name, counters, payload))
        if len(content) + MAC_BYTES > self._max_bytes:
            raise MalformedMessageError("Datagram is too large")
        return content + _mac(self._secrets[0], content)

    def verify(self, datagram: bytes) -> AuthenticatedMessage:
        """Return the payload and its sender, or raise an error with a code."""
        if len(datagram) > self._max_bytes:
            raise MalformedMessageError("Datagram is too large")
        if len(datagram) < _PREFIX.size + 1 + _COUNTERS.size + MAC_BYTES:
            raise MalformedMessageError("Datagram is too short")
        if datagram[0] != WIRE_VERSION:
            raise WireVersionError(f"Version {datagram[0]} is unknown")
        content, mac = datagram[:-MAC_BYTES], datagram[-MAC_BYTES:]
        if not any(hmac.compare_digest(_mac(secret, content), mac) for secret in self._secrets):
            raise UnauthenticatedPeerError("Sender isn't of the fleet")
        sealed = _read(content)
        if not self._guard.accept(sealed.vm_id, sealed.incarnation, sealed.sequence):
            raise UnauthenticatedPeerError("Datagram was seen before")
        return sealed


def _read(content: bytes) -> AuthenticatedMessage:
    """Return the parts of authenticated content."""
    _, name_bytes = _PREFIX.unpack_from(content)
    payload_offset = _PREFIX.size + name_bytes + _COUNTERS.size
    if not name_bytes or payload_offset > len(content):
        raise MalformedMessageError("Datagram is too short")
    try:
        name = content[_PREFIX.size : _PREFIX.size + name_bytes].decode()
    except UnicodeDecodeError as err:
        raise MalformedMessageError("VM's identifier isn't text") from err
    incarnation, sequence = _COUNTERS.unpack_from(content, _PREFIX.size + name_bytes)
    return AuthenticatedMessage(
        vm_id=VmId(name),
        incarnation=Incarnation(incarnation),
        sequence=sequence,
        payload=content[payload_offset:],
    )


def _mac(secret: bytes, content: bytes) -> bytes:
    """Return the shortened authentication code."""
    return hmac.digest(secret, content, "sha256")[:MAC_BYTES]
