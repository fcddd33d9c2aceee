"""Queries to the configured daemons, and reporting of those that fail."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
import os
from typing import TypeVar

from wagtailusher_cli.client import Reply, async_query_all
from wagtailusher_cli.const import ENV_ADDRESS
from wagtailusher_cli.exceptions import CommandError, UsageError
from wagtailusher_cli.output import write_error
from wagtailusher_http import Headers
from wagtailusher_operator.models import Answer

AnswerT = TypeVar("AnswerT", bound=Answer)


def read_addresses(address: str | None) -> list[str]:
    """Return the daemons' addresses from the flag or the environment.

    Raises UsageError if there are none or one is not HOST:PORT.
    """
    text = address or os.environ.get(ENV_ADDRESS, "")
    addresses = [part.strip() for part in text.split(",") if part.strip()]
    for daemon_address in addresses:
        host, _, port = daemon_address.rpartition(":")
        if not host or not port.isdecimal():
            raise UsageError(f"{daemon_address}: HOST:PORT is needed")
    if not addresses:
        raise UsageError(f"give --address HOST:PORT[,HOST:PORT...] or set {ENV_ADDRESS}")
    return addresses


def query_daemons(
    address: str | None, path: str, model: type[AnswerT], headers: Headers | None = None
) -> list[AnswerT]:
    """Return the answers of all daemons; report failed queries on standard error."""
    replies = asyncio.run(async_query_all(read_addresses(address), path, model, headers))
    report_failures(replies)
    answers = [reply.answer for reply in replies if reply.answer is not None]
    if not answers:
        raise CommandError(f"{path}: not found on any queried daemon")
    return answers


def report_failures(replies: Sequence[Reply[AnswerT]]) -> None:
    """Report the daemons without a usable answer on standard error."""
    for reply in replies:
        if reply.problem is not None:
            write_error(f"{reply.address}: {reply.problem}")
