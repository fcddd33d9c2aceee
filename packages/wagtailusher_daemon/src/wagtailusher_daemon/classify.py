"""Classifies callers' HTTP requests by workspace, route, class and pool."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from hashlib import sha256
from http import HTTPStatus

from pydantic import ValidationError
from xxhash import xxh3_64_intdigest, xxh3_128_hexdigest

from wagtailusher_core import (
    ClassId,
    ErrorCode,
    PoolId,
    RequestId,
    WagtailusherError,
    WorkspaceId,
)
from wagtailusher_daemon.clock import wall_ms
from wagtailusher_daemon.const import (
    BYTES_PER_TOKEN,
    DEFAULT_ROUTE_CHAT,
    HEADER_CLASS,
    HEADER_FIRST_SENT,
    HEADER_KEY,
    HEADER_ROUTE,
    HEADER_TICKET,
    MAX_PREFIX_BLOCKS,
    PATH_CHAT,
    PATH_SERVICES,
    PREFIX_BLOCK_BYTES,
)
from wagtailusher_daemon.exceptions import RefusedRequestError
from wagtailusher_daemon.forwarding import Sender
from wagtailusher_daemon.models import ChatRequest
from wagtailusher_daemon.responses import status_of
from wagtailusher_http import Request
from wagtailusher_integrations.engine import ChatCall
from wagtailusher_integrations.service import ServiceCall
from wagtailusher_once import Ticket, TicketIssuer
from wagtailusher_router import ClassifiedRequest
from wagtailusher_settings import ClassPolicy, Settings

_BEARER = "Bearer "


@dataclass(frozen=True, slots=True, kw_only=True)
class ClassifiedCall:
    """A classified request and the call to send to its endpoint."""

    arrival: ClassifiedRequest
    call: ChatCall | ServiceCall


@dataclass(frozen=True, slots=True, kw_only=True)
class Classifier:
    """Classifies requests according to the current settings."""

    settings: Callable[[], Settings | None]
    ticket_issuer: TicketIssuer
    next_id: Callable[[], RequestId]

    def classify(self, request: Request, sender: Sender | None) -> ClassifiedCall:
        """Return the classified request; raise RefusedRequestError when it can't be classified."""
        settings = self.settings()
        if settings is None:
            raise RefusedRequestError(
                HTTPStatus.SERVICE_UNAVAILABLE,
                ErrorCode.NOT_READY,
                "no settings have been applied yet",
            )
        try:
            workspace_id = settings.workspace_by_api_key(api_key_of(request))
            if request.path == PATH_CHAT:
                return self._classify_chat(request, settings, workspace_id, sender)
            return self._classify_service(request, settings, workspace_id, sender)
        except RefusedRequestError:
            raise
        except WagtailusherError as err:
            raise RefusedRequestError(status_of(err.code), err.code, err.message) from err

    def _classify_chat(
        self,
        request: Request,
        settings: Settings,
        workspace_id: WorkspaceId,
        sender: Sender | None,
    ) -> ClassifiedCall:
        if request.method != "POST":
            raise _bad_request("chat completions require the POST method")
        chat = _read_chat(request.body)
        route_id = request.headers.get(HEADER_ROUTE) or DEFAULT_ROUTE_CHAT
        policy = _resolve(settings, workspace_id, route_id, request)
        pool_id = PoolId(chat.model)
        if pool_id not in policy.pool_ids:
            raise RefusedRequestError(
                HTTPStatus.NOT_FOUND,
                ErrorCode.UNKNOWN_MODEL,
                f"route {route_id} has no model {chat.model}",
            )
        arrival = self._arrival(request, policy, pool_id, sender, chat=chat)
        call = ChatCall(
            request_id=arrival.request_id,
            tier=policy.tier,
            body=request.body,
            streams=chat.stream,
        )
        return ClassifiedCall(arrival=arrival, call=call)

    def _classify_service(
        self,
        request: Request,
        settings: Settings,
        workspace_id: WorkspaceId,
        sender: Sender | None,
    ) -> ClassifiedCall:
        route_id, _, _ = request.path.removeprefix(PATH_SERVICES).partition("/")
        policy = _resolve(settings, workspace_id, route_id, request)
        pool_id = policy.pool_ids[0]
        arrival = self._arrival(request, policy, pool_id, sender, chat=None)
        call = ServiceCall(
            request_id=arrival.request_id,
            method=request.method,
            target=request.target.removeprefix(f"{PATH_SERVICES}{route_id}") or "/",
            headers=request.headers,
            body=request.body,
        )
        return ClassifiedCall(arrival=arrival, call=call)

    def _arrival(
        self,
        request: Request,
        policy: ClassPolicy,
        pool_id: PoolId,
        sender: Sender | None,
        *,
        chat: ChatRequest | None,
    ) -> ClassifiedRequest:
        identity = f"{request.method} {request.target}\n".encode() + request.body
        now_wall_ms = wall_ms()
        return ClassifiedRequest(
            request_id=self.next_id(),
            policy=policy,
            pool_id=pool_id,
            fingerprint=xxh3_128_hexdigest(identity),
            body_digest=sha256(identity).digest() if not policy.repeatable else b"",
            streams_tokens=chat is not None,
            resumable=chat is not None and chat.stream and policy.repeatable,
            prompt_tokens=len(request.body) // BYTES_PER_TOKEN,
            prefix_hashes=_prefix_hashes(request.body) if chat is not None else (),
            ticket=self._read_ticket(request, now_wall_ms),
            idempotency_key=request.headers.get(HEADER_KEY),
            first_sent_wall_ms=_read_first_sent(request),
            now_wall_ms=now_wall_ms,
            forwarded_from=None if sender is None else sender.vm_id,
            hops=0 if sender is None else sender.hops,
            age_ms=0 if sender is None else sender.age_ms,
        )

    def _read_ticket(self, request: Request, now_wall_ms: int) -> Ticket | None:
        """Return the verified ticket of a request, or None."""
        text = request.headers.get(HEADER_TICKET)
        return None if text is None else self.ticket_issuer.verify(text, now_wall_ms)


