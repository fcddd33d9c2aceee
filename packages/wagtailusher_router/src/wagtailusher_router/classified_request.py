"""The request that the router's decider receives after classification."""

from __future__ import annotations

from dataclasses import dataclass

from wagtailusher_core import PoolId, RequestId, VmId
from wagtailusher_once import Ticket
from wagtailusher_settings import ClassPolicy


@dataclass(frozen=True, slots=True, kw_only=True)
class ClassifiedRequest:
    """A classified request.

    `streams_tokens` is false for plain services, whose target applies to the complete answer.
    `resumable` means that the answer is a stream of events which may be resumed on another
    connection. `fingerprint` identifies the content for the quarantine. `forwarded_from` is the VM
    that forwarded the request, if any, `hops` the number of VMs that did, and `age_ms` the time
    since its caller sent it to the first of them. A request that may not be repeated has a ticket
    or an idempotency key; the key's age is computed from when its caller first sent it and the
    current wall time.
    """

    request_id: RequestId
    policy: ClassPolicy
    pool_id: PoolId
    fingerprint: str
    body_digest: bytes = b""
    streams_tokens: bool = True
    resumable: bool = False
    prompt_tokens: int = 0
    expected_output_tokens: int = 0
    expected_service_ms: int = 0
    prefix_hashes: tuple[int, ...] = ()
    ticket: Ticket | None = None
    idempotency_key: str | None = None
    first_sent_wall_ms: int | None = None
    now_wall_ms: int | None = None
    forwarded_from: VmId | None = None
    hops: int = 0
    age_ms: int = 0

    @property
    def hop_count(self) -> int:
        """Return how many VMs forwarded the request."""
        return max(self.hops, int(self.forwarded_from is not None))

    @property
    def start_target_ms(self) -> int:
        """Return the latest start that meets the target, in milliseconds after the arrival."""
        policy = self.policy
        if self.streams_tokens:
            return policy.first_token_target_ms
        return max(0, policy.answer_target_ms - self.expected_service_ms)
