"""Conversion of a request into the types of the composed deciders."""

from __future__ import annotations

from wagtailusher_admission import PendingRequest
from wagtailusher_core import EndpointId
from wagtailusher_placement import Choice, PlacementRequest
from wagtailusher_router.actions import Dispatch
from wagtailusher_router.classified_request import ClassifiedRequest
from wagtailusher_router.tracked_requests import TrackedRequest


def pending_request(
    classified: ClassifiedRequest, in_flight_quota: int | None, now_ms: int
) -> PendingRequest:
    """Return the request for the admission decider."""
    policy = classified.policy
    arrived_ms = now_ms - classified.age_ms
    return PendingRequest(
        request_id=classified.request_id,
        key=policy.key,
        pool_id=classified.pool_id,
        tier=policy.tier,
        arrived_ms=arrived_ms,
        deadline_ms=arrived_ms + classified.start_target_ms,
        answer_by_ms=arrived_ms + classified.start_target_ms,
        deadline_behaviour=policy.deadline_behaviour,
        weight=policy.weight,
        share=policy.share,
        queue_limit=policy.queue_limit,
        in_flight_quota=in_flight_quota,
        expected_service_ms=classified.expected_service_ms,
    )


def placement_request(tracked: TrackedRequest, excluded: frozenset[EndpointId]) -> PlacementRequest:
    """Return the request for the placement decider, without the `excluded` endpoints."""
    classified = tracked.classified
    return PlacementRequest(
        request_id=tracked.request_id,
        pool_id=classified.pool_id,
        tier=classified.policy.tier,
        key=classified.policy.key,
        prompt_tokens=classified.prompt_tokens,
        expected_output_tokens=classified.expected_output_tokens,
        prefix_hashes=classified.prefix_hashes,
        excluded=tracked.excluded | excluded,
    )


def build_dispatch(tracked: TrackedRequest, choice: Choice, *, resume: bool) -> Dispatch:
    """Return the action to send a request or to resume its answer."""
    return Dispatch(
        request_id=tracked.request_id,
        endpoint_id=choice.endpoint_id,
        address=choice.address,
        attempt=tracked.attempt,
        tier=tracked.pending.tier,
        choice=choice,
        resume_from=tracked.relayed_events if resume else None,
        new_connection=resume or tracked.needs_new_connection or not tracked.may_repeat,
    )
