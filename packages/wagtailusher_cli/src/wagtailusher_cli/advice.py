"""Advice on which endpoints could be removed, based on measured usage."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from wagtailusher_cli.const import MAX_USED_SHARE, TARGET_ATTAINMENT
from wagtailusher_operator.models import BooksAnswer, EndpointBooksAnswer


@dataclass(frozen=True, slots=True, kw_only=True)
class Advice:
    """Whether one endpoint could be removed, and the effect on its pools."""

    endpoint_id: str
    can_go: bool
    margin: float
    used_share: float
    reasons: tuple[str, ...]
    classes_at_risk: tuple[str, ...]


@dataclass(slots=True, kw_only=True)
class _UsageTotals:
    """Usage summed over all entry VMs."""

    endpoints: dict[str, EndpointBooksAnswer] = field(default_factory=dict)
    mean_in_flight: dict[str, float] = field(default_factory=lambda: defaultdict(float))
    pool_peaks: Counter[str] = field(default_factory=Counter)
    finished: Counter[tuple[str, str]] = field(default_factory=Counter)
    met: Counter[tuple[str, str]] = field(default_factory=Counter)
    classes_of: dict[str, set[tuple[str, str]]] = field(default_factory=lambda: defaultdict(set))

    def add(self, answer: BooksAnswer) -> None:
        """Add one entry VM's usage; the sum of peaks is an upper bound of the fleet's peak."""
        for endpoint in answer.endpoints:
            self.endpoints.setdefault(endpoint.endpoint_id, endpoint)
            self.mean_in_flight[endpoint.endpoint_id] += endpoint.mean_in_flight
        for pool in answer.pools:
            self.pool_peaks[pool.pool_id] += pool.peak_in_flight
        for item in answer.classes:
            key = (item.workspace_id, item.class_id)
            self.finished[key] += item.finished
            self.met[key] += item.met
            for pool_id in item.pool_ids:
                self.classes_of[pool_id].add(key)

    def attainment(self, key: tuple[str, str]) -> float:
        """Return the share of a class's requests that met their target, 1.0 without requests."""
        return self.met[key] / self.finished[key] if self.finished[key] else 1.0


def advise_removals(answers: Iterable[BooksAnswer]) -> tuple[Advice, ...]:
    """Return advice on each endpoint: removable ones first, then by falling margin."""
    usage = _UsageTotals()
    for answer in answers:
        usage.add(answer)
    advice = [_assess_removal(endpoint, usage) for endpoint in usage.endpoints.values()]
    return tuple(sorted(advice, key=lambda item: (not item.can_go, -item.margin, item.endpoint_id)))


def _assess_removal(endpoint: EndpointBooksAnswer, usage: _UsageTotals) -> Advice:
    """Return the effect of an endpoint's removal on its pools."""
    reasons: list[str] = []
    at_risk: set[tuple[str, str]] = set()
    margin = 1.0
    for pool_id in endpoint.pool_ids:
        remaining = _other_endpoints(endpoint, pool_id, usage.endpoints)
        usable_capacity = MAX_USED_SHARE * sum(other.concurrency_limit for other in remaining)
        peak = usage.pool_peaks[pool_id]
        pool_margin = (usable_capacity - peak) / usable_capacity if usable_capacity else -1.0
        margin = min(margin, pool_margin)
        if pool_margin < 0:
            reasons.append(
                f"{pool_id}: the peak of {peak} in flight needs more than {usable_capacity:g}"
            )
        if _loses_last_alternative(endpoint, pool_id, remaining, usage.endpoints):
            reasons.append(f"{pool_id}: only one failure domain would be left")
        at_risk |= usage.classes_of[pool_id]
        missed = sorted(
            key for key in usage.classes_of[pool_id] if usage.attainment(key) < TARGET_ATTAINMENT
        )
        reasons += [f"{'/'.join(key)}: misses its target already" for key in missed]
    mean = usage.mean_in_flight[endpoint.endpoint_id]
    return Advice(
        endpoint_id=endpoint.endpoint_id,
        can_go=not reasons,
        margin=round(margin, 3),
        used_share=round(mean / endpoint.concurrency_limit, 3),
        reasons=tuple(dict.fromkeys(reasons)),
        classes_at_risk=tuple("/".join(key) for key in sorted(at_risk)),
    )


def _other_endpoints(
    endpoint: EndpointBooksAnswer, pool_id: str, endpoints: Mapping[str, EndpointBooksAnswer]
) -> list[EndpointBooksAnswer]:
    """Return the other endpoints of a pool."""
    return [
        other
        for other in endpoints.values()
        if other.endpoint_id != endpoint.endpoint_id and pool_id in other.pool_ids
    ]


def _loses_last_alternative(
    endpoint: EndpointBooksAnswer,
    pool_id: str,
    remaining: list[EndpointBooksAnswer],
    endpoints: Mapping[str, EndpointBooksAnswer],
) -> bool:
    """Return whether a pool in several failure domains would be reduced to one."""
    before = {item.failure_domain_id for item in endpoints.values() if pool_id in item.pool_ids}
    after = {item.failure_domain_id for item in remaining}
    return len(before) > 1 and len(after) <= 1
