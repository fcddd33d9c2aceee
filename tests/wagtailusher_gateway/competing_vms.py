"""VMs that admit requests to the same endpoints and tell each other about them, in virtual time."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass, field, replace
from heapq import heappop, heappush
from itertools import count
from random import Random

from tests.wagtailusher_gateway.builders import BUSY_BEAT
from wagtailusher_core import VmId
from wagtailusher_gateway.admission import Admission, QueuedRequest
from wagtailusher_wire import Beat

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
    delay_ms: int = 0
    """Longest time for which a report is on its way, as relays pass it on."""
    loss: float = 0.0
    """Part of the reports between two VMs that is lost."""
    now_ms: int = 0
    returns: bool = False
    """Whether refused callers return once, after the time that they were told."""
    cut_off: set[int] = field(default_factory=set)
    """VMs that neither send nor receive reports."""
    asked: Counter[str] = field(default_factory=Counter)
    started: Counter[str] = field(default_factory=Counter)
    refused: Counter[str] = field(default_factory=Counter)
    """Requests that were refused, by the workspace and by the cause."""
    returned: Counter[str] = field(default_factory=Counter)
    returned_started: Counter[str] = field(default_factory=Counter)
    """Requests that returned as told, and those of them that started."""
    returned_ms: list[int] = field(default_factory=list)
    started_ms: list[int] = field(default_factory=list)

    def __post_init__(self) -> None:
        self._random = Random(self.seed)
        self.admissions = [Admission(self.seed + number) for number in range(self.count)]
        self._ends_ms: list[int] = []
        self._returns_ms: list[tuple[int, str, int]] = []
        self._under_way: list[tuple[int, int, int, int, Beat]] = []
        """Reports by the time of their arrival, with their order, receiver and sender."""
        self._order = count()

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
            while self._returns_ms and self._returns_ms[0][0] <= now_ms:
                _, workspace, rank = heappop(self._returns_ms)
                self.returned_ms.append(now_ms)
                self.submit(workspace, rank, is_return=True)
            for workspace in self._arrivals(per_s):
                self.submit(workspace, (ranks or {}).get(workspace, 0))
            self._receive()
            for number in self._random.sample(range(self.count), self.count):
                self.admissions[number].process_queues(now_ms)
                if (now_ms // STEP_MS + number) % (self.report_interval_ms // STEP_MS) == 0:
                    self._report(number)
        self.now_ms += STEP_MS

    def submit(
        self, workspace: str, rank: int, number: int | None = None, *, is_return: bool = False
    ) -> None:
        """Let a request arrive, at a random VM unless one is given."""
        vm = self._random.randrange(self.count) if number is None else number
        (self.returned if is_return else self.asked)[workspace] += 1

        def try_start(now_ms: int) -> bool:
            if len(self._ends_ms) >= self.slots:
                return False
            heappush(self._ends_ms, now_ms + SERVICE_MS)
            self.started[workspace] += 1
            self.returned_started[workspace] += is_return
            self.started_ms.append(now_ms)
            return True

        def refuse(retry_after_ms: int) -> None:
            self.refused[workspace] += 1
            self.refused[request.refusal_cause] += 1
            if self.returns and not is_return:
                heappush(self._returns_ms, (self.now_ms + retry_after_ms, workspace, rank))

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
        sender = self.admissions[number]
        sender.tick(self.now_ms)
        shares = sender.shares.own_reports(self.now_ms)
        heartbeat = replace(BUSY_BEAT, queues=sender.queue_reports(self.now_ms), shares=shares)
        for other in range(self.count):
            is_cut = other in self.cut_off or number in self.cut_off
            if other != number and not is_cut and self._random.random() >= self.loss:
                arrives_ms = self.now_ms + self._random.randint(0, self.delay_ms)
                heappush(self._under_way, (arrives_ms, next(self._order), other, number, heartbeat))

    def _receive(self) -> None:
        """Deliver the reports that arrive by now."""
        while self._under_way and self._under_way[0][0] <= self.now_ms:
            _, _, other, number, heartbeat = heappop(self._under_way)
            self.admissions[other].set_peer(VmId(f"vm-{number}"), heartbeat, self.now_ms)
