"""Authenticated tickets that specify the only incarnation of a VM that may run a request."""

from __future__ import annotations

from base64 import urlsafe_b64decode, urlsafe_b64encode
import binascii
from collections.abc import Callable
from dataclasses import dataclass
from hashlib import sha256
import hmac
from secrets import token_hex

from wagtailusher_core import Incarnation, VmId
from wagtailusher_once.const import DEFAULT_MAX_CLOCK_SKEW_MS, DEFAULT_TICKET_LIFETIME_MS
from wagtailusher_once.errors import TicketExpiredError, TicketInvalidError

VERSION = "1"
MAX_TICKET_CHARS = 512
NONCE_BYTES = 16
_FIELD_SEPARATOR = "|"
_FIELD_COUNT = 5
_PART_SEPARATOR = "."


@dataclass(frozen=True, slots=True, kw_only=True)
class Ticket:
    """The right to run one request once at one incarnation of a VM."""

    home_id: VmId
    incarnation: Incarnation
    nonce: str
    expires_wall_ms: int
    remaining_ms: int
    """The lifetime left when the ticket was verified; may be negative within the clock skew."""

    @property
    def ticket_id(self) -> str:
        """Return the identifier under which the home records the request."""
        return f"{self.home_id}/{self.incarnation}/{self.nonce}"


def _draw_nonce() -> str:
    """Return a random nonce that can't be guessed."""
    return token_hex(NONCE_BYTES)


class TicketIssuer:
    """Issues this VM's tickets and verifies those of the whole fleet."""

    def __init__(
        self,
        *,
        vm_id: VmId,
        incarnation: Incarnation,
        secret: bytes,
        lifetime_ms: int = DEFAULT_TICKET_LIFETIME_MS,
        max_clock_skew_ms: int = DEFAULT_MAX_CLOCK_SKEW_MS,
        previous_secrets: tuple[bytes, ...] = (),
        draw_nonce: Callable[[], str] = _draw_nonce,
    ) -> None:
        """Issue tickets with the secret; accept those of the previous secrets too.

        Raises ValueError for an empty secret or a VM identifier with the field separator.
        """
        if not secret:
            raise ValueError("The ticket secret must not be empty.")
        if _FIELD_SEPARATOR in vm_id:
            raise ValueError(f"A VM identifier must not contain {_FIELD_SEPARATOR!r}.")
        self._vm_id = vm_id
        self._incarnation = incarnation
        self._secrets = (secret, *previous_secrets)
        self._lifetime_ms = lifetime_ms
        self._max_clock_skew_ms = max_clock_skew_ms
        self._draw_nonce = draw_nonce

    def issue(self, now_wall_ms: int, lifetime_ms: int | None = None) -> str:
        """Return a new ticket for a request that only this incarnation may run."""
        fields = (
            VERSION,
            self._vm_id,
            str(self._incarnation),
            self._draw_nonce(),
            str(now_wall_ms + (lifetime_ms or self._lifetime_ms)),
        )
        payload = _FIELD_SEPARATOR.join(fields).encode()
        mac = _compute_mac(self._secrets[0], payload)
        return f"{_encode(payload)}{_PART_SEPARATOR}{_encode(mac)}"

    def verify(self, text: str, now_wall_ms: int) -> Ticket:
        """Return the parsed ticket of a caller.

        Raises TicketInvalidError for a malformed or forged ticket and TicketExpiredError for one
        that expired by more than the clock skew.
        """
        payload = self._authenticated_payload(text)
        ticket = _parse(payload, now_wall_ms)
        if ticket.remaining_ms < -self._max_clock_skew_ms:
            raise TicketExpiredError("The ticket has expired.")
        return ticket

    def _authenticated_payload(self, text: str) -> bytes:
        """Return the payload of a ticket after checking its MAC."""
        if len(text) > MAX_TICKET_CHARS:
            raise TicketInvalidError("The ticket is too long.")
        payload_text, _, mac_text = text.partition(_PART_SEPARATOR)
        payload = _decode(payload_text)
        mac = _decode(mac_text)
        if not any(
            hmac.compare_digest(mac, _compute_mac(secret, payload)) for secret in self._secrets
        ):
            raise TicketInvalidError("The ticket was not issued by this fleet.")
        return payload


def _compute_mac(secret: bytes, payload: bytes) -> bytes:
    """Return the MAC of a payload."""
    return hmac.digest(secret, payload, sha256)


def _encode(data: bytes) -> str:
    """Return bytes as unpadded URL-safe base64, which is also safe in a header."""
    return urlsafe_b64encode(data).rstrip(b"=").decode("ascii")


def _decode(text: str) -> bytes:
    """Return the bytes of a part of a ticket; only the canonical encoding is accepted."""
    try:
        data = urlsafe_b64decode(text.encode("ascii") + b"=" * (-len(text) % 4))
    except (UnicodeEncodeError, binascii.Error, ValueError) as err:
        raise TicketInvalidError("The ticket is malformed.") from err
    if _encode(data) != text:
        raise TicketInvalidError("The ticket is malformed.")
    return data


def _parse(payload: bytes, now_wall_ms: int) -> Ticket:
    """Parse an authenticated payload."""
    fields = payload.decode("utf-8", errors="replace").split(_FIELD_SEPARATOR)
    if len(fields) != _FIELD_COUNT or fields[0] != VERSION:
        raise TicketInvalidError("The ticket has an unsupported version.")
    try:
        incarnation = Incarnation(int(fields[2]))
        expires_wall_ms = int(fields[4])
    except ValueError as err:
        raise TicketInvalidError("The ticket is malformed.") from err
    return Ticket(
        home_id=VmId(fields[1]),
        incarnation=incarnation,
        nonce=fields[3],
        expires_wall_ms=expires_wall_ms,
        remaining_ms=expires_wall_ms - now_wall_ms,
    )
