"""Which daemons are asked, and what becomes of those that don't answer."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
import os
from typing import TypeVar

from wagtailusher_cli.client import Reply, async_ask_all
from wagtailusher_cli.const import ENV_ADDRESS
from wagtailusher_cli.exceptions import CommandError, UsageError
from wagtailusher_cli.output import write_error
from wagtailusher_operator.models import Answer

AnswerT = TypeVar("AnswerT", bound=Answer)


def read_addresses(address: str | None) -> list[str]:
    """Return the daemons to ask, from the flag or the environment."""
    text = address or os.environ.get(ENV_ADDRESS, "")
    addresses = [part.strip() for part in text.split(",") if part.strip()]
    for item in addresses:
        host, _, port = item.rpartition(":")
        if not host or not port.isdecimal():
            raise UsageError(f"{item}: HOST:PORT is needed")
    if not addresses:
        raise UsageError(f"give --address HOST:PORT[,HOST:PORT...] or set {ENV_ADDRESS}")
    return addresses


def ask(address: str | None, path: str, model: type[AnswerT]) -> list[AnswerT]:
    """Return the answers of all daemons; what failed is told apart on standard error."""
    replies = asyncio.run(async_ask_all(read_addresses(address), path, model))
    warn_of_failures(replies)
    answers = [reply.answer for reply in replies if reply.answer is not None]
    if not answers:
        raise CommandError(f"{path}: no daemon that was asked knows this")
    return answers


def warn_of_failures(replies: Sequence[Reply[AnswerT]]) -> None:
    """Name the daemons that gave no usable answer."""
    for reply in replies:
        if reply.problem is not None:
            write_error(f"{reply.address}: {reply.problem}")
