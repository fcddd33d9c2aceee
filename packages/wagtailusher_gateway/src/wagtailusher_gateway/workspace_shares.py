"""Shares of workspaces in a service, over all VMs, while they compete for it.

Answers the load of one workspace that sends many times its usual while the others send as always,
to many VMs of which each sees only a few of the requests. Each VM tells its peers what the
workspaces asked for lately and what was started for them, so that all of them decide on the sums of
the fleet. No VM keeps a share for itself: one that is cut off, or has just started, decides on what
it sees and hears.

Two decisions follow from these sums, both only between requests of the same rank:

- Order: the queue starts the workspace for which the fleet started the least work (virtual token
  counters; Sheng et al., Fairness in Serving Large Language Models, OSDI 2024). Work loses weight
  with its age, so that a workspace that was idle saves up no more than a window's work.
- Refusal: of a workspace that asks for more than its fair share, that part of the requests is
  refused at once which exceeds it (core-stateless fair queueing; Stoica et al., SIGCOMM 1998). The
  fair share is the largest amount that each workspace could ask for without exceeding together what
  the fleet starts; what some don't ask for is thereby left to the others.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable, Iterator, Mapping
import copy
from dataclasses import dataclass, field
from functools import lru_cache
from hashlib import blake2b
from typing import NamedTuple

from wagtailusher_core import VmId
from wagtailusher_gateway.models import RequestTerms, Service
from wagtailusher_gateway.recent_sum import WINDOW_MS, RecentSum
from wagtailusher_gateway.reservation import Reservation
from wagtailusher_wire import BeatShares, WorkspaceWork

WORK_PER_REQUEST = 100
"""Work of a request for a service without engines; a unit that can be told as a whole number."""

OUTPUT_TOKEN_WORK = 4
"""Work of an output token; a decoding step for a usual batch takes some times as long, for each of
its requests, as reading a prompt token."""

REPORT_LIFETIME_MS = 4_000
"""Age from which a peer's report is left out; three reports of a large fleet, of which one or two
may be lost."""

REFRESH_MS = 100
"""Interval at which the sums of the fleet are computed anew; half a heartbeat interval."""

CONTENDED_PART = 0.3
"""Work that had to wait, as a part of the started work, from which workspaces compete; chance lets
some requests wait also while there is room."""

CONTENTION_WINDOW_MS = 500
"""Time constant of the work that had to wait; what a workspace leaves goes to others
soon after the last request had to wait."""

ADMITTED_PART = 1.1
"""Work that shares admit, as a part of what the fleet starts; above 1, as shares must leave no
endpoint idle."""

MIN_REQUESTS = 8
"""Usual requests in a workspace's recent work from which it may be refused; fewer are chance."""

MAX_RELATIVE_PASS = 0.5
"""A workspace is refused only if less than this part of its requests is within its share, relative
to those of the others. Requests come by chance, so one of many equal workspaces asks for half as
much again at times; these differ only in the order of service."""

MIN_RELATIVE_PASS = 0.3
"""Least part of a workspace's requests that shares let pass, relative to those of the others; also
its callers mostly sent one request each."""

MAX_TOLD_WORKSPACES = 8
"""Most workspaces that a heartbeat tells of each pool; few exceed their share at one time."""

MAX_TOLD_POOLS = 2
"""Most pools that a heartbeat tells; with all their workspaces they use a third of a datagram."""

MAX_WORKSPACES = 8_192
"""Most workspaces of which this VM keeps sums in one pool; bounds memory use."""

MIN_KEPT_WORK = 1.0
"""Work below which a sum is dropped."""


class Pool(NamedTuple):
    """Requests of one rank for one service; these compete."""

    service: str
    rank: int


@dataclass(slots=True)
class _WorkspaceSums:
    """Recent work of one workspace at this VM."""

    asked: RecentSum = field(default_factory=RecentSum)
    started: RecentSum = field(default_factory=RecentSum)


