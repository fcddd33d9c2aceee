"""A state machine that drives the composed decider through random events.

A rare order of events could lose a request, end it twice or report that a sent one was not run.
"""

from __future__ import annotations

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from tests.wagtailusher_router.node import RouterDriver, endpoint, new_router, policy
from wagtailusher_core import FailureDomainId, Outcome
from wagtailusher_placement import AttemptResult

ENDS = st.sampled_from(
    [
        AttemptResult.FAILED,
        AttemptResult.CRASHED,
        AttemptResult.SILENT,
        AttemptResult.BROKEN,
        AttemptResult.REFUSED,
    ]
)
NUMBERS = st.integers(0, 1_000)


class RouterMachine(RuleBasedStateMachine):
    """Every request ends once, none is lost, and none that was sent is reported as not run."""

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
        self.driver = RouterDriver(self.router)
        infos = [endpoint(f"e{number}", limit=1) for number in range(3)]
        self.driver.apply(self.router.update_endpoints(infos, 0))

    @rule(tier=st.integers(0, 6))
    def arrive(self, tier: int) -> None:
        """Submit a repeatable request."""
        self.count += 1
        self.driver.submit_request(f"r{self.count}", policy(tier), self.now_ms)

    @rule(number=NUMBERS, again=st.booleans())
    def arrive_once(self, number: int, again: bool) -> None:
        """Submit a request with a ticket, possibly a repeat."""
        if again and self.tickets:
            ticket = self.tickets[number % len(self.tickets)]
        else:
            ticket = self.driver.ticket_issuer.issue(self.now_ms)
            self.tickets.append(ticket)
        self.count += 1
        name = f"r{self.count}"
        self.ticket_of[name] = ticket
        self.driver.submit_request(name, policy(0, repeatable=False), self.now_ms, ticket=ticket)

    @rule(number=NUMBERS)
    def send(self, number: int) -> None:
        """Send one of the dispatched requests that was not sent yet."""
        waiting = [key for key in self.driver.running if not self.driver.sent[key]]
        if not waiting:
            return
        request_id = waiting[number % len(waiting)]
        if self.driver.send(request_id, self.now_ms) and request_id in self.ticket_of:
            ticket = self.ticket_of[request_id]
            self.ticket_sends[ticket] = self.ticket_sends.get(ticket, 0) + 1

    @rule(number=NUMBERS)
    def complete(self, number: int) -> None:
        """Complete one of the sent requests."""
        sent = [key for key in self.driver.running if self.driver.sent[key]]
        if sent:
            self.driver.complete(sent[number % len(sent)], self.now_ms)

    @rule(number=NUMBERS, end=ENDS)
    def fail(self, number: int, end: AttemptResult) -> None:
        """Fail one of the attempts."""
        running = list(self.driver.running)
        if running:
            self.driver.fail(running[number % len(running)], end, self.now_ms)

    @rule(number=NUMBERS)
    def leave(self, number: int) -> None:
        """Close the connection of a repeatable request's caller."""
        held = sorted(key for key in self.driver.held if key not in self.ticket_of)
        if held:
            self.driver.disconnect(held[number % len(held)], self.now_ms)

    @rule(step_ms=st.integers(1, 700))
    def wait(self, step_ms: int) -> None:
        """Advance the time."""
        self.now_ms += step_ms
        self.driver.apply(self.router.tick(self.now_ms))

    @rule()
    def drain_or_return(self) -> None:
        """Drain the failure domain, or return it to service."""
        self.drained = not self.drained
        domains = [FailureDomainId("a")] if self.drained else []
        self.driver.apply(self.router.update_drained_domains(domains, self.now_ms))

    @invariant()
    def each_ends_at_most_once(self) -> None:
        """Check that no request ended twice."""
        driver = getattr(self, "driver", None)
        if driver is not None:
            assert all(len(results) <= 1 for results in driver.results.values()), driver.results

    @invariant()
    def refusals_are_true(self) -> None:
        """Check that no request that was sent is reported as not run."""
        driver = getattr(self, "driver", None)
        if driver is None:
            return
        for request_id, outcome in driver.outcomes.items():
            assert outcome is not Outcome.NOT_RUN or not driver.sent[request_id], request_id

    @invariant()
    def tickets_are_sent_once(self) -> None:
        """Check that no ticket was sent twice."""
        assert all(count <= 1 for count in self.ticket_sends.values()), self.ticket_sends

    def teardown(self) -> None:
        """Complete all requests and check that none is lost."""
        if not hasattr(self, "driver"):
            return
        self.driver.apply(self.router.update_drained_domains([], self.now_ms))
        for _ in range(200):
            self.now_ms += 100
            for request_id in list(self.driver.running):
                if not self.driver.sent[request_id]:
                    self.driver.send(request_id, self.now_ms)
                if request_id in self.driver.running:
                    self.driver.complete(request_id, self.now_ms)
            self.driver.apply(self.router.tick(self.now_ms))
        assert not self.driver.held, self.driver.held
        assert not self.router.in_flight_count


RandomEventsTest = RouterMachine.TestCase
RandomEventsTest.settings = settings(max_examples=150, stateful_step_count=40, derandomize=True)
