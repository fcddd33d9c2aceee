"""What the router's decider asks of its driver."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from wagtailusher_core import EndpointId, ErrorCode, Outcome, RequestId, VmId
from wagtailusher_once import StoredAnswer
from wagtailusher_placement import Choice, LeaseGrant, LeaseRecall, LeaseRequest


@dataclass(frozen=True, slots=True, kw_only=True)
class Dispatch:
    """Send a request to an endpoint, after asking `may_send` right before the first byte.

    `resume_from` is the number of events already relayed when an answer is to be resumed over
    a new connection; `None` starts it anew. `new_connection` demands a new connection.
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
    """End a request without its answer; `outcome` is what the caller may be told."""

    request_id: RequestId
    code: ErrorCode
    outcome: Outcome
    retry_after_ms: int | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class Cancel:
    """Break an exchange with an endpoint off; nobody waits for its answer."""

    request_id: RequestId
    endpoint_id: EndpointId


class ForwardReason(StrEnum):
    """Why another VM is asked."""

    HOME = "home"
    CREDITS = "credits"


@dataclass(frozen=True, slots=True, kw_only=True)
class Forward:
    """Hand a request over to another VM and relay its answer.

    A ticket goes in place of the caller's, where the right to run was handed over.
    """

    request_id: RequestId
    vm_id: VmId
    reason: ForwardReason
    ticket: str | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class HandoverCandidate:
    """A request that only this VM may run, which waits without credits.

    A peer may be asked for a ticket, to hand the right to run over with `hand_over`.
    """

    request_id: RequestId
    peer_id: VmId


@dataclass(frozen=True, slots=True, kw_only=True)
class ReplayAnswer:
    """Answer a repeat with the stored whole answer."""

    request_id: RequestId
    answer: StoredAnswer


@dataclass(frozen=True, slots=True, kw_only=True)
class SendLeaseRequest:
    """Ask a steward for credits."""

    steward_id: VmId
    request: LeaseRequest


@dataclass(frozen=True, slots=True, kw_only=True)
class SendLeaseGrant:
    """Answer a node that asked for credits."""

    node_id: VmId
    grant: LeaseGrant


@dataclass(frozen=True, slots=True, kw_only=True)
class SendLeaseRecall:
    """Void a node's lease on an endpoint that turned cold."""

    recall: LeaseRecall


PeerAction = SendLeaseRequest | SendLeaseGrant | SendLeaseRecall
RequestAction = Dispatch | Refuse | Forward | ReplayAnswer
Action = RequestAction | PeerAction | Cancel
