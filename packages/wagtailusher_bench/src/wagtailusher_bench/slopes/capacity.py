"""Computes the cost of each role per node at a fleet size from the measured figures."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass

S_PER_DAY = 86_400
US_PER_S = 1_000_000
MS_PER_S = 1_000
REFRESHES_PER_S = 20
TRACKED_ENDPOINTS = 75
RENEWALS_PER_S = 120
LEASE_RENEWAL_S = 0.5
LONGEST_RENEWAL_S = 1.5
QUEUE_S = 1.1
KEPT_CONFIGURATIONS = 2
LIST_VERSIONS_A_REPLACED_VM = 2
POLLS_PER_S = 4


@dataclass(frozen=True, slots=True, kw_only=True)
class FleetSize:
    """Size of a fleet and its peak load.

    `seen_endpoints` is the number of endpoints that each node tracks and leases,
    `polled_endpoints` the number that it stewards and polls.
    """

    nodes: int
    endpoints: int
    tracked_endpoints: int
    polled_endpoints: int
    requests_per_s: float
    tokens_per_s: float
    between_tokens_ms: float
    workspaces: int
    changes_per_day: int
    replaced_vms_per_day: int


@dataclass(frozen=True, slots=True, kw_only=True)
class Figure:
    """A measured line; a single measured value is an intercept with slope 0."""

    slope: float
    intercept: float = 0.0

    def value_at(self, size: float) -> float:
        """Return the value of the line at a size."""
        return self.intercept + self.slope * size


Figures = dict[str, Figure]


@dataclass(frozen=True, slots=True, kw_only=True)
class RoleCost:
    """The cost of one role per node; `control` roles count against the control budget."""

    role: str
    control: bool
    state_bytes: float
    messages_per_s: float
    bytes_per_s: float
    core_share: float


DESIGN = FleetSize(
    nodes=370,
    endpoints=3_800,
    tracked_endpoints=TRACKED_ENDPOINTS,
    polled_endpoints=11,
    requests_per_s=9_300,
    tokens_per_s=3_000_000,
    between_tokens_ms=49,
    workspaces=4_700,
    changes_per_day=3_000,
    replaced_vms_per_day=757,
)
TODAY = FleetSize(
    nodes=9,
    endpoints=14,
    tracked_endpoints=14,
    polled_endpoints=2,
    requests_per_s=0,
    tokens_per_s=0,
    between_tokens_ms=49,
    workspaces=10,
    changes_per_day=10,
    replaced_vms_per_day=9,
)
SIZES = {"design": DESIGN, "today": TODAY}


def iterate_role_costs(figures: Figures, size: FleetSize) -> Iterator[RoleCost]:
    """Yield the cost of each role per node."""
    yield _gateway(figures, size)
    yield _admission(figures, size)
    yield _endpoint_choice(figures, size)
    yield _load_reports(figures, size)
    yield _leases(figures, size)
    yield _membership(figures, size)
    yield _configuration(figures, size)
    yield _summaries(figures)
    yield _process(figures)


def _gateway(figures: Figures, size: FleetSize) -> RoleCost:
    """Return the cost of requests and streams, including observability of each request."""
    requests = size.requests_per_s / size.nodes
    chunks = size.tokens_per_s / size.nodes
    streams = _open_streams(size)
    spent_us = (
        requests * figures["request_cpu"].slope + chunks * figures["relayed_chunk_cpu"].intercept
    )
    return RoleCost(
        role="caller gateway",
        control=False,
        state_bytes=streams * figures["stream_memory"].slope,
        messages_per_s=requests + chunks,
        bytes_per_s=0.0,
        core_share=spent_us / US_PER_S,
    )


def _admission(figures: Figures, size: FleetSize) -> RoleCost:
    """Return the cost of the queue; its processor time is part of that of a request."""
    requests = size.requests_per_s / size.nodes
    queued = requests * QUEUE_S
    return RoleCost(
        role="admission",
        control=False,
        state_bytes=queued * figures["admission_memory"].slope,
        messages_per_s=0.0,
        bytes_per_s=0.0,
        core_share=requests * figures["decision_with_admission_cpu"].intercept / US_PER_S,
    )


def _endpoint_choice(figures: Figures, size: FleetSize) -> RoleCost:
    """Return the cost of refreshing the endpoint view at each tick, and of list updates."""
    tracked = size.tracked_endpoints
    list_updates_per_s = LIST_VERSIONS_A_REPLACED_VM * size.replaced_vms_per_day / S_PER_DAY
    spent_us = REFRESHES_PER_S * max(0.0, figures["refresh_cpu"].value_at(tracked))
    for name in ("vm_list_parse_cpu", "list_update_cpu"):
        spent_us += list_updates_per_s * max(0.0, figures[name].value_at(size.endpoints))
    return RoleCost(
        role="endpoint choice",
        control=True,
        state_bytes=tracked * figures["placement_memory"].slope,
        messages_per_s=list_updates_per_s,
        bytes_per_s=list_updates_per_s * figures["vm_list_document"].value_at(size.endpoints),
        core_share=spent_us / US_PER_S,
    )


def _load_reports(figures: Figures, size: FleetSize) -> RoleCost:
    """Return the cost of polling endpoint loads, POLLS_PER_S for each endpoint."""
    polled = min(size.polled_endpoints, size.endpoints)
    return RoleCost(
        role="load reports",
        control=True,
        state_bytes=0.0,
        messages_per_s=POLLS_PER_S * polled,
        bytes_per_s=polled * figures["load_reports_bytes"].slope,
        core_share=polled * figures["load_reports_cpu"].slope / US_PER_S,
    )


def _leases(figures: Figures, size: FleetSize) -> RoleCost:
    """Return the cost as holder and as steward; a node sends as much as it receives."""
    renewals = _renewals_per_s(size)
    spent_us = figures["lease_renewal_cpu"].slope + figures["lease_wire_cpu"].slope
    return RoleCost(
        role="steward and leases",
        control=True,
        state_bytes=size.endpoints / size.nodes * figures["steward_memory"].slope,
        messages_per_s=2 * renewals,
        bytes_per_s=renewals * figures["lease_wire_bytes"].slope,
        core_share=renewals * spent_us / US_PER_S,
    )


def _renewals_per_s(size: FleetSize) -> float:
    """Return a holder's renewals per second; without a known load every tracked endpoint is in use.

    With many tracked endpoints the interval grows to bound the rate, up to the longest interval
    at which a lease doesn't expire between renewals.
    """
    streams = _open_streams(size)
    in_use = min(size.tracked_endpoints, streams) if streams else size.tracked_endpoints
    spacing_s = min(size.tracked_endpoints / RENEWALS_PER_S, LONGEST_RENEWAL_S)
    return in_use / max(LEASE_RENEWAL_S, spacing_s)


def _open_streams(size: FleetSize) -> float:
    """Return a node's open streams at peak load."""
    return size.tokens_per_s / size.nodes * size.between_tokens_ms / MS_PER_S


