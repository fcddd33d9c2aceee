"""Sends what this VM found of endpoints in datagrams that fit."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence
from typing import TypeVar

from wagtailusher_daemon.const import FINDINGS_PER_DATAGRAM
from wagtailusher_daemon.convert import batches
from wagtailusher_wire import Message

EntryT = TypeVar("EntryT")


def send_findings(
    send: Callable[[str, Message], None],
    addresses: Iterable[str],
    entries: Sequence[EntryT],
    new_message: Callable[[tuple[EntryT, ...]], Message],
) -> None:
    """Send the messages that hold the entries to each address."""
    addresses = tuple(addresses)
    for batch in batches(entries, FINDINGS_PER_DATAGRAM):
        for address in addresses:
            send(address, new_message(batch))
