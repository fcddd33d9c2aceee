"""Sends what this VM found of endpoints in datagrams that fit."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import TypeVar

from wagtailusher_daemon.const import FINDINGS_PER_DATAGRAM
from wagtailusher_daemon.convert import batches
from wagtailusher_wire import Message, split_to_fit

EntryT = TypeVar("EntryT")
ReportT = TypeVar("ReportT")


def new_report_sender(
    send: Callable[[str, Message], None],
    new_entry: Callable[[ReportT], EntryT],
    new_message: Callable[[tuple[EntryT, ...]], Message],
) -> Callable[[Iterable[ReportT], Iterable[str]], None]:
    """Return a function that sends reports to addresses, in as many messages as they need."""

    def send_reports(reports: Iterable[ReportT], addresses: Iterable[str]) -> None:
        addresses = tuple(addresses)
        entries = tuple(new_entry(report) for report in reports)
        for batch in batches(entries, FINDINGS_PER_DATAGRAM):
            for message in split_to_fit(new_message, batch):
                for address in addresses:
                    send(address, message)

    return send_reports