def _membership(figures: Figures, size: FleetSize) -> RoleCost:
    """Return the cost of probes and gossip while nothing changes."""
    messages = figures["membership_messages_per_s"].value_at(size.nodes)
    spent_us = messages * figures["membership_message_cpu"].value_at(size.nodes)
    return RoleCost(
        role="membership",
        control=True,
        state_bytes=size.nodes * figures["member_records_memory"].slope,
        messages_per_s=messages,
        bytes_per_s=figures["membership_bytes_per_s"].value_at(size.nodes),
        core_share=spent_us / US_PER_S,
    )


def _configuration(figures: Figures, size: FleetSize) -> RoleCost:
    """Return the cost of the applied settings, the documents kept for deltas, and their spread."""
    changes_per_s = size.changes_per_day / S_PER_DAY
    document = figures["settings_document"].value_at(size.workspaces)
    parse_us = figures["settings_next_revision_cpu"].slope * size.workspaces
    idle = figures["configuration_idle_bytes_per_s"].intercept
    change_bytes = figures["configuration_bytes_per_change"].intercept
    return RoleCost(
        role="configuration reader and relay",
        control=True,
        state_bytes=size.workspaces * figures["settings_memory"].slope
        + KEPT_CONFIGURATIONS * document,
        messages_per_s=1.0,
        bytes_per_s=idle + changes_per_s * change_bytes,
        core_share=changes_per_s * parse_us / US_PER_S,
    )


def _summaries(figures: Figures) -> RoleCost:
    """Return the cost of spreading rooms, demand and quota shares."""
    return RoleCost(
        role="address answers and summaries",
        control=True,
        state_bytes=0.0,
        messages_per_s=3.0,
        bytes_per_s=figures["summary_bytes_per_s"].intercept,
        core_share=0.0,
    )


def _process(figures: Figures) -> RoleCost:
    """Return the cost of the idle process: interpreter, libraries, metrics and ticks."""
    return RoleCost(
        role="process and observability",
        control=True,
        state_bytes=figures["daemon_memory"].intercept,
        messages_per_s=0.0,
        bytes_per_s=0.0,
        core_share=figures["load_reports_cpu"].intercept / US_PER_S,
    )


def sum_costs(costs: list[RoleCost], role: str) -> RoleCost:
    """Return the sum of costs under a new role name."""
    return RoleCost(
        role=role,
        control=True,
        state_bytes=sum(cost.state_bytes for cost in costs),
        messages_per_s=sum(cost.messages_per_s for cost in costs),
        bytes_per_s=sum(cost.bytes_per_s for cost in costs),
        core_share=sum(cost.core_share for cost in costs),
    )
