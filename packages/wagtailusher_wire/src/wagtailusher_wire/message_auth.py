"""Authentication of datagrams between VMs with a shared secret."""

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
    OldIncarnationError,
    UnauthenticatedPeerError,
    WireVersionError,
)
from wagtailusher_wire.replay import ReplayGuard

_PREFIX = struct.Struct("!BB")
_COUNTERS = struct.Struct("!QQ")


@dataclass(frozen=True, slots=True, kw_only=True)
class AuthenticatedMessage:
    """A verified payload with its sender, the sender's incarnation and its sequence number."""

    vm_id: VmId
    incarnation: Incarnation
    sequence: int
    payload: bytes


class MessageAuthenticator:
    """Signs datagrams with the first secret and verifies them with any of the secrets."""

    def __init__(
        self,
        secret: bytes,
        *,
        other_secrets: Sequence[bytes] = (),
        max_bytes: int = MAX_DATAGRAM_BYTES,
        guard: ReplayGuard | None = None,
    ) -> None:
        """Use the given secrets; during a rotation, both the new and the old one.

        Raises ValueError when a secret is shorter than MIN_SECRET_BYTES.
        """
        secrets = (secret, *other_secrets)
        if min(map(len, secrets)) < MIN_SECRET_BYTES:
            raise ValueError(f"Fleet secret is shorter than {MIN_SECRET_BYTES} bytes")
        self._secrets = secrets
        self._max_bytes = max_bytes
        self._guard = guard or ReplayGuard()
        self._sequence = 0

    def sign(self, vm_id: VmId, incarnation: Incarnation, payload: bytes) -> bytes:
        """Return a datagram: version, sender, incarnation, sequence, payload and MAC.

        Raises MalformedMessageError when the VM's identifier or the payload has a wrong size.
        """
        name = vm_id.encode()
        if not 0 < len(name) <= MAX_VM_ID_BYTES:
            raise MalformedMessageError("VM identifier is empty or too long")
        self._sequence += 1
        prefix = _PREFIX.pack(WIRE_VERSION, len(name))
        counters = _COUNTERS.pack(incarnation, self._sequence)
        content = b"".join((prefix, name, counters, payload))
        if len(content) + MAC_BYTES > self._max_bytes:
            raise MalformedMessageError("Datagram is too large")
        return content + _mac(self._secrets[0], content)

    def verify(self, datagram: bytes) -> AuthenticatedMessage:
        """Check version, MAC and replay, and return the payload with its sender.

        Raises MalformedMessageError, WireVersionError or UnauthenticatedPeerError, of which
        OldIncarnationError for a sender that has started again since.
        """
        if len(datagram) > self._max_bytes:
            raise MalformedMessageError("Datagram is too large")
        if len(datagram) < _PREFIX.size + 1 + _COUNTERS.size + MAC_BYTES:
            raise MalformedMessageError("Datagram is too short")
        if datagram[0] != WIRE_VERSION:
            raise WireVersionError(f"Protocol version {datagram[0]} is unknown")
        content, mac = datagram[:-MAC_BYTES], datagram[-MAC_BYTES:]
        if not any(hmac.compare_digest(_mac(secret, content), mac) for secret in self._secrets):
            raise UnauthenticatedPeerError("Datagram is not signed with a secret of the fleet")
        authenticated = _parse_content(content)
        newest = self._guard.newest(authenticated.vm_id)
        if newest is not None and authenticated.incarnation < newest:
            raise OldIncarnationError(authenticated.vm_id, newest)
        if not self._guard.check_and_record(
            authenticated.vm_id, authenticated.incarnation, authenticated.sequence
        ):
            raise UnauthenticatedPeerError("Datagram is a replay or too old")
        return authenticated


def _parse_content(content: bytes) -> AuthenticatedMessage:
    """Return the fields of a datagram without its MAC."""
    _, name_bytes = _PREFIX.unpack_from(content)
    payload_offset = _PREFIX.size + name_bytes + _COUNTERS.size
    if not name_bytes or payload_offset > len(content):
        raise MalformedMessageError("Datagram is too short")
    try:
        name = content[_PREFIX.size : _PREFIX.size + name_bytes].decode()
    except UnicodeDecodeError as err:
        raise MalformedMessageError("VM identifier is not valid UTF-8") from err
    incarnation, sequence = _COUNTERS.unpack_from(content, _PREFIX.size + name_bytes)
    return AuthenticatedMessage(
        vm_id=VmId(name),
        incarnation=Incarnation(incarnation),
        sequence=sequence,
        payload=content[payload_offset:],
    )


def _mac(secret: bytes, content: bytes) -> bytes:
    """Return the truncated HMAC-SHA256 of the content."""
    return hmac.digest(secret, content, "sha256")[:MAC_BYTES]
