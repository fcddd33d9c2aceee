"""The command that follows a drain until the failure domain can be switched off."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from urllib.parse import quote

from rich.console import Console
from rich.progress import BarColumn, Progress, TextColumn, TimeElapsedColumn

from wagtailusher_cli.client import async_query_all
from wagtailusher_cli.const import (
    DEFAULT_WATCH_INTERVAL_MS,
    DEFAULT_WATCH_TIMEOUT_S,
    EXIT_OK,
    EXIT_PROBLEM,
    EXIT_UNREACHABLE,
    MS_PER_S,
)
from wagtailusher_cli.drains import DrainProgress, assess_drain
from wagtailusher_cli.exceptions import UnreachableError
from wagtailusher_cli.output import write_json, write_line
from wagtailusher_cli.queries import read_addresses
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
    """Follow a drain until the failure domain can be switched off.

    :param failure_domain: Failure domain that the settings drain.
    :param address: Operator addresses of all entry VMs, separated by commas.
    :param interval_ms: Pause between two polls, in milliseconds.
    :param timeout_s: Time after which to give up, in seconds.
    :param json: Write one JSON object for each poll.
    """
    results = async_poll_drain(failure_domain, read_addresses(address), interval_ms, timeout_s)
    return asyncio.run(_async_write_results(results, as_json=json))


async def async_poll_drain(
    failure_domain: str, addresses: list[str], interval_ms: int, timeout_s: int
) -> AsyncIterator[DrainProgress | UnreachableError]:
    """Yield the result of each poll until the drain is safe or the timeout expires."""
    path = PATH_DRAIN.format(failure_domain=quote(failure_domain, safe=""))
    loop = asyncio.get_running_loop()
    deadline = loop.time() + timeout_s
    while True:
        try:
            replies = await async_query_all(addresses, path, DrainAnswer)
        except UnreachableError as error:
            yield error
        else:
            progress = assess_drain(failure_domain, replies)
            yield progress
            if progress.safe:
                return
        if loop.time() + interval_ms / MS_PER_S > deadline:
            return
        await asyncio.sleep(interval_ms / MS_PER_S)


async def _async_write_results(
    results: AsyncIterator[DrainProgress | UnreachableError], *, as_json: bool
) -> int:
    """Write the result of each poll and return the exit code."""
    last: DrainProgress | UnreachableError | None = None
    with _new_progress_bar(disabled=as_json) as progress:
        task = progress.add_task("in flight", total=None)
        peak = 0
        async for result in results:
            is_new = result != last
            last = result
            if as_json:
                write_json(_plain(result))
                continue
            if isinstance(result, DrainProgress):
                peak = max(peak, result.in_flight + result.queued)
                done = peak - result.in_flight - result.queued
                progress.update(task, total=max(peak, 1), completed=done if peak else 1)
            if is_new:
                progress.console.print(_describe(result), markup=False, highlight=False)
    if isinstance(last, DrainProgress) and last.safe:
        if not as_json:
            write_line(f"{last.failure_domain_id}: safe to switch off")
        return EXIT_OK
    return EXIT_UNREACHABLE if isinstance(last, UnreachableError) else EXIT_PROBLEM


def _new_progress_bar(*, disabled: bool) -> Progress:
    """Return a progress bar that is drawn only on a terminal."""
    console = Console(highlight=False, soft_wrap=True)
    columns = (TextColumn("{task.description}"), BarColumn(), TimeElapsedColumn())
    return Progress(*columns, console=console, disable=disabled or not console.is_terminal)


def _describe(result: DrainProgress | UnreachableError) -> str:
    """Return the result of a poll as a line."""
    if isinstance(result, UnreachableError):
        return f"unreachable: {result.message}"
    held_up = "; ".join(result.held_up_by) or "nothing"
    return f"{result.in_flight} in flight, {result.queued} queued, held up by {held_up}"


def _plain(result: DrainProgress | UnreachableError) -> dict[str, object]:
    """Return the result of a poll for JSON."""
    if isinstance(result, UnreachableError):
        return {"safe": False, "unreachable": result.message}
    return {
        "failure_domain_id": result.failure_domain_id,
        "safe": result.safe,
        "in_flight": result.in_flight,
        "queued": result.queued,
        "held_up_by": list(result.held_up_by),
    }
