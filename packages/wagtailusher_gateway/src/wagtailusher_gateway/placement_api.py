"""Answers operators' questions where a request would go; served beside the metrics only."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from http import HTTPStatus
from random import Random

import msgspec

from wagtailusher_core import ErrorCode, VmId, WorkspaceId
from wagtailusher_gateway.const import RETRY_AFTER_MAX_MS
from wagtailusher_gateway.dispatcher import Dispatcher
from wagtailusher_gateway.exceptions import RefusedError
from wagtailusher_gateway.models import PromptPart, RequestTerms
from wagtailusher_gateway.placement_explanation import (
    PlacementAnswer,
    PlacementQuestion,
    Verdict,
    explain_placement,
    refusal_answer,
)
from wagtailusher_gateway.quarantine_exchange import QuarantineExchange
from wagtailusher_gateway.request_fingerprints import RequestFingerprints
from wagtailusher_http import Request, Response, error_response, json_response

PATH_PLACEMENT = "/placement"

HEADER_KEY = "x-wagtailusher-api-key"
"""Carries the caller's key, which must not be in an address."""

MAX_COUNT = 1 << 40
"""Largest number of tokens or ms in a question."""

_FIELDS = frozenset(("host", "path", "parts", "prompt_tokens", "output_tokens", "deadline_ms")) | {
    "workspace_id",
    "attempt_id",
    "software_version",
}


class PlacementApi:
    """Explains placements as this VM decides them."""

    def __init__(
        self,
        *,
        vm_id: VmId,
        dispatcher: Dispatcher,
        quarantine: QuarantineExchange,
        clock_ms: Callable[[], int],
        seed: int,
        may_forward: bool,
    ) -> None:
        self._vm_id = vm_id
        self._dispatcher = dispatcher
        self._quarantine = quarantine
        self._clock_ms = clock_ms
        self._random = Random(seed)
        self._may_forward = may_forward

    async def async_answer(self, request: Request) -> Response:
        """Answer one question; nothing is sent or reserved."""
        try:
            question = read_question(request)
        except RefusedError as refusal:
            return error_response(refusal.status, refusal.code, refusal.message)
        answer = explain_placement(
            question,
            self._dispatcher,
            self._clock_ms(),
            vm_id=self._vm_id,
            generator=self._random,
            may_forward=self._may_forward,
        )
        answer = self._with_quarantine(answer, RequestFingerprints(request, question.terms, ""))
        return json_response(HTTPStatus.OK, msgspec.to_builtins(answer))

    def _with_quarantine(
        self, answer: PlacementAnswer, fingerprints: RequestFingerprints
    ) -> PlacementAnswer:
        """Return the answer, or a refusal if a part of the prompt crashes endpoints.

        Whether the request as a whole does can't be told without its content.
        """
        refused = self._quarantine.refused_parts(fingerprints)
        if not refused or not answer.route:
            return answer
        refusal = RefusedError(
            f"a part of the prompt crashes endpoints: {', '.join(refused)}",
            code=ErrorCode.QUARANTINED,
            status=HTTPStatus.SERVICE_UNAVAILABLE,
            retry_after_ms=RETRY_AFTER_MAX_MS,
        )
        return replace(answer, verdict=Verdict.REFUSED, refusal=refusal_answer(refusal))


def read_question(request: Request) -> PlacementQuestion:
    """Return the question of a query; raise RefusedError if it can't be read."""
    query = request.query
    unknown = sorted(query.keys() - _FIELDS)
    if unknown:
        raise _bad_request(f"unknown fields: {', '.join(unknown)}")
    host, path = query.get("host", ""), query.get("path", "")
    if not host or not path.startswith("/"):
        raise _bad_request("host and path are needed, and the path starts with a slash")
    parts = tuple(_read_part(item) for item in query.get("parts", "").split(",") if item)
    version, workspace_id = query.get("software_version"), query.get("workspace_id")
    deadline = query.get("deadline_ms")
    api_key = request.headers.get(HEADER_KEY)
    if api_key is not None and workspace_id is not None:
        raise _bad_request("give a key or a workspace, not both")
    terms = RequestTerms(
        attempt_id=query.get("attempt_id", ""),
        host=host,
        deadline_ms=None if deadline is None else _read_count("deadline_ms", deadline),
        api_key=api_key,
        resume_after=None if version is None else "",
        prompt_tokens=_read_count("prompt_tokens", query.get("prompt_tokens", "0")),
        max_output_tokens=_read_count("output_tokens", query.get("output_tokens", "0")),
        parts=parts,
    )
    return PlacementQuestion(
        path=path,
        terms=terms,
        workspace_id=None if workspace_id is None else WorkspaceId(workspace_id),
        software_version=version,
    )


def _read_part(text: str) -> PromptPart:
    part_id, _, tokens = text.rpartition(":")
    if not part_id:
        raise _bad_request("parts are written ID:TOKENS,ID:TOKENS")
    return PromptPart(part_id=part_id.strip(), tokens=_read_count("parts", tokens))


def _read_count(field: str, text: str) -> int:
    if not (text.isascii() and text.isdecimal()) or len(text) > len(str(MAX_COUNT)):
        raise _bad_request(f"{field}: a whole number is needed")
    return min(MAX_COUNT, int(text))


def _bad_request(message: str) -> RefusedError:
    return RefusedError(message, code=ErrorCode.BAD_REQUEST, status=HTTPStatus.BAD_REQUEST)
