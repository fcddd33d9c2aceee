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
from wagtailusher_admission.entry import Entry, Flow, Lane, PoolClass
from wagtailusher_admission.heap import HandleHeap
from wagtailusher_core import WorkspaceId


class FairQueue:
    """The requests of one tier that are all in time, or all late."""

    __slots__ = ("_ahead", "_allowance_ms", "_eligible", "_flows", "_virtual_ms")

    def __init__(self, allowance_ms: float) -> None:
        """Start empty."""
        self._allowance_ms = allowance_ms
        self._virtual_ms = 0.0
        self._flows: dict[WorkspaceId, Flow] = {}
        self._eligible: HandleHeap[Lane] = HandleHeap()
        self._ahead: HandleHeap[Flow] = HandleHeap()

    def make_lane(self, holder: PoolClass) -> Lane:
        """Return a new lane for a class."""
        workspace_id = holder.key.workspace_id
        flow = self._flows.get(workspace_id)
        if flow is None:
            flow = self._flows[workspace_id] = Flow(len(self._flows), self._virtual_ms)
        lane = Lane(holder, flow)
        flow.lanes.append(lane)
        return lane

    def forget_lane(self, lane: Lane) -> None:
        """Drop a lane without requests."""
        lane.flow.lanes.remove(lane)

    def add(self, lane: Lane, entry: Entry) -> None:
        """Add an entry to a lane."""
        deadline_ms = entry.deadline_ms
        entry.handle = lane.entries.push(deadline_ms, entry.order, entry)
        shown = lane.shown
        if shown is None:
            self.refresh(lane)
        elif deadline_ms < shown.deadline_ms or (
            deadline_ms == shown.deadline_ms and entry.order < shown.order
        ):
            lane.shown = entry
            if lane.flow.is_eligible:
                self._place_lane(lane)

    def start(self, lane: Lane, entry: Entry) -> None:
        """Take an entry out of its lane and advance its workspace's tag."""
        flow = lane.flow
        flow.weight = lane.holder.weight
        flow.tag += max(MIN_COST_MS, lane.holder.cost_ms(entry.request)) / flow.weight
        if not flow.is_eligible or flow.tag > self._virtual_ms + self._allowance_ms:
            self._place_flow(flow)
        self.remove(lane, entry)

    def remove(self, lane: Lane, entry: Entry) -> None:
        """Take an entry out of its lane."""
        if entry.handle is not None:
            lane.entries.discard(entry.handle)
            entry.handle = None
        if lane.shown is entry:
            self.refresh(lane)

    def refresh(self, lane: Lane) -> None:
        """Show the lane's first entry, or none while its class is at its quota."""
        head = lane.entries.peek() if lane.holder.is_open else None
        if head is lane.shown:
            return
        flow = lane.flow
        change = (head is not None) - (lane.shown is not None)
        lane.shown = head
        flow.waiting_lanes += change
        if change and flow.waiting_lanes <= 1:
            self._place_flow(flow)
        if flow.is_eligible:
            self._place_lane(lane)

    def head(self) -> Entry | None:
        """Return the entry to start next."""
        lane = self._eligible.peek()
        if lane is None:
            lane = self._start_round()
        return None if lane is None else lane.shown

    def in_order(self) -> Iterator[Entry]:
        """Yield the first entries of the lanes in order of service, then the others."""
        flows = list(self._ahead.in_order())
        lanes = list(self._eligible.in_order())
        lanes.extend(lane for flow in flows for lane in flow.lanes if lane.shown is not None)
        yield from (lane.shown for lane in lanes if lane.shown is not None)
        entries = chain.from_iterable(lane.entries.in_order() for lane in lanes)
        shown = {lane.shown for lane in lanes}
        yield from (entry for entry in entries if entry not in shown)

    def _place_flow(self, flow: Flow) -> None:
        """Put a workspace where its tag belongs."""
        if flow.tag < self._virtual_ms:
            flow.tag = self._virtual_ms
        was_eligible = flow.is_eligible
        flow.is_eligible = flow.tag <= self._virtual_ms + self._allowance_ms
        if flow.handle is not None:
            self._ahead.discard(flow.handle)
            flow.handle = None
        if not flow.is_eligible and flow.waiting_lanes:
            flow.handle = self._ahead.push(flow.tag, flow.order, flow)
        if was_eligible is not flow.is_eligible:
            for lane in flow.lanes:
                self._place_lane(lane)

    def _place_lane(self, lane: Lane) -> None:
        """Put a lane among the eligible if its workspace is and it has an entry to show."""
        if lane.handle is not None:
            self._eligible.discard(lane.handle)
            lane.handle = None
        entry = lane.shown
        if entry is not None and lane.flow.is_eligible:
            lane.handle = self._eligible.push(entry.deadline_ms, entry.order, lane)

    def _start_round(self) -> Lane | None:
        """Move the virtual time to the least tag; return the first of the newly eligible."""
        flow = self._ahead.peek()
        if flow is None:
            return None
        self._virtual_ms = flow.tag
        while flow is not None and flow.tag <= self._virtual_ms + self._allowance_ms:
            self._place_flow(flow)
            flow = self._ahead.peek()
        return self._eligible.peek()
