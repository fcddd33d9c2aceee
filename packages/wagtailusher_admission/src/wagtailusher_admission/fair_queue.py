"""Weighted fairness between workspaces, with the earliest deadline first among the eligible.

Each workspace has a virtual tag that grows by cost over weight with each start. Workspaces whose
tag is ahead of the queue's virtual time by at most an allowance are eligible; among them the
request with the earliest deadline is started first. When none is left, the virtual time advances
to the least tag. A workspace is thus ahead of a waiting one by at most one allowance and one
request.
"""

from __future__ import annotations

from collections.abc import Iterator
from itertools import chain

from wagtailusher_admission.const import MIN_COST_MS
from wagtailusher_admission.entry import ClassQueue, ClassState, Entry, WorkspaceQueue
from wagtailusher_admission.heap import HandleHeap
from wagtailusher_core import WorkspaceId


class FairQueue:
    """The requests of one tier that are all in time, or all late, in order of service."""

    __slots__ = ("_ineligible", "_allowance_ms", "_eligible", "_workspace_queues", "_virtual_ms")

    def __init__(self, allowance_ms: float) -> None:
        self._allowance_ms = allowance_ms
        self._virtual_ms = 0.0
        self._workspace_queues: dict[WorkspaceId, WorkspaceQueue] = {}
        self._eligible: HandleHeap[ClassQueue] = HandleHeap()
        self._ineligible: HandleHeap[WorkspaceQueue] = HandleHeap()

    def create_class_queue(self, class_state: ClassState) -> ClassQueue:
        """Return a new queue for a class, within its workspace's queue."""
        workspace_id = class_state.key.workspace_id
        workspace_queue = self._workspace_queues.get(workspace_id)
        if workspace_queue is None:
            workspace_queue = self._workspace_queues[workspace_id] = WorkspaceQueue(
                len(self._workspace_queues), self._virtual_ms
            )
        class_queue = ClassQueue(class_state, workspace_queue)
        workspace_queue.class_queues.append(class_queue)
        return class_queue

    def remove_class_queue(self, class_queue: ClassQueue) -> None:
        """Remove an empty class queue from its workspace."""
        class_queue.workspace_queue.class_queues.remove(class_queue)

    def add(self, class_queue: ClassQueue, entry: Entry) -> None:
        """Add an entry to a class queue."""
        deadline_ms = entry.deadline_ms
        entry.handle = class_queue.entries.push(deadline_ms, entry.order, entry)
        ready_entry = class_queue.ready_entry
        if ready_entry is None:
            self.refresh(class_queue)
        elif deadline_ms < ready_entry.deadline_ms or (
            deadline_ms == ready_entry.deadline_ms and entry.order < ready_entry.order
        ):
            class_queue.ready_entry = entry
            if class_queue.workspace_queue.is_eligible:
                self._reposition_class_queue(class_queue)

    def start(self, class_queue: ClassQueue, entry: Entry) -> None:
        """Remove an entry that is started and advance its workspace's tag by the cost."""
        workspace_queue = class_queue.workspace_queue
        workspace_queue.weight = class_queue.class_state.weight
        workspace_queue.tag += (
            max(MIN_COST_MS, class_queue.class_state.cost_ms(entry.request))
            / workspace_queue.weight
        )
        if (
            not workspace_queue.is_eligible
            or workspace_queue.tag > self._virtual_ms + self._allowance_ms
        ):
            self._reposition_workspace(workspace_queue)
        self.remove(class_queue, entry)

    def remove(self, class_queue: ClassQueue, entry: Entry) -> None:
        """Remove an entry from its class queue."""
        if entry.handle is not None:
            class_queue.entries.discard(entry.handle)
            entry.handle = None
        if class_queue.ready_entry is entry:
            self.refresh(class_queue)

    def refresh(self, class_queue: ClassQueue) -> None:
        """Recompute a class queue's ready entry, which is None while the class is at its quota."""
        head = class_queue.entries.peek() if class_queue.class_state.is_open else None
        if head is class_queue.ready_entry:
            return
        workspace_queue = class_queue.workspace_queue
        change = (head is not None) - (class_queue.ready_entry is not None)
        class_queue.ready_entry = head
        workspace_queue.ready_count += change
        if change and workspace_queue.ready_count <= 1:
            self._reposition_workspace(workspace_queue)
        if workspace_queue.is_eligible:
            self._reposition_class_queue(class_queue)

    def next_entry(self) -> Entry | None:
        """Return the entry to start next, or None."""
        class_queue = self._eligible.peek()
        if class_queue is None:
            class_queue = self._advance_virtual_time()
        return None if class_queue is None else class_queue.ready_entry

    def in_order(self) -> Iterator[Entry]:
        """Yield the ready entries of the class queues in order of service, then the others."""
        workspace_queues = list(self._ineligible.in_order())
        class_queues = list(self._eligible.in_order())
        class_queues.extend(
            class_queue
            for workspace_queue in workspace_queues
            for class_queue in workspace_queue.class_queues
            if class_queue.ready_entry is not None
        )
        yield from (
            class_queue.ready_entry
            for class_queue in class_queues
            if class_queue.ready_entry is not None
        )
        entries = chain.from_iterable(
            class_queue.entries.in_order() for class_queue in class_queues
        )
        ready_entry = {class_queue.ready_entry for class_queue in class_queues}
        yield from (entry for entry in entries if entry not in ready_entry)

    def _reposition_workspace(self, workspace_queue: WorkspaceQueue) -> None:
        """Update a workspace's eligibility and its position by tag."""
        if workspace_queue.tag < self._virtual_ms:
            workspace_queue.tag = self._virtual_ms
        was_eligible = workspace_queue.is_eligible
        workspace_queue.is_eligible = workspace_queue.tag <= self._virtual_ms + self._allowance_ms
        if workspace_queue.handle is not None:
            self._ineligible.discard(workspace_queue.handle)
            workspace_queue.handle = None
        if not workspace_queue.is_eligible and workspace_queue.ready_count:
            workspace_queue.handle = self._ineligible.push(
                workspace_queue.tag, workspace_queue.order, workspace_queue
            )
        if was_eligible is not workspace_queue.is_eligible:
            for class_queue in workspace_queue.class_queues:
                self._reposition_class_queue(class_queue)

    def _reposition_class_queue(self, class_queue: ClassQueue) -> None:
        """Add a class queue to the eligible ones if its workspace is and it has a ready entry."""
        if class_queue.handle is not None:
            self._eligible.discard(class_queue.handle)
            class_queue.handle = None
        entry = class_queue.ready_entry
        if entry is not None and class_queue.workspace_queue.is_eligible:
            class_queue.handle = self._eligible.push(entry.deadline_ms, entry.order, class_queue)

    def _advance_virtual_time(self) -> ClassQueue | None:
        """Advance the virtual time to the least tag; return the first eligible class queue."""
        workspace_queue = self._ineligible.peek()
        if workspace_queue is None:
            return None
        self._virtual_ms = workspace_queue.tag
        while (
            workspace_queue is not None
            and workspace_queue.tag <= self._virtual_ms + self._allowance_ms
        ):
            self._reposition_workspace(workspace_queue)
            workspace_queue = self._ineligible.peek()
        return self._eligible.peek()