def api_key_of(request: Request) -> str:
    """Return the bearer API key; raise RefusedRequestError when it is missing."""
    value = request.headers.get("authorization") or ""
    if not value.startswith(_BEARER):
        raise RefusedRequestError(
            HTTPStatus.UNAUTHORIZED, ErrorCode.UNAUTHORIZED, "a bearer API key is required"
        )
    return value.removeprefix(_BEARER).strip()


def _read_chat(body: bytes) -> ChatRequest:
    """Return the validated body of a chat completion."""
    try:
        return ChatRequest.model_validate_json(body)
    except ValidationError as err:
        first_error = err.errors(include_url=False, include_input=False)[0]
        location = ".".join(str(part) for part in first_error["loc"]) or "body"
        raise _bad_request(f"{location}: {first_error['msg']}") from err


def _resolve(
    settings: Settings, workspace_id: WorkspaceId, route_id: str, request: Request
) -> ClassPolicy:
    """Return the class that a request asks for, or its route's default."""
    class_id = request.headers.get(HEADER_CLASS)
    return settings.resolve(
        workspace_id=workspace_id,
        route_id=route_id,
        class_id=None if class_id is None else ClassId(class_id),
    )


def _read_first_sent(request: Request) -> int | None:
    """Return when the caller first sent its idempotency key, on the wall clock."""
    text = request.headers.get(HEADER_FIRST_SENT)
    if text is None:
        return None
    if not text.isdigit():
        raise _bad_request(f"{HEADER_FIRST_SENT} is not a number of milliseconds")
    return int(text)


def _prefix_hashes(body: bytes) -> tuple[int, ...]:
    """Return chained hashes of the body's leading blocks, one for each longer prefix."""
    blocks = min(MAX_PREFIX_BLOCKS, len(body) // PREFIX_BLOCK_BYTES)
    hashes = []
    previous = 0
    for number in range(blocks):
        block = body[number * PREFIX_BLOCK_BYTES : (number + 1) * PREFIX_BLOCK_BYTES]
        previous = xxh3_64_intdigest(block, seed=previous)
        hashes.append(previous)
    return tuple(hashes)


def _bad_request(message: str) -> RefusedRequestError:
    return RefusedRequestError(HTTPStatus.BAD_REQUEST, ErrorCode.BAD_REQUEST, message)
