"""The command that follows a drain until the failure domain can be switched off."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from urllib.parse import quote

from rich.console import Console
from rich.progress import BarColumn, Progress, TextColumn, TimeElapsedColumn

from wagtailusher_cli.asking import read_addresses
from wagtailusher_cli.client import async_ask_all
from wagtailusher_cli.const import (
    DEFAULT_WATCH_INTERVAL_MS,
    DEFAULT_WATCH_TIMEOUT_S,
    EXIT_OK,
    EXIT_PROBLEM,
    EXIT_UNREACHABLE,
    MS_PER_S,
)
from wagtailusher_cli.drains import DrainProgress, judge_drain
from wagtailusher_cli.exceptions import UnreachableError
from wagtailusher_cli.output import write_json, write_line
from wagtailusher_operator.const import (
    PATH_DRAIN,
)
from wagtailusher_operator.models import DrainAnswer


def watch_drain(
    failure_domain: str,
    *,
    address: str | None = None,
    interval_ms: int = DEFAULT_WATCH_INTERVAL_MS,
    timeout_s: int = DEFAULT_WATCH_TIMEOUT_S,
    json: bool = False,
) -> int:
    """Follow a drain until nothing runs in the failure domain any more.

    :param failure_domain: Failure domain that the settings take out.
    :param address: Operator addresses of all entry VMs, separated by commas.
    :param interval_ms: Pause between two looks, in milliseconds.
    :param timeout_s: Time after which to give up, in seconds.
    :param json: Write one JSON object for each look.
    """
    looks = async_follow(failure_domain, read_addresses(address), interval_ms, timeout_s)
    return asyncio.run(_async_show(looks, as_json=json))


async def async_follow(
    failure_domain: str, addresses: list[str], interval_ms: int, timeout_s: int
) -> AsyncIterator[DrainProgress | UnreachableError]:
    """Yield a drain's progress until it is safe or time is up."""
    path = PATH_DRAIN.format(failure_domain=quote(failure_domain, safe=""))
    loop = asyncio.get_running_loop()
    give_up_at = loop.time() + timeout_s
    while True:
        try:
            replies = await async_ask_all(addresses, path, DrainAnswer)
        except UnreachableError as error:
            yield error
        else:
            progress = judge_drain(failure_domain, replies)
            yield progress
            if progress.safe:
                return
        if loop.time() + interval_ms / MS_PER_S > give_up_at:
            return
        await asyncio.sleep(interval_ms / MS_PER_S)


async def _async_show(
    looks: AsyncIterator[DrainProgress | UnreachableError], *, as_json: bool
) -> int:
    """Show each look and return the exit code."""
    last: DrainProgress | UnreachableError | None = None
    with _progress(disabled=as_json) as progress:
        task = progress.add_task("in flight", total=None)
        most = 0
        async for look in looks:
            is_new = look != last
            last = look
            if as_json:
                write_json(_plain(look))
                continue
            if isinstance(look, DrainProgress):
                most = max(most, look.in_flight + look.queued)
                done = most - look.in_flight - look.queued
                progress.update(task, total=max(most, 1), completed=done if most else 1)
            if is_new:
                progress.console.print(_describe(look), markup=False, highlight=False)
    if isinstance(last, DrainProgress) and last.safe:
        if not as_json:
            write_line(f"{last.failure_domain_id}: safe to switch off")
        return EXIT_OK
    return EXIT_UNREACHABLE if isinstance(last, UnreachableError) else EXIT_PROBLEM


def _progress(*, disabled: bool) -> Progress:
    """Return a bar that is drawn on a terminal only."""
    console = Console(highlight=False, soft_wrap=True)
    columns = (TextColumn("{task.description}"), BarColumn(), TimeElapsedColumn())
    return Progress(*columns, console=console, disable=disabled or not console.is_terminal)


def _describe(look: DrainProgress | UnreachableError) -> str:
    """Return one look as a line."""
    if isinstance(look, UnreachableError):
        return f"unreachable: {look.message}"
    held_up = "; ".join(look.held_up_by) or "nothing"
    return f"{look.in_flight} in flight, {look.queued} queued, held up by {held_up}"


def _plain(look: DrainProgress | UnreachableError) -> dict[str, object]:
    """Return one look for JSON."""
    if isinstance(look, UnreachableError):
        return {"safe": False, "unreachable": look.message}
    return {
        "failure_domain_id": look.failure_domain_id,
        "safe": look.safe,
        "in_flight": look.in_flight,
        "queued": look.queued,
        "held_up_by": list(look.held_up_by),
    }
