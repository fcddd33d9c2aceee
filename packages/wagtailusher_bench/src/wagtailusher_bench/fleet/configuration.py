"""Measures how fast configuration changes spread and what they cost."""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from dataclasses import asdict, dataclass
from random import Random
from time import perf_counter

from numpy import percentile

from wagtailusher_bench.fleet.configuration_node import ConfigurationNode
from wagtailusher_bench.fleet.configuration_service import ConfigurationService
from wagtailusher_bench.fleet.network import ChannelProfile, Network
from wagtailusher_bench.fleet.node_specs import DOMAINS_BY_SIZE, make_node_specs, publish
from wagtailusher_core import Revision
from wagtailusher_membership import ConfigurationLimits
from wagtailusher_wire import NO_REVISION, ContentAnswer, encode
from wagtailusher_wire.delta import apply_delta, make_delta

_SETTLE_MS = 10_000
_CHANGE_INTERVAL_MS = 7_000
_CONTENT_LINES = 1_000


@dataclass(frozen=True, slots=True, kw_only=True)
class ConfigurationSpread:
    """The time from the publication of a change until each node applied it, and its traffic."""

    measure: str
    nodes: int
    failure_domains: int
    loss: float
    service: str
    changes: int
    p50_ms: float
    p99_ms: float
    max_ms: int
    missing: int
    max_service_calls_per_s: int
    service_calls_bound_per_s: float
    bytes_per_change_and_node: float
    idle_bytes_per_s: float


@dataclass(frozen=True, slots=True, kw_only=True)
class DeltaCost:
    """Size and processing time of the delta for a small change of a large configuration."""

    measure: str
    content_bytes: int
    changed_places: int
    delta_bytes: int
    make_ms: float
    apply_ms: float


class ConfigurationFleet:
    """A simulated fleet of configuration nodes around one configuration service."""

    def __init__(self, size: int, *, seed: int, loss: float) -> None:
        """Start all nodes and run until their startup synchronization is over."""
        self.node_specs = make_node_specs(size)
        self.published = publish(self.node_specs)
        self.network = Network(
            seed=seed, profile=ChannelProfile(loss=loss, duplicates=loss / 10), sample_every=1
        )
        self.service = ConfigurationService(self.network)
        self.service.publish(Revision(number=1), make_content(_CONTENT_LINES, 0))
        self.nodes = [
            self.start(index, seed=seed * 10_000 + index) for index in range(len(self.node_specs))
        ]
        self.network.run_until(_SETTLE_MS)

    def start(self, index: int, *, seed: int) -> ConfigurationNode:
        """Start a process, replacing an older one of the same VM."""
        node = ConfigurationNode(
            self.node_specs[index],
            network=self.network,
            service=self.service,
            published=self.published,
            seed=seed,
        )
        self.network.start(node)
        return node


def make_content(lines: int, change: int) -> bytes:
    """Return a configuration in which one line depends on the number of the change."""
    return b"".join(
        b"workspace-%05d: {weight: %d, quota: %d}\n"
        % (line, line % 7, change if line == change * 37 % lines else 100)
        for line in range(lines)
    )


def measure_spread(size: int, *, seed: int, loss: float, changes: int) -> ConfigurationSpread:
    """Return how long changes take until all nodes have applied them."""
    fleet = ConfigurationFleet(size, seed=seed, loss=loss)
    network = fleet.network
    idle_bytes_per_s = _idle_bytes_per_s(fleet)
    network.traffic.reset()
    fleet.service.calls_by_second.clear()
    start_ms = network.now_ms
    starts = _publish_changes(fleet, changes, Random(seed))
    delays = [
        applied_ms - starts[revision]
        for node in fleet.nodes
        for applied_ms, revision in node.applied
        if revision in starts
    ]
    sent = sum(network.traffic.bytes_by_node.values()) / size
    idle = idle_bytes_per_s * (network.now_ms - start_ms) / 1_000
    domains = DOMAINS_BY_SIZE[size]
    return ConfigurationSpread(
        measure="configuration_spread",
        nodes=size,
        failure_domains=domains,
        loss=loss,
        service="up",
        changes=changes,
        p50_ms=round(float(percentile(delays, 50)), 1),
        p99_ms=round(float(percentile(delays, 99)), 1),
        max_ms=max(delays),
        missing=size * changes - len(delays),
        max_service_calls_per_s=max(fleet.service.calls_by_second.values()),
        service_calls_bound_per_s=ConfigurationLimits().service_calls_per_s(domains),
        bytes_per_change_and_node=round((sent - idle) / changes, 1),
        idle_bytes_per_s=round(idle_bytes_per_s, 1),
    )


def _publish_changes(fleet: ConfigurationFleet, changes: int, rng: Random) -> dict[Revision, int]:
    """Publish changes one after the other and return the time of each by revision."""
    network = fleet.network
    starts: dict[Revision, int] = {}
    for change in range(2, changes + 2):
        network.run_until(network.now_ms + _CHANGE_INTERVAL_MS + rng.randrange(1_000))
        revision = Revision(number=change)
        starts[revision] = network.now_ms
        fleet.service.publish(revision, make_content(_CONTENT_LINES, change))
    network.run_until(network.now_ms + _CHANGE_INTERVAL_MS)
    return starts


def measure_delta(lines: int, places: int) -> DeltaCost:
    """Return the cost of a delta with `places` changed lines, evenly distributed."""
    base = make_content(lines, 0)
    parts = base.splitlines(keepends=True)
    for place in range(places):
        parts[place * lines // places] = b"workspace-changed: {}\n"
    content = b"".join(parts)
    start_s = perf_counter()
    steps = make_delta(base, content)
    made_s = perf_counter()
    rebuilt = apply_delta(base, steps, max_bytes=2 * len(content))
    applied_s = perf_counter()
    if rebuilt != content:
        raise ValueError("Delta does not reproduce the changed content")
    answer = ContentAnswer(
        sequence=1, revision=Revision(number=2), digest=1, base=NO_REVISION, steps=steps
    )
    return DeltaCost(
        measure="configuration_delta",
        content_bytes=len(content),
        changed_places=places,
        delta_bytes=len(encode(answer)),
        make_ms=round((made_s - start_s) * 1_000, 2),
        apply_ms=round((applied_s - made_s) * 1_000, 2),
    )


def measure_configuration(
    sizes: Sequence[int], *, seed: int, loss: float, changes: int
) -> Iterator[dict[str, object]]:
    """Yield the measurements of deltas and configuration spread, one object each."""
    for places in (1, 10, 100):
        yield asdict(measure_delta(26_000, places))
    for size in sizes:
        yield asdict(measure_spread(size, seed=seed, loss=loss, changes=changes))


def _idle_bytes_per_s(fleet: ConfigurationFleet) -> float:
    """Return the mean bytes per second that a node sends while nothing changes."""
    fleet.network.traffic.reset()
    start_ms = fleet.network.now_ms
    fleet.network.run_until(start_ms + _SETTLE_MS)
    sent = sum(fleet.network.traffic.bytes_by_node.values())
    return sent / len(fleet.nodes) / (_SETTLE_MS / 1_000)
