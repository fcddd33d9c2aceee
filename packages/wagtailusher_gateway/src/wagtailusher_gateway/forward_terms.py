"""What a VM states of a request that it hands on, and the VM that took it of its outcome."""

from __future__ import annotations

from dataclasses import dataclass

import msgspec

from wagtailusher_core import ErrorCode, Outcome, Revision, VmId, WorkspaceId
from wagtailusher_gateway.const import MAX_FORWARD_AGE_MS
from wagtailusher_gateway.exceptions import ForwardError
from wagtailusher_http import Headers, Request
from wagtailusher_wire import RequestSigner, UnauthenticatedPeerError

HEADER_FORWARD = "x-wagtailusher-forward"
HEADER_OUTCOME = "x-wagtailusher-outcome"


@dataclass(frozen=True, slots=True, kw_only=True)
class ForwardTerms:
    """The terms of a request that was handed on; its caller's key stays where it was checked."""

    vm_id: VmId
    sent_wall_ms: int
    left_ms: int
    """Time until the request's end when it was handed on."""
    workspace_id: WorkspaceId | None
    fingerprint: str
    """Fingerprint of the request, which includes its caller."""
    configuration_version: int = 0
    """Version of the configuration by which the request was routed; 0 from an older build."""
    view_epoch: int = 0
    view_revision: int = 0

    @property
    def store_revision(self) -> Revision:
        """Return the state of the store that the VM knew which handed the request on."""
        return Revision(epoch=self.view_epoch, number=self.view_revision)


_DECODER = msgspec.msgpack.Decoder(ForwardTerms)


def sign_terms(signer: RequestSigner, terms: ForwardTerms, request: Request) -> str:
    """Return the value of the header that carries the terms."""
    payload = msgspec.msgpack.encode(terms)
    return signer.sign(payload, request.method, request.target, request.body)


def read_terms(signer: RequestSigner, request: Request, now_wall_ms: int) -> ForwardTerms:
    """Return the terms of a request; raise ForwardError unless a VM of the fleet sent it."""
    token = request.headers.get(HEADER_FORWARD) or ""
    try:
        payload = signer.verify(token, request.method, request.target, request.body)
        terms = _DECODER.decode(payload)
    except (UnauthenticatedPeerError, msgspec.MsgspecError) as err:
        raise ForwardError(
            "the request was not handed on by a VM of this fleet",
            code=ErrorCode.PEER_UNAUTHENTICATED,
        ) from err
    if abs(now_wall_ms - terms.sent_wall_ms) > MAX_FORWARD_AGE_MS:
        raise ForwardError(
            "the request was handed on too long ago", code=ErrorCode.PEER_UNAUTHENTICATED
        )
    return terms


def sign_outcome(signer: RequestSigner, outcome: Outcome, attempt_id: str, request: Request) -> str:
    """Return the value of the header that tells a request's outcome to the VM that sent it.

    It is `COMPLETED` if the response is an endpoint's answer, and that of a refusal otherwise.
    """
    payload = f"{outcome} {attempt_id}".encode()
    return signer.sign(payload, request.method, request.target, request.body)


def read_outcome(
    signer: RequestSigner, headers: Headers, attempt_id: str, request: Request
) -> Outcome | None:
    """Return the outcome that a peer's response states, or None if it states none."""
    token = headers.get(HEADER_OUTCOME) or ""
    try:
        payload = signer.verify(token, request.method, request.target, request.body)
        outcome, _, stated_id = payload.decode().partition(" ")
        return Outcome(outcome) if stated_id == attempt_id else None
    except (UnauthenticatedPeerError, ValueError):
        return None
