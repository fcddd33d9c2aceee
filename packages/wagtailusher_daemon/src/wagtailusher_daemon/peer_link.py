"""The UDP socket between the VMs' processes: opens and seals datagrams."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
import logging

from wagtailusher_core import ErrorCode, Incarnation, VmId, callback
from wagtailusher_wire import (
    AuthenticatedMessage,
    Message,
    MessageAuthenticator,
    WireError,
    decode,
    encode,
)

_LOGGER = logging.getLogger(__name__)

Receive = Callable[[Message, AuthenticatedMessage, str], None]


class PeerLink(asyncio.DatagramProtocol):
    """Owns the socket; what is not from the fleet is refused, counted and dropped."""

    def __init__(
        self,
        *,
        vm_id: VmId,
        incarnation: Incarnation,
        authenticator: MessageAuthenticator,
        receive: Receive,
        count_error: Callable[[ErrorCode], None],
    ) -> None:
        """Prepare a link that is not bound yet."""
        self._vm_id = vm_id
        self._incarnation = incarnation
        self._authenticator = authenticator
        self._receive = receive
        self._count_error = count_error
        self._transport: asyncio.DatagramTransport | None = None
        self.sent_bytes = 0
        self.received_bytes = 0

    async def async_bind(self, host: str, port: int) -> str:
        """Bind the socket and return its address."""
        loop = asyncio.get_running_loop()
        transport, _ = await loop.create_datagram_endpoint(lambda: self, local_addr=(host, port))
        self._transport = transport
        name = transport.get_extra_info("sockname")
        return f"{name[0]}:{name[1]}"

    @callback
    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Open a datagram and hand its message in."""
        self.received_bytes += len(data)
        try:
            authenticated = self._authenticator.verify(data)
            message = decode(authenticated.payload)
        except WireError as err:
            self._count_error(err.code)
            _LOGGER.debug("Peer: datagram from %s was refused: %s", addr[0], err.code)
            return
        self._receive(message, authenticated, f"{addr[0]}:{addr[1]}")

    @callback
    def error_received(self, exc: Exception) -> None:
        """Note an error of an earlier datagram."""
        _LOGGER.debug("Peer: a datagram was not delivered: %s", exc)

    @callback
    def send(self, address: str, message: Message) -> None:
        """Send a message once, without waiting."""
        if self._transport is None or self._transport.is_closing():
            return
        host, _, port = address.rpartition(":")
        datagram = self._authenticator.sign(self._vm_id, self._incarnation, encode(message))
        self.sent_bytes += len(datagram)
        self._transport.sendto(datagram, (host, int(port)))

    @callback
    def close(self) -> None:
        """Close the socket."""
        if self._transport is not None:
            self._transport.close()
