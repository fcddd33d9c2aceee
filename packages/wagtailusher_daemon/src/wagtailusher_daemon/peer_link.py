"""The UDP socket between the VMs' processes, with signed datagrams."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
import logging

from wagtailusher_core import ErrorCode, Incarnation, VmId, callback
from wagtailusher_wire import (
    AuthenticatedMessage,
    MalformedMessageError,
    Message,
    MessageAuthenticator,
    OldIncarnationError,
    WireError,
    decode,
    encode,
)

_LOGGER = logging.getLogger(__name__)

MessageReceiver = Callable[[Message, AuthenticatedMessage, str], None]


class PeerLink(asyncio.DatagramProtocol):
    """Owns the socket; datagrams that are malformed or not authentic are counted and dropped."""

    def __init__(
        self,
        *,
        vm_id: VmId,
        incarnation: Incarnation,
        authenticator: MessageAuthenticator,
        receive: MessageReceiver,
        count_error: Callable[[ErrorCode], None],
        on_old: Callable[[OldIncarnationError, str], None] = lambda err, address: None,
    ) -> None:
        """Create a link; `async_bind` opens its socket.

        `on_old` gets the error and the source of a datagram of an older incarnation.
        """
        self._on_old = on_old
        self._vm_id = vm_id
        self.incarnation = incarnation
        self._authenticator = authenticator
        self._receive = receive
        self._count_error = count_error
        self._transport: asyncio.DatagramTransport | None = None
        self._last_encoded: tuple[Message, bytes] | None = None
        self.sent_bytes = 0
        self.received_bytes = 0

    async def async_bind(self, host: str, port: int) -> str:
        """Bind the socket and return its address as `host:port`."""
        loop = asyncio.get_running_loop()
        transport, _ = await loop.create_datagram_endpoint(lambda: self, local_addr=(host, port))
        self._transport = transport
        name = transport.get_extra_info("sockname")
        return f"{name[0]}:{name[1]}"

    @callback
    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Verify and decode a datagram and pass its message to the receiver."""
        self.received_bytes += len(data)
        try:
            authenticated = self._authenticator.verify(data)
            message = decode(authenticated.payload)
        except WireError as err:
            self._count_error(err.code)
            _LOGGER.debug("Peer: rejected a datagram from %s: %s", addr[0], err.code)
            if isinstance(err, OldIncarnationError):
                self._on_old(err, f"{addr[0]}:{addr[1]}")
            return
        self._receive(message, authenticated, f"{addr[0]}:{addr[1]}")

    @callback
    def error_received(self, exc: Exception) -> None:
        """Log an error of a datagram sent earlier."""
        _LOGGER.debug("Peer: a datagram was not delivered: %s", exc)

    @callback
    def send(self, address: str, message: Message) -> None:
        """Send a message in one datagram, without retries; nothing is sent on a closed socket.

        One that does not fit is lost like any datagram may be; it is counted and logged.
        """
        if self._transport is None or self._transport.is_closing():
            return
        host, _, port = address.rpartition(":")
        try:
            payload = self._encode(message)
            datagram = self._authenticator.sign(self._vm_id, self.incarnation, payload)
        except MalformedMessageError as err:
            self._count_error(err.code)
            kind = type(message).__name__
            _LOGGER.warning(
                "Peer: a %s was not sent: %s",
                kind,
                err.message,
                extra={"event": "datagram_unsent", "kind": kind, "peer_address": address},
            )
            return
        self.sent_bytes += len(datagram)
        self._transport.sendto(datagram, (host, int(port)))

    def _encode(self, message: Message) -> bytes:
        """Return a message's encoding, once for all receivers that get it in a row."""
        if self._last_encoded is None or self._last_encoded[0] is not message:
            self._last_encoded = (message, encode(message))
        return self._last_encoded[1]

    @callback
    def close(self) -> None:
        """Close the socket."""
        if self._transport is not None:
            self._transport.close()