@dataclass(slots=True)
class _PoolSums:
    """Recent work of one pool at this VM."""

    requests: RecentSum = field(default_factory=RecentSum)
    asked: RecentSum = field(default_factory=RecentSum)
    started: RecentSum = field(default_factory=RecentSum)
    waited: RecentSum = field(default_factory=lambda: RecentSum(CONTENTION_WINDOW_MS))
    workspaces: defaultdict[int, _WorkspaceSums] = field(
        default_factory=lambda: defaultdict(_WorkspaceSums)
    )


@dataclass(frozen=True, slots=True, kw_only=True)
class FleetWork:
    """The sums of one pool over all VMs that tell theirs."""

    requests: float
    asked: float
    started: float
    waited: float
    by_workspace: Mapping[int, float]
    """Asked work of the workspaces that are told."""
    peers_started: Mapping[int, float]
    """Work that other VMs started, by workspace."""

    @property
    def is_contended(self) -> bool:
        """Return whether requests compete: a part of the work has to wait."""
        return _are_waiting(self.waited, self.started)


class WorkspaceShares:
    """The recent work of workspaces at this VM and, as far as they tell, at its peers."""

    def __init__(self) -> None:
        self._own: defaultdict[Pool, _PoolSums] = defaultdict(_PoolSums)
        self._peers: dict[VmId, tuple[int, dict[Pool, BeatShares]]] = {}
        self._fleet: dict[Pool, tuple[int, FleetWork]] = {}

    def trial(self, workspace: str) -> WorkspaceShares:
        """Return a copy in which only this workspace's requests may be recorded.

        What is known of the others is shared, as it may be much.
        """
        found = copy.copy(self)
        found._fleet = self._fleet.copy()
        found._own = defaultdict(_PoolSums)
        key = workspace_hash(workspace)
        for pool, sums in self._own.items():
            copied = found._own[pool] = _PoolSums(
                requests=copy.copy(sums.requests),
                asked=copy.copy(sums.asked),
                started=copy.copy(sums.started),
                waited=copy.copy(sums.waited),
                workspaces=sums.workspaces.copy(),
            )
            if key in sums.workspaces:
                copied.workspaces[key] = copy.deepcopy(sums.workspaces[key])
        return found

    def record_asked(self, pool: Pool, workspace: str, work: float, now_ms: int) -> None:
        """Add a request's estimated work when it arrives."""
        sums = self._own[pool]
        sums.requests.add(1.0, now_ms)
        sums.asked.add(work, now_ms)
        if self._has_room(sums, workspace):
            sums.workspaces[workspace_hash(workspace)].asked.add(work, now_ms)

    def record_waited(self, pool: Pool, work: float, now_ms: int) -> None:
        """Add the work of a request that had to wait, or was refused for lack of room."""
        self._own[pool].waited.add(work, now_ms)

    def record_started(self, pool: Pool, workspace: str, work: float, now_ms: int) -> None:
        """Charge a request's estimated work when it starts."""
        sums = self._own[pool]
        sums.started.add(work, now_ms)
        if self._has_room(sums, workspace):
            sums.workspaces[workspace_hash(workspace)].started.add(work, now_ms)

    def correct(self, pool: Pool, workspace: str, difference: float, now_ms: int) -> None:
        """Add the difference between the actual and the charged work of a started request."""
        sums = self._own[pool].workspaces.get(workspace_hash(workspace))
        if sums is not None:
            sums.started.add(difference, now_ms)

    def level(self, pool: Pool, workspace: str, now_ms: int) -> float:
        """Return the work started lately for a workspace; the least is started first."""
        key = workspace_hash(workspace)
        own = self._own[pool].workspaces.get(key)
        own_work = own.started.at(now_ms) if own is not None else 0.0
        return own_work + self.fleet_work(pool, now_ms).peers_started.get(key, 0.0)

    def pass_chance(self, pool: Pool, workspace: str, now_ms: int) -> float:
        """Return the part of a workspace's requests that is within its share, 1 without contention.

        Requests without a workspace count as those of one, but always pass: many callers send them.
        """
        if not workspace:
            return 1.0
        work = self.fleet_work(pool, now_ms)
        asked = work.by_workspace.get(workspace_hash(workspace), 0.0)
        if not work.is_contended or asked * work.requests < MIN_REQUESTS * work.asked or not asked:
            return 1.0
        share = fair_share(work.by_workspace.values(), work.asked, ADMITTED_PART * work.started)
        others_asked = work.asked - asked
        others_passed = others_asked - sum(
            max(0.0, amount - share) for amount in work.by_workspace.values()
        )
        others_passed += max(0.0, asked - share)
        others_pass = others_passed / others_asked if others_asked > 0 else 0.0
        own_pass = min(1.0, share / asked)
        if own_pass >= MAX_RELATIVE_PASS * others_pass:
            return 1.0
        return max(own_pass, MIN_RELATIVE_PASS * others_pass)

    def is_contended(self, pool: Pool, now_ms: int) -> bool:
        """Return whether requests of a pool compete anywhere in the fleet."""
        return self.fleet_work(pool, now_ms).is_contended

    def count_contended(self, now_ms: int) -> int:
        """Return the number of pools in which workspaces compete."""
        return sum(self.is_contended(pool, now_ms) for pool in tuple(self._own))

    def fleet_work(self, pool: Pool, now_ms: int) -> FleetWork:
        """Return the sums of a pool over all VMs, at most `REFRESH_MS` old."""
        computed_ms, work = self._fleet.get(pool, (now_ms - REFRESH_MS, None))
        if work is None or now_ms - computed_ms >= REFRESH_MS:
            work = self._compute(pool, now_ms)
            self._fleet[pool] = (now_ms, work)
        return work

    def set_peer(self, vm_id: VmId, reports: tuple[BeatShares, ...], told_ms: int) -> None:
        """Replace what a peer told; `told_ms` is when it arrived."""
        if reports:
            by_pool = {Pool(item.service, item.rank): item for item in reports}
            self._peers[vm_id] = (told_ms, by_pool)
        else:
            self._peers.pop(vm_id, None)

    def own_reports(self, now_ms: int) -> tuple[BeatShares, ...]:
        """Return what to tell peers: the pools with most work in which requests compete."""
        pools = (pool for pool in tuple(self._own) if self._is_told(pool, now_ms))
        reports = (self._report(pool, self._own[pool], now_ms) for pool in pools)
        ordered = sorted(reports, key=lambda report: report.asked, reverse=True)
        return tuple(ordered[:MAX_TOLD_POOLS])

    def tick(self, now_ms: int) -> None:
        """Drop what has lost its weight and what peers told long ago."""
        self._peers = {
            vm_id: (told_ms, by_pool)
            for vm_id, (told_ms, by_pool) in self._peers.items()
            if now_ms - told_ms <= REPORT_LIFETIME_MS
        }
        for pool, sums in tuple(self._own.items()):
            if sums.asked.at(now_ms) < MIN_KEPT_WORK:
                del self._own[pool]
                self._fleet.pop(pool, None)
                continue
            for key in [key for key, item in sums.workspaces.items() if _is_idle(item, now_ms)]:
                del sums.workspaces[key]

    def _has_room(self, sums: _PoolSums, workspace: str) -> bool:
        known = workspace_hash(workspace) in sums.workspaces
        return known or len(sums.workspaces) < MAX_WORKSPACES

    def _is_told(self, pool: Pool, now_ms: int) -> bool:
        """Return whether requests of a pool compete, at this VM or by what peers tell."""
        sums = self._own[pool]
        has_waited = _are_waiting(sums.waited.at(now_ms), sums.started.at(now_ms))
        return bool(sums.workspaces) and (has_waited or self.is_contended(pool, now_ms))

    def _report(self, pool: Pool, sums: _PoolSums, now_ms: int) -> BeatShares:
        asked = {key: item.asked.at(now_ms) for key, item in sums.workspaces.items()}
        largest = sorted(asked, key=asked.__getitem__, reverse=True)[:MAX_TOLD_WORKSPACES]
        return BeatShares(
            service=pool.service,
            rank=pool.rank,
            requests=round(1_000 * sums.requests.at(now_ms)),
            asked=round(sums.asked.at(now_ms)),
            started=round(sums.started.at(now_ms)),
            waited=round(sums.waited.at(now_ms)),
            workspaces=tuple(
                WorkspaceWork(
                    workspace_hash=key,
                    asked=round(asked[key]),
                    started=round(sums.workspaces[key].started.at(now_ms)),
                )
                for key in largest
            ),
        )

    def _compute(self, pool: Pool, now_ms: int) -> FleetWork:
        """Add up this VM's sums and the reports of its peers."""
        own = self._own[pool]
        reports = tuple(self._reports(pool, now_ms))
        asked: defaultdict[int, float] = defaultdict(float)
        peers_started: defaultdict[int, float] = defaultdict(float)
        for key, sums in own.workspaces.items():
            asked[key] += sums.asked.at(now_ms)
        for item in (item for report in reports for item in report.workspaces):
            asked[item.workspace_hash] += item.asked
            peers_started[item.workspace_hash] += item.started
        return FleetWork(
            requests=own.requests.at(now_ms) + sum(item.requests for item in reports) / 1_000,
            asked=own.asked.at(now_ms) + sum(item.asked for item in reports),
            started=own.started.at(now_ms) + sum(item.started for item in reports),
            waited=own.waited.at(now_ms) + sum(item.waited for item in reports),
            by_workspace=asked,
            peers_started=peers_started,
        )

    def _reports(self, pool: Pool, now_ms: int) -> Iterator[BeatShares]:
        """Yield what peers told of a pool, unless it is old."""
        for told_ms, by_pool in self._peers.values():
            if pool in by_pool and now_ms - told_ms <= REPORT_LIFETIME_MS:
                yield by_pool[pool]


