"""A request as each of the composed deciders sees it."""

from __future__ import annotations

from wagtailusher_admission import PendingRequest
from wagtailusher_core import EndpointId
from wagtailusher_placement import Choice, PlacementRequest
from wagtailusher_router.actions import Dispatch
from wagtailusher_router.classified_request import ClassifiedRequest
from wagtailusher_router.flights import Flight


def pending_request(
    arrival: ClassifiedRequest, in_flight_quota: int | None, now_ms: int
) -> PendingRequest:
    """Return a request as admission sees it."""
    policy = arrival.policy
    arrived_ms = now_ms - arrival.age_ms
    return PendingRequest(
        request_id=arrival.request_id,
        key=policy.key,
        pool_id=arrival.pool_id,
        tier=policy.tier,
        arrived_ms=arrived_ms,
        deadline_ms=arrived_ms + arrival.start_target_ms,
        answer_by_ms=arrived_ms + arrival.start_target_ms,
        deadline_behaviour=policy.deadline_behaviour,
        weight=policy.weight,
        share=policy.share,
        queue_limit=policy.queue_limit,
        in_flight_quota=in_flight_quota,
        expected_service_ms=arrival.expected_service_ms,
    )


def placement_request(flight: Flight, excluded: frozenset[EndpointId]) -> PlacementRequest:
    """Return a request as placement sees it."""
    arrival = flight.arrival
    return PlacementRequest(
        request_id=flight.request_id,
        pool_id=arrival.pool_id,
        tier=arrival.policy.tier,
        key=arrival.policy.key,
        prompt_tokens=arrival.prompt_tokens,
        expected_output_tokens=arrival.expected_output_tokens,
        prefix_hashes=arrival.prefix_hashes,
        excluded=flight.excluded | excluded,
    )


def dispatch_of(flight: Flight, choice: Choice, *, resume: bool) -> Dispatch:
    """Return the order to send a request, or to resume its answer."""
    return Dispatch(
        request_id=flight.request_id,
        endpoint_id=choice.endpoint_id,
        address=choice.address,
        attempt=flight.attempt,
        tier=flight.pending.tier,
        choice=choice,
        resume_from=flight.relayed_events if resume else None,
        new_connection=resume or not flight.may_repeat,
    )
