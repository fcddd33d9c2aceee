"""One random schedule: its nodes, callers, disturbances and checked guarantees."""

from __future__ import annotations

from dataclasses import dataclass, field

from tests.wagtailusher_once.schedules.caller import Caller
from tests.wagtailusher_once.schedules.conditions import (
    Conditions,
    Disturbance,
    draw_conditions,
)
from tests.wagtailusher_once.schedules.endpoint import Endpoint
from tests.wagtailusher_once.schedules.faults import Fault
from tests.wagtailusher_once.schedules.messages import Reply, answer_to
from tests.wagtailusher_once.schedules.node import Node
from tests.wagtailusher_once.schedules.world import World
from wagtailusher_core import FailureDomainId, Incarnation, Outcome, PublishedVm, VmId

PAUSE_MS = (50, 20_000)
CUT_MS = (500, 15_000)
RESTART_DELAY_MS = (1, 2_000)
RESTART_SHARE = 0.8
WALL_JUMP_MS = 60_000
LIST_PERIOD_MS = 400
LATE_LIST_MS = (300, 3_000)
LATE_LIST_SHARE = 0.05


@dataclass(slots=True)
class Report:
    """The result of one schedule."""

    violations: list[str] = field(default_factory=list)
    outcomes: list[Outcome | None] = field(default_factory=list)
    runs: int = 0