def estimated_work(service: Service, terms: RequestTerms) -> float:
    """Return a request's work before its endpoint is chosen, as if its shared parts were cached."""
    if service.engine is None:
        return WORK_PER_REQUEST
    return max(1, terms.own_prompt_tokens + OUTPUT_TOKEN_WORK * terms.max_output_tokens)


def actual_work(service: Service, terms: RequestTerms, reservation: Reservation) -> float:
    """Return a request's work with the prompt tokens that its endpoint has to read."""
    if service.engine is None:
        return WORK_PER_REQUEST
    return max(1, reservation.prefill_tokens + OUTPUT_TOKEN_WORK * terms.max_output_tokens)


def fair_share(told: Iterable[float], asked: float, available: float) -> float:
    """Return the largest amount per workspace that together does not exceed what is available.

    The part of `asked` that is not in `told` is of workspaces that ask for little each.
    """
    amounts = sorted(told)
    left = available - max(0.0, asked - sum(amounts))
    for position, amount in enumerate(amounts):
        share = left / (len(amounts) - position)
        if amount >= share:
            return max(0.0, share)
        left -= amount
    return amounts[-1] if amounts else available


@lru_cache(maxsize=MAX_WORKSPACES)
def workspace_hash(workspace: str) -> int:
    """Return the number by which heartbeats name a workspace; two rarely share one."""
    return int.from_bytes(blake2b(workspace.encode(), digest_size=4).digest())


def _are_waiting(waited: float, started: float) -> bool:
    """Return whether a part of the work has to wait."""
    return waited / CONTENTION_WINDOW_MS > CONTENDED_PART * started / WINDOW_MS


def _is_idle(sums: _WorkspaceSums, now_ms: int) -> bool:
    return all(item.at(now_ms) < MIN_KEPT_WORK for item in (sums.asked, sums.started))
