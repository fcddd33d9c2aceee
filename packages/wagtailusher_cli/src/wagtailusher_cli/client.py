"""Queries the operator interfaces of several entry daemons concurrently."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
from dataclasses import dataclass
from http import HTTPStatus
from json import loads
from typing import Generic, TypeVar

from pydantic import ValidationError

from wagtailusher_cli.const import CALL_TIMEOUT_MS
from wagtailusher_cli.exceptions import UnreachableError
from wagtailusher_http import ClientLimits, Headers, HttpClient, HttpError
from wagtailusher_operator.models import Answer

AnswerT = TypeVar("AnswerT", bound=Answer)


@dataclass(frozen=True, slots=True, kw_only=True)
class Reply(Generic[AnswerT]):
    """One daemon's reply; `answer` is None if it was not found or the query failed."""

    address: str
    answer: AnswerT | None
    problem: str | None = None


async def async_query(
    client: HttpClient,
    address: str,
    path: str,
    model: type[AnswerT],
    headers: Headers | None = None,
) -> Reply[AnswerT]:
    """Query one daemon; a failure is returned as the reply's problem, not raised."""
    try:
        answer = await client.async_request(
            address, "GET", path, headers, head_timeout_ms=CALL_TIMEOUT_MS
        )
        body = await answer.async_read(CALL_TIMEOUT_MS)
    except HttpError as error:
        return Reply(address=address, answer=None, problem=error.message)
    if answer.status == HTTPStatus.NOT_FOUND:
        return Reply(address=address, answer=None)
    if answer.status != HTTPStatus.OK:
        return Reply(address=address, answer=None, problem=_describe_error(answer.status, body))
    try:
        return Reply(address=address, answer=model.model_validate_json(body))
    except ValidationError as error:
        first = error.errors(include_url=False, include_input=False)[0]
        key = ".".join(map(str, first["loc"]))
        return Reply(address=address, answer=None, problem=f"{key}: {first['msg']}")


def _describe_error(status: int, body: bytes) -> str:
    """Return an error answer's status with its code and message, if it has them."""
    try:
        error = loads(body)["error"]
        return f"status {status}: {error['code']}: {error['message']}"
    except (ValueError, KeyError, TypeError):
        return f"status {status}"


async def async_query_all(
    addresses: Sequence[str], path: str, model: type[AnswerT], headers: Headers | None = None
) -> list[Reply[AnswerT]]:
    """Query all daemons concurrently; raise UnreachableError when all queries fail."""
    limits = ClientLimits(connect_timeout_ms=CALL_TIMEOUT_MS)
    async with HttpClient(limits) as client:
        replies = await asyncio.gather(
            *(async_query(client, address, path, model, headers) for address in addresses)
        )
    if all(reply.problem is not None for reply in replies):
        problems = "; ".join(f"{reply.address}: {reply.problem}" for reply in replies)
        raise UnreachableError(problems)
    return list(replies)
