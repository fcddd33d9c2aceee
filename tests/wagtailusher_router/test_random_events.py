"""A state machine that drives the composed decider through random events."""

from __future__ import annotations

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from tests.wagtailusher_router.node import Recorder, endpoint, new_router, policy
from wagtailusher_core import FailureDomainId, Outcome
from wagtailusher_placement import AttemptResult

ENDS = st.sampled_from(
    [AttemptResult.FAILED, AttemptResult.CRASHED, AttemptResult.SILENT, AttemptResult.REFUSED]
)
NUMBERS = st.integers(0, 1_000)


class RouterMachine(RuleBasedStateMachine):
    """Every request ends once, what was sent is never called not run, and none is lost."""

    def __init__(self) -> None:
        """Start at time 0."""
        super().__init__()
        self.now_ms = 0
        self.count = 0
        self.tickets: list[str] = []
        self.ticket_sends: dict[str, int] = {}
        self.ticket_of: dict[str, str] = {}
        self.drained = False

    @initialize()
    def start(self) -> None:
        """Publish three endpoints."""
        self.router = new_router(queue_limit=4)
        self.recorder = Recorder(self.router)
        infos = [endpoint(f"e{number}", limit=1) for number in range(3)]
        self.recorder.take(self.router.update_endpoints(infos, 0))

    @rule(tier=st.integers(0, 6))
    def arrive(self, tier: int) -> None:
        """Let a repeatable request arrive."""
        self.count += 1
        self.recorder.arrive(f"r{self.count}", policy(tier), self.now_ms)

    @rule(number=NUMBERS, again=st.booleans())
    def arrive_once(self, number: int, again: bool) -> None:
        """Let a request with a ticket arrive, perhaps a repeat."""
        if again and self.tickets:
            ticket = self.tickets[number % len(self.tickets)]
        else:
            ticket = self.recorder.ticket_issuer.issue(self.now_ms)
            self.tickets.append(ticket)
        self.count += 1
        name = f"r{self.count}"
        self.ticket_of[name] = ticket
        self.recorder.arrive(name, policy(0, repeatable=False), self.now_ms, ticket=ticket)

    @rule(number=NUMBERS)
    def send(self, number: int) -> None:
        """Send one of the dispatched requests, if it was not."""
        waiting = [key for key in self.recorder.running if not self.recorder.sent[key]]
        if not waiting:
            return
        request_id = waiting[number % len(waiting)]
        if self.recorder.send(request_id, self.now_ms) and request_id in self.ticket_of:
            ticket = self.ticket_of[request_id]
            self.ticket_sends[ticket] = self.ticket_sends.get(ticket, 0) + 1

    @rule(number=NUMBERS)
    def complete(self, number: int) -> None:
        """Let one of the sent requests complete."""
        sent = [key for key in self.recorder.running if self.recorder.sent[key]]
        if sent:
            self.recorder.complete(sent[number % len(sent)], self.now_ms)

    @rule(number=NUMBERS, end=ENDS)
    def fail(self, number: int, end: AttemptResult) -> None:
        """Let one of the attempts fail."""
        running = list(self.recorder.running)
        if running:
            self.recorder.fail(running[number % len(running)], end, self.now_ms)

    @rule(number=NUMBERS)
    def leave(self, number: int) -> None:
        """Let a caller of a repeatable request leave."""
        held = sorted(key for key in self.recorder.held if key not in self.ticket_of)
        if held:
            self.recorder.leave(held[number % len(held)], self.now_ms)

    @rule(step_ms=st.integers(1, 700))
    def wait(self, step_ms: int) -> None:
        """Let time pass."""
        self.now_ms += step_ms
        self.recorder.take(self.router.tick(self.now_ms))

    @rule()
    def drain_or_return(self) -> None:
        """Take the failure domain out, or bring it back."""
        self.drained = not self.drained
        domains = [FailureDomainId("a")] if self.drained else []
        self.recorder.take(self.router.update_drained_domains(domains, self.now_ms))

    @invariant()
    def each_ends_at_most_once(self) -> None:
        """Check that no request ended twice."""
        recorder = getattr(self, "recorder", None)
        if recorder is not None:
            assert all(len(ends) <= 1 for ends in recorder.ends.values()), recorder.ends

    @invariant()
    def refusals_are_true(self) -> None:
        """Check that nothing that was sent is called not run."""
        recorder = getattr(self, "recorder", None)
        if recorder is None:
            return
        for request_id, outcome in recorder.outcomes.items():
            assert outcome is not Outcome.NOT_RUN or not recorder.sent[request_id], request_id

    @invariant()
    def tickets_are_sent_once(self) -> None:
        """Check that no ticket was sent twice."""
        assert all(count <= 1 for count in self.ticket_sends.values()), self.ticket_sends

    def teardown(self) -> None:
        """Let everything end and check that nothing is lost."""
        if not hasattr(self, "recorder"):
            return
        self.recorder.take(self.router.update_drained_domains([], self.now_ms))
        for _ in range(200):
            self.now_ms += 100
            for request_id in list(self.recorder.running):
                if not self.recorder.sent[request_id]:
                    self.recorder.send(request_id, self.now_ms)
                if request_id in self.recorder.running:
                    self.recorder.complete(request_id, self.now_ms)
            self.recorder.take(self.router.tick(self.now_ms))
        assert not self.recorder.held, self.recorder.held
        assert not self.router.in_flight_count


RandomEventsTest = RouterMachine.TestCase
RandomEventsTest.settings = settings(max_examples=150, stateful_step_count=40, derandomize=True)
