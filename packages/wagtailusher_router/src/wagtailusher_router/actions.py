"""Actions that the router's decider returns to its driver."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from wagtailusher_core import EndpointId, ErrorCode, Outcome, RequestId, VmId
from wagtailusher_once import StoredAnswer
from wagtailusher_placement import Choice, LeaseGrant, LeaseRecall, LeaseRequest


@dataclass(frozen=True, slots=True, kw_only=True)
class Dispatch:
    """Send a request to an endpoint; call `may_send` right before the first byte.

    `resume_from` is the number of events already relayed when an answer is resumed over a new
    connection, None for a new answer. `new_connection` forbids the reuse of a connection.
    """

    request_id: RequestId
    endpoint_id: EndpointId
    address: str
    attempt: int
    tier: int
    choice: Choice
    resume_from: int | None = None
    new_connection: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class Refuse:
    """End a request without an answer; `outcome` is what may be reported to the caller."""

    request_id: RequestId
    code: ErrorCode
    outcome: Outcome
    retry_after_ms: int | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class Cancel:
    """Abort the exchange with an endpoint, whose answer no caller waits for."""

    request_id: RequestId
    endpoint_id: EndpointId


class ForwardReason(StrEnum):
    """Why a request is forwarded to another VM."""

    HOME = "home"
    CREDITS = "credits"


@dataclass(frozen=True, slots=True, kw_only=True)
class Forward:
    """Forward a request to another VM and relay its answer.

    `ticket`, if set, replaces the caller's, because the right to run was handed over.
    """

    request_id: RequestId
    vm_id: VmId
    reason: ForwardReason
    ticket: str | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class HandoverCandidate:
    """A request that only this VM may run and that waits without credits.

    With a ticket from the peer, `hand_over` transfers the right to run.
    """

    request_id: RequestId
    peer_id: VmId


@dataclass(frozen=True, slots=True, kw_only=True)
class ReplayAnswer:
    """Answer a repeated request with the stored complete answer."""

    request_id: RequestId
    answer: StoredAnswer


@dataclass(frozen=True, slots=True, kw_only=True)
class SendLeaseRequest:
    """Send a request for credits to a steward."""

    steward_id: VmId
    request: LeaseRequest


@dataclass(frozen=True, slots=True, kw_only=True)
class SendLeaseGrant:
    """Send granted credits to the node that requested them."""

    node_id: VmId
    grant: LeaseGrant


@dataclass(frozen=True, slots=True, kw_only=True)
class SendLeaseRecall:
    """Send a recall, which voids a node's lease on an endpoint that became cold."""

    recall: LeaseRecall


PeerAction = SendLeaseRequest | SendLeaseGrant | SendLeaseRecall
RequestAction = Dispatch | Refuse | Forward | ReplayAnswer
Action = RequestAction | PeerAction | Cancel