class Schedule:
    """Runs the schedule of one seed."""

    def __init__(
        self,
        seed: int,
        *,
        fault: Fault = Fault.NONE,
        uses_keys: bool = False,
        conditions: Conditions | None = None,
    ) -> None:
        """Start the nodes under the given or randomly drawn conditions."""
        self.world = World(seed)
        self.fault = fault
        self.uses_keys = uses_keys
        self.conditions = conditions or draw_conditions(self.world.rng, uses_keys=uses_keys)
        self.limits = self.conditions.limits
        self.world.loss = self.conditions.loss
        self.world.slow_share = self.conditions.slow_share
        self.report = Report()
        self.endpoint = Endpoint(self.world, truncated_share=self.conditions.truncated_share)
        self.nodes: dict[VmId, Node] = {}
        self.processes: list[Node] = []
        self.not_run_handles: set[str] = set()
        self.absent: set[VmId] = set()
        self._published_lists: list[tuple[PublishedVm, ...]] = []
        self._started_count = 0
        for number in range(self.conditions.node_count):
            self._start_process(VmId(f"vm{number}"))
        self.callers = [
            Caller(self, f"caller{number}", uses_key=uses_keys)
            for number in range(self.conditions.caller_count)
        ]

    def run(self) -> Report:
        """Run to the end and return the report."""
        for caller in self.callers:
            self.world.after(self.world.rng.randint(*self.conditions.start_ms), caller.start)
        for at_ms, kind in self.conditions.disturbances:
            self.world.after(at_ms, lambda kind=kind: self._disturb(kind))  # type: ignore[misc]
        if self.uses_keys:
            self._publish()
        self.world.run(self.conditions.end_ms)
        self._check_end()
        return self.report

    def check_reply(self, reply: Reply, body: bytes, *, is_late: bool) -> None:
        """Check a caller's reply against what ran.

        `not_run` holds for a ticket at any time, but for a key only for the attempts so far.
        """
        if reply.outcome is Outcome.NOT_RUN and not (self.uses_keys and is_late):
            self.not_run_handles.add(reply.handle)
        if reply.outcome is not Outcome.COMPLETED:
            return
        if not self.endpoint.runs_by_handle[reply.handle]:
            self.report.violations.append(f"{reply.handle} is called completed and never ran")
        if not reply.is_evicted and reply.answer != answer_to(body):
            self.report.violations.append(f"{body!r} was answered {reply.answer!r}")

    def _check_end(self) -> None:
        """Check the number of runs per handle and per booking."""
        report = self.report
        for handle, runs in self.endpoint.runs_by_handle.items():
            if runs > 1:
                report.violations.append(f"{handle} ran {runs} times")
            if handle in self.not_run_handles:
                report.violations.append(f"{handle} was called not run and ran")
        for booking, runs in self.endpoint.runs_by_booking.items():
            if runs > 1:
                report.violations.append(f"{booking} ran {runs} times")
        report.outcomes = [caller.outcome for caller in self.callers]
        report.runs = self.endpoint.runs_by_handle.total()

    def _start_process(self, vm_id: VmId) -> None:
        """Start a process; the previous one may continue to run."""
        self._started_count += 1
        is_reused = self.fault is Fault.INCARNATION_REUSED
        node = Node(self, vm_id, Incarnation(1 if is_reused else self._started_count))
        self.nodes[vm_id] = node
        self.processes.append(node)

    def _disturb(self, kind: Disturbance) -> None:
        """Apply a disturbance to a random node."""
        handler = {
            Disturbance.KILL: self._kill,
            Disturbance.PAUSE: self._pause,
            Disturbance.CUT: self._cut,
            Disturbance.REPLACE: self._replace,
            Disturbance.JUMP_WALL: self._jump_wall,
            Disturbance.LEAVE: self._leave,
        }[kind]
        handler(self.world.rng.choice(list(self.nodes.values())))

    def _kill(self, node: Node) -> None:
        """Kill a process; its VM restarts it, or never does."""
        node.alive = False
        if self.world.rng.random() < RESTART_SHARE:
            self.world.after(
                self.world.rng.randint(*RESTART_DELAY_MS), lambda: self._restart(node.vm_id)
            )

    def _restart(self, vm_id: VmId) -> None:
        """Restart a VM's process unless it already runs or the VM was replaced."""
        node = self.nodes.get(vm_id)
        if node is not None and not node.alive:
            self._start_process(vm_id)

    def _pause(self, node: Node) -> None:
        node.pause(self.world.rng.randint(*PAUSE_MS))

    def _cut(self, node: Node) -> None:
        """Cut the link of a VM to another VM or to the endpoint for a time."""
        others = [*self.nodes, "endpoint"]
        link = frozenset((node.vm_id, self.world.rng.choice(others)))
        self.world.cut.add(link)
        self.world.after(self.world.rng.randint(*CUT_MS), lambda: self.world.cut.discard(link))

    def _replace(self, node: Node) -> None:
        """Replace a paused process by a new one; the old one resumes later."""
        node.pause(self.world.rng.randint(*PAUSE_MS))
        if not self.uses_keys:
            self._start_process(node.vm_id)
            return
        self.nodes.pop(node.vm_id, None)
        self._start_process(VmId(f"vm{self._started_count}"))

    def _jump_wall(self, node: Node) -> None:
        """Move a VM's wall clock forward or back."""
        node.wall_offset_ms += self.world.rng.randint(-WALL_JUMP_MS, WALL_JUMP_MS)

    def _leave(self, node: Node) -> None:
        """Remove a VM from the list for a time, while its process continues to run."""
        self.absent.add(node.vm_id)
        self.world.after(
            self.world.rng.randint(*self.conditions.absence_ms),
            lambda: self.absent.discard(node.vm_id),
        )

    def _publish(self) -> None:
        """Record the platform's list and deliver a lagging list to each process."""
        if all(caller.outcome is not None for caller in self.callers):
            return
        self.world.after(LIST_PERIOD_MS, self._publish)
        present = (vm_id for vm_id in self.nodes if vm_id not in self.absent)
        self._published_lists.append(tuple(_make_published_vm(vm_id) for vm_id in present))
        for node in self.processes:
            lag = min(node.list_lag_ms // LIST_PERIOD_MS, len(self._published_lists) - 1)
            self._deliver_list(node, self._published_lists[-1 - lag])

    def _deliver_list(self, node: Node, vms: tuple[PublishedVm, ...]) -> None:
        """Deliver the list to a process after a delay."""
        read_ms = self.world.now_ms
        is_late = self.world.rng.random() < LATE_LIST_SHARE
        delay_ms = self.world.rng.randint(*LATE_LIST_MS) if is_late else node.list_delay_ms
        node.step(delay_ms, lambda: node.observe(vms, read_ms))


def _make_published_vm(vm_id: VmId) -> PublishedVm:
    """Return a VM's entry in the platform's list."""
    return PublishedVm(
        vm_id=vm_id,
        address=f"{vm_id}:1",
        peer_address=f"{vm_id}:2",
        failure_domain_id=FailureDomainId("a"),
    )
