"""VMs that admit requests to the same endpoints and tell each other about them, in virtual time."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass, field
from heapq import heappop, heappush
from random import Random

from wagtailusher_core import VmId
from wagtailusher_gateway.admission import Admission, QueuedRequest

STEP_MS = 10
SERVICE_MS = 50


@dataclass
class CompetingVms:
    """VMs whose callers use the same slots; requests arrive at random VMs."""

    count: int
    seed: int
    slots: int = 4
    wait_ms: int = 300
    report_interval_ms: int = 200
    loss: float = 0.0
    """Part of the reports between two VMs that is lost."""
    now_ms: int = 0
    cut_off: set[int] = field(default_factory=set)
    """VMs that neither send nor receive reports."""
    asked: Counter[str] = field(default_factory=Counter)
    started: Counter[str] = field(default_factory=Counter)
    refused: Counter[str] = field(default_factory=Counter)
    """Requests that were refused, by the workspace and by the cause."""

    def __post_init__(self) -> None:
        self._random = Random(self.seed)
        self.admissions = [Admission(self.seed + number) for number in range(self.count)]
        self._ends_ms: list[int] = []

    def restart(self, number: int) -> None:
        """Start a VM anew, without what it counted and was told."""
        self.admissions[number] = Admission(self.seed + number)

    def run(
        self, duration_ms: int, per_s: dict[str, float], ranks: dict[str, int] | None = None
    ) -> None:
        """Play requests of workspaces, each with a number a second and a rank."""
        for now_ms in range(self.now_ms, self.now_ms + duration_ms, STEP_MS):
            self.now_ms = now_ms
            while self._ends_ms and self._ends_ms[0] <= now_ms:
                heappop(self._ends_ms)
            for workspace in self._arrivals(per_s):
                self.submit(workspace, (ranks or {}).get(workspace, 0))
            for number in self._random.sample(range(self.count), self.count):
                self.admissions[number].process_queues(now_ms)
                if (now_ms // STEP_MS + number) % (self.report_interval_ms // STEP_MS) == 0:
                    self._report(number)
        self.now_ms += STEP_MS

    def submit(self, workspace: str, rank: int, number: int | None = None) -> None:
        """Let a request arrive, at a random VM unless one is given."""
        vm = self._random.randrange(self.count) if number is None else number
        self.asked[workspace] += 1

        def try_start(now_ms: int) -> bool:
            if len(self._ends_ms) >= self.slots:
                return False
            heappush(self._ends_ms, now_ms + SERVICE_MS)
            self.started[workspace] += 1
            return True

        def refuse(retry_after_ms: int) -> None:
            self.refused[workspace] += 1
            self.refused[request.refusal_cause] += 1

        request = QueuedRequest(
            queue="desk",
            service="desk",
            rank=rank,
            expires_ms=self.now_ms + self.wait_ms,
            try_start=try_start,
            refuse=refuse,
            workspace=workspace,
        )
        self.admissions[vm].submit(request, self.now_ms)

    def served_part(self, workspace: str) -> float:
        """Return the part of a workspace's requests that started."""
        return self.started[workspace] / self.asked[workspace]

    def _arrivals(self, per_s: dict[str, float]) -> Iterator[str]:
        arrivals = [
            workspace
            for workspace, rate in per_s.items()
            for _ in range(STEP_MS)
            if self._random.random() < rate / 1_000
        ]
        self._random.shuffle(arrivals)
        yield from arrivals

    def _report(self, number: int) -> None:
        """Tell the other VMs what this one counted, unless the report is lost."""
        shares = self.admissions[number].shares
        shares.tick(self.now_ms)
        reports = shares.own_reports(self.now_ms)
        for other, admission in enumerate(self.admissions):
            is_cut = other in self.cut_off or number in self.cut_off
            if other != number and not is_cut and self._random.random() >= self.loss:
                admission.shares.set_peer(VmId(f"vm-{number}"), reports, self.now_ms)
