"""Weighted fairness between workspaces, and the earliest deadline first among the eligible.

Each workspace has a virtual tag that grows by cost over weight with each start. Workspaces whose
tag is not ahead of the queue's virtual time by more than an allowance are eligible; among them the
request with the earliest deadline goes first. When none is left, the virtual time moves to the
least tag. A workspace is thus ahead of another that waits by one allowance and one request at most.
"""

from __future__ import annotations

from collections.abc import Iterator
from itertools import chain

from wagtailusher_admission.const import MIN_COST_MS
from wagtailusher_admission.entry import Entry, EntryState, PoolClass
from wagtailusher_admission.heap import LazyHeap
from wagtailusher_core import WorkspaceId


class _Lane:
    """The requests of one class that a fair queue holds, by deadline."""

    __slots__ = ("entries", "flow", "pool_class", "shown")

    def __init__(self, pool_class: PoolClass, flow: _Flow, state: EntryState) -> None:
        self.pool_class = pool_class
        self.flow = flow
        self.shown: Entry | None = None
        self.entries: LazyHeap[Entry] = LazyHeap(lambda _key, entry: entry.state == state)


class _Flow:
    """The lanes of one workspace, and its virtual start tag."""

    __slots__ = ("eligible", "heads", "order", "shown", "tag", "weight")

    def __init__(self, order: int, tag: float) -> None:
        self.order = order
        self.tag = tag
        self.weight = 1.0
        self.eligible = True
        self.shown: tuple[_Lane, Entry] | None = None
        self.heads: LazyHeap[tuple[_Lane, Entry]] = LazyHeap(_is_shown_by_lane)


def _is_shown_by_lane(_key: float, head: tuple[_Lane, Entry]) -> bool:
    return head[0].shown is head[1]


class FairQueue:
    """The requests of one tier that are all in time, or all late."""

    __slots__ = ("_ahead", "_allowance_ms", "_eligible", "_flows", "_lanes", "_state", "_virtual")

    def __init__(self, state: EntryState, allowance_ms: float) -> None:
        """Start empty, for entries in the given state."""
        self._state = state
        self._allowance_ms = allowance_ms
        self._virtual = 0.0
        self._flows: dict[WorkspaceId, _Flow] = {}
        self._lanes: dict[PoolClass, _Lane] = {}
        self._eligible: LazyHeap[tuple[_Flow, Entry]] = LazyHeap(_is_eligible)
        self._ahead: LazyHeap[_Flow] = LazyHeap(_is_ahead)

    def add(self, entry: Entry) -> None:
        """Add an entry that is in this queue's state."""
        lane = self._lane(entry.entered_class)
        lane.flow.weight = entry.entered_class.weight
        lane.entries.push(entry.request.deadline_ms, entry.order, entry)
        self._refresh(lane)

    def refresh(self, pool_class: PoolClass) -> None:
        """Take note that the class's first entry left, or that its quota opened or closed."""
        lane = self._lanes.get(pool_class)
        if lane is not None:
            self._refresh(lane)

    def charge(self, entry: Entry) -> None:
        """Advance the workspace's tag and the virtual time for a start."""
        flow = self._lane(entry.entered_class).flow
        flow.tag = max(flow.tag, self._virtual)
        flow.tag += max(MIN_COST_MS, entry.request.expected_service_ms) / flow.weight
        self._admit_flows()
        self._place(flow)

    def head(self) -> Entry | None:
        """Return the entry to start next."""
        self._admit_flows()
        head = self._eligible.peek()
        if head is not None:
            return head[1]
        flow = self._ahead.peek()
        return None if flow is None or flow.shown is None else flow.shown[1]

    def first_of(self, pool_class: PoolClass) -> Entry | None:
        """Return the class's entry with the earliest deadline."""
        lane = self._lanes.get(pool_class)
        return None if lane is None else lane.entries.peek()

    def in_order(self) -> Iterator[Entry]:
        """Yield the first entry of each workspace in order of service, then the others."""
        self._admit_flows()
        flows: list[_Flow] = []
        ahead = ((flow, flow.shown[1]) for flow in self._ahead.in_order() if flow.shown)
        for flow, entry in chain(self._eligible.in_order(), ahead):
            flows.append(flow)
            yield entry
        for flow in flows:
            yield from self._others(flow)

    def forget(self, pool_class: PoolClass) -> None:
        """Drop the records of a class without requests."""
        self._lanes.pop(pool_class, None)

    def _others(self, flow: _Flow) -> Iterator[Entry]:
        """Yield the entries of a workspace but its first."""
        first = flow.shown[1] if flow.shown else None
        for lane, _ in flow.heads.in_order():
            yield from (entry for entry in lane.entries.in_order() if entry is not first)

    def _lane(self, pool_class: PoolClass) -> _Lane:
        lane = self._lanes.get(pool_class)
        if lane is None:
            workspace_id = pool_class.key.workspace_id
            flow = self._flows.get(workspace_id)
            if flow is None:
                flow = _Flow(len(self._flows), self._virtual)
                self._flows[workspace_id] = flow
            lane = self._lanes[pool_class] = _Lane(pool_class, flow, self._state)
        return lane

    def _refresh(self, lane: _Lane) -> None:
        head = lane.entries.peek() if lane.pool_class.is_open else None
        if head is lane.shown:
            return
        lane.shown = head
        flow = lane.flow
        if head is not None:
            flow.heads.push(head.request.deadline_ms, head.order, (lane, head))
        top = flow.heads.peek()
        if (top and top[1]) is (flow.shown and flow.shown[1]):
            return
        if flow.shown is None:
            flow.tag = max(flow.tag, self._virtual)
        flow.shown = top
        self._place(flow)

    def _place(self, flow: _Flow) -> None:
        """Put a workspace that has a request to show where its tag belongs."""
        flow.eligible = flow.tag <= self._virtual + self._allowance_ms
        if flow.shown is None:
            return
        if flow.eligible:
            entry = flow.shown[1]
            self._eligible.push(entry.request.deadline_ms, entry.order, (flow, entry))
        else:
            self._ahead.push(flow.tag, flow.order, flow)

    def _admit_flows(self) -> None:
        """Move the workspaces that virtual time has reached among the eligible."""
        if self._eligible.peek() is None:
            least = self._ahead.peek_key()
            if least is not None:
                self._virtual = max(self._virtual, least)
        while (flow := self._ahead.peek()) is not None:
            if flow.tag > self._virtual + self._allowance_ms:
                return
            self._place(flow)


def _is_eligible(_key: float, head: tuple[_Flow, Entry]) -> bool:
    flow, entry = head
    return flow.eligible and flow.shown is not None and flow.shown[1] is entry


def _is_ahead(key: float, flow: _Flow) -> bool:
    return not flow.eligible and flow.shown is not None and flow.tag == key
