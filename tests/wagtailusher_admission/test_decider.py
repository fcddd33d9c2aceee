"""Property tests of admission: order, shedding, shares and limits.

Random sequences of events must not lose a request, starve a class or exceed the queue's limits.
"""

from __future__ import annotations

from collections import Counter
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from wagtailusher_admission import AdmissionDecider, AdmissionLimits, PendingRequest, Refusal
from wagtailusher_core import ClassId, ClassKey, ErrorCode, PoolId, RequestId, WorkspaceId
from wagtailusher_settings.policy import DeadlineBehaviour

POOL = PoolId("model-a")
LIMITS = AdmissionLimits(pool_queue_limit=6, reserve_interval_starts=4, idle_class_limit=3)
FAR_MS = 10**9
ACTIONS = st.lists(
    st.tuples(
        st.sampled_from(["offer", "offer", "offer", "start", "finish", "withdraw", "requeue"]),
        st.integers(0, 6),
        st.integers(0, 2),
        st.integers(0, 40),
    ),
    max_size=120,
)


def make_request(
    number: int,
    *,
    tier: int = 0,
    workspace: str = "w0",
    arrived_ms: int = 0,
    deadline_ms: int = FAR_MS,
    behaviour: DeadlineBehaviour = DeadlineBehaviour.FAIL_FAST,
    quota: int | None = None,
    share: float = 0.0,
    weight: float = 1.0,
    answer_by_ms: int | None = None,
    expected_service_ms: int = 100,
) -> PendingRequest:
    """Return a request whose class is named after its tier."""
    return PendingRequest(
        request_id=RequestId(f"r{number}"),
        key=ClassKey(WorkspaceId(workspace), ClassId(f"tier{tier}")),
        pool_id=POOL,
        tier=tier,
        arrived_ms=arrived_ms,
        deadline_ms=deadline_ms,
        deadline_behaviour=behaviour,
        in_flight_quota=quota,
        share=share,
        weight=weight,
        expected_service_ms=expected_service_ms,
        answer_by_ms=answer_by_ms,
    )


class ReferenceModel:
    """A simple model of the requests given to the decider, compared with it after each step."""

    def __init__(self, test: unittest.TestCase, limits: AdmissionLimits) -> None:
        self.test = test
        self.limits = limits
        self.decider = AdmissionDecider(limits)
        self.waiting: dict[RequestId, PendingRequest] = {}
        self.running: dict[RequestId, PendingRequest] = {}
        self.submitted_count = 0
        self.ended: Counter[RequestId] = Counter()
        self.reserved_starts: list[int] = []
        self.starts = 0

    def submit(self, request: PendingRequest, now_ms: int) -> None:
        """Enqueue a request and check which request is refused for it."""
        self.submitted_count += 1
        self.waiting[request.request_id] = request
        self.record_refusals(self.decider.enqueue(request, now_ms))

    def record_refusals(self, refusals: tuple[Refusal, ...]) -> None:
        """Record refusals; after a request is shed, no lower tier may use a shared slot."""
        for refusal in refusals:
            self.test.assertNotIn(refusal.request_id, self.running)
            request = self.waiting.pop(refusal.request_id)
            self.ended[refusal.request_id] += 1
            self.test.assertGreater(refusal.retry_after_ms, 0)
            if refusal.code is ErrorCode.SHED:
                per_class = Counter(
                    (other.key, other.tier)
                    for other in self.waiting.values()
                    if other.tier > request.tier
                )
                self.test.assertFalse([key for key, count in per_class.items() if count > 1])

    def start_first(self, now_ms: int) -> RequestId | None:
        """Start the first request; record a start before a higher tier, which only shares allow."""
        first = next(self.decider.startable_requests(POOL, now_ms), None)
        if first is None:
            return None
        order = [request.tier for request in self.decider.startable_requests(POOL, now_ms)]
        self.starts += 1
        if first.tier > min(order):
            self.reserved_starts.append(self.starts)
        self.decider.start(first.request_id, now_ms)
        self.running[first.request_id] = self.waiting.pop(first.request_id)
        return first.request_id

    def end_request(self, request_id: RequestId, now_ms: int, *, withdraw: bool) -> None:
        """End a request, by completion or because its caller left."""
        (self.decider.withdraw if withdraw else self.decider.finish)(request_id, now_ms)
        (self.running.pop(request_id, None) or self.waiting.pop(request_id))
        self.ended[request_id] += 1

    def check_invariants(self, now_ms: int) -> None:
        """Check the limits and that each request is queued, running or ended, once."""
        classes = len({(request.key, request.tier) for request in self.waiting.values()})
        queued = self.decider.queued_count(POOL)
        self.test.assertEqual(queued, len(self.waiting))
        self.test.assertLessEqual(queued, self.limits.pool_queue_limit + classes)
        self.test.assertEqual(self.submitted_count, queued + len(self.running) + len(self.ended))
        self.test.assertTrue(all(count == 1 for count in self.ended.values()))
        for earlier, later in zip(self.reserved_starts, self.reserved_starts[1:], strict=False):
            self.test.assertGreaterEqual(later - earlier, self.limits.reserve_interval_starts)
        listed = [request.request_id for request in self.decider.startable_requests(POOL, now_ms)]
        self.test.assertEqual(len(listed), len(set(listed)))
        self.test.assertLessEqual(set(listed), set(self.waiting))


class InvariantTest(unittest.TestCase):
    """Invariants after any sequence of events."""

    @given(actions=ACTIONS)
    def test_any_sequence(self, actions: list[tuple[str, int, int, int]]) -> None:
        model = ReferenceModel(self, LIMITS)
        for now_ms, (action, tier, workspace, number) in enumerate(actions):
            if action == "offer":
                request = make_request(
                    now_ms,
                    tier=tier,
                    workspace=f"w{workspace}",
                    arrived_ms=now_ms,
                    deadline_ms=now_ms + number,
                    behaviour=list(DeadlineBehaviour)[number % 2],
                    quota=2 if number % 3 == 0 else None,
                    weight=1.0 + workspace,
                )
                model.submit(request, now_ms)
            elif action == "start":
                model.start_first(now_ms)
            elif action in ("finish", "requeue") and model.running:
                request_id = sorted(model.running)[number % len(model.running)]
                if action == "finish":
                    model.end_request(request_id, now_ms, withdraw=False)
                else:
                    request = model.running.pop(request_id)
                    model.waiting[request_id] = request
                    model.record_refusals(model.decider.requeue(request, now_ms))
            elif action == "withdraw" and (held := sorted({**model.waiting, **model.running})):
                model.end_request(held[number % len(held)], now_ms, withdraw=True)
            model.record_refusals(model.decider.expire(now_ms))
            model.check_invariants(now_ms)
        due_ms = model.decider.next_expiry_ms()
        self.assertTrue(due_ms is None or due_ms >= len(actions))

    @given(actions=ACTIONS)
    def test_without_quota_the_whole_queue_is_listed_and_drains(
        self, actions: list[tuple[str, int, int, int]]
    ) -> None:
        model = ReferenceModel(self, LIMITS)
        for number, (_, tier, workspace, _) in enumerate(actions):
            model.submit(make_request(number, tier=tier, workspace=f"w{workspace}"), 0)
        listed = [request.request_id for request in model.decider.startable_requests(POOL, 0)]
        self.assertEqual(set(listed), set(model.waiting))
        while model.start_first(0):
            model.check_invariants(0)
        self.assertFalse(model.waiting)
        self.assertEqual(sum(model.decider.demand(POOL).values()), len(model.running))


class ShareTest(unittest.TestCase):
    """Every class is served within the stated bound."""

    @settings(max_examples=25)
    @given(
        shares=st.lists(st.floats(0.01, 0.5), min_size=1, max_size=12),
        expiring=st.booleans(),
        seed=st.integers(0, 3),
    )
    def test_endless_overload_of_the_highest_tier(
        self, shares: list[float], expiring: bool, seed: int
    ) -> None:
        limits = AdmissionLimits(pool_queue_limit=5, reserve_interval_starts=3, min_share=0.01)
        model = ReferenceModel(self, limits)
        starts_waited = dict.fromkeys(range(len(shares)), 0)
        number = 0
        for now_ms in range(500):
            for _ in range(8):
                number += 1
                model.submit(make_request(number, workspace="burst"), now_ms)
            for index, share in enumerate(shares):
                if any(r.key.workspace_id == f"low{index}" for r in model.waiting.values()):
                    continue
                number += 1
                request = make_request(
                    number,
                    tier=1 + (index + seed) % 6,
                    workspace=f"low{index}",
                    share=share,
                    deadline_ms=now_ms + 5 if expiring else FAR_MS,
                )
                model.submit(request, now_ms)
            started = model.start_first(now_ms)
            assert started is not None
            served = model.running[started].key.workspace_id
            model.end_request(started, now_ms, withdraw=False)
            model.record_refusals(model.decider.expire(now_ms + 1))
            for index, share in enumerate(shares):
                starts_waited[index] += 1
                if served == f"low{index}":
                    starts_waited[index] = 0
                bound = 1 / share + limits.reserve_interval_starts * (len(shares) + 1)
                self.assertLessEqual(starts_waited[index], bound)
        self.assertTrue(model.reserved_starts)
        model.check_invariants(500)


class FairnessTest(unittest.TestCase):
    """Workspaces of one tier share by weight; deadlines order requests within that."""

    @given(burst=st.integers(10, 60), weight=st.sampled_from([1.0, 2.0, 4.0]))
    def test_burst_does_not_delay_another_workspace(self, burst: int, weight: float) -> None:
        limits = AdmissionLimits(fairness_allowance_ms=200)
        model = ReferenceModel(self, limits)
        for number in range(burst):
            model.submit(make_request(number, workspace="burst", deadline_ms=1_000), 0)
        for number in range(8):
            model.submit(make_request(100 + number, workspace="calm", weight=weight), 0)
        order = [model.start_first(0) for _ in range(burst + 8)]
        last_calm = max(order.index(RequestId(f"r{100 + number}")) for number in range(8))
        self.assertLessEqual(last_calm, 8 + 8 / weight + 2 * limits.fairness_allowance_ms / 100 + 2)

    @given(deadlines=st.lists(st.integers(0, 1_000), min_size=1, max_size=20))
    def test_earliest_deadline_first_within_the_allowance(self, deadlines: list[int]) -> None:
        model = ReferenceModel(self, AdmissionLimits(fairness_allowance_ms=100_000))
        for number, deadline_ms in enumerate(deadlines):
            workspace = f"w{number % 3}"
            request = make_request(number, workspace=workspace, deadline_ms=deadline_ms)
            model.submit(request, 0)
        started = [model.start_first(0) for _ in deadlines]
        order = [model.running[request_id].deadline_ms for request_id in started if request_id]
        self.assertEqual(order, sorted(deadlines))

    def test_full_queue_evicts_from_the_workspace_with_the_most_requests(self) -> None:
        model = ReferenceModel(self, AdmissionLimits(pool_queue_limit=10))
        for number in range(30):
            model.submit(make_request(number, workspace="burst"), 0)
        for number in range(30, 35):
            model.submit(make_request(number, workspace="calm"), 0)
        held = Counter(request.key.workspace_id for request in model.waiting.values())
        self.assertEqual(held, {"burst": 7, "calm": 5})


class DeadlineTest(unittest.TestCase):
    """A request that can't meet its target is refused at once or served after the others."""

    def test_fail_fast_is_refused_when_it_is_certain(self) -> None:
        model = ReferenceModel(self, LIMITS)
        model.submit(make_request(1, deadline_ms=10), 0)
        self.assertEqual(model.decider.next_expiry_ms(), 11)
        self.assertEqual(model.decider.expire(10), ())
        (refusal,) = model.decider.expire(11)
        self.assertIs(refusal.code, ErrorCode.DEADLINE_UNREACHABLE)
        (refusal,) = model.decider.enqueue(make_request(2, deadline_ms=10), 11)
        self.assertIs(refusal.code, ErrorCode.DEADLINE_UNREACHABLE)

    def test_request_past_its_deadline_never_starts_even_before_expire_is_called(self) -> None:
        model = ReferenceModel(self, LIMITS)
        model.submit(make_request(1, deadline_ms=10), 0)
        model.submit(make_request(2, workspace="w1", deadline_ms=10), 0)
        model.submit(make_request(3, workspace="w2", deadline_ms=500), 0)
        on_time = [request.request_id for request in model.decider.startable_requests(POOL, 10)]
        self.assertEqual(on_time, ["r1", "r2", "r3"])
        late = [request.request_id for request in model.decider.startable_requests(POOL, 11)]
        self.assertEqual(late, ["r3"])

    def test_late_request_starts_after_those_in_time_and_before_lower_tiers(self) -> None:
        model = ReferenceModel(self, LIMITS)
        serve_late = DeadlineBehaviour.SERVE_LATE
        model.submit(make_request(1, tier=1, deadline_ms=10, behaviour=serve_late), 0)
        model.submit(make_request(2, tier=2, workspace="w1"), 0)
        model.submit(make_request(3, tier=1, workspace="w2", deadline_ms=500), 0)
        self.assertEqual(model.decider.expire(11), ())
        self.assertEqual([model.start_first(11) for _ in range(3)], ["r3", "r1", "r2"])


class LearningTest(unittest.TestCase):
    """Times that requests don't state are learned from starts, answers and ends."""

    def test_time_to_the_answer_is_subtracted_from_the_deadline(self) -> None:
        model = ReferenceModel(self, LIMITS)
        for number in range(50):
            model.submit(make_request(number, answer_by_ms=FAR_MS), number * 1_000)
            started = model.start_first(number * 1_000)
            assert started is not None
            model.decider.record_first_answer(started, number * 1_000 + 300)
            model.end_request(started, number * 1_000 + 900, withdraw=False)
        model.submit(make_request(100, arrived_ms=100_000, answer_by_ms=101_000), 100_000)
        self.assertEqual(model.decider.next_expiry_ms(), 101_000 - 300 + 1)
        learned_ms = model.decider.mean_service_ms(POOL, make_request(0).key, 0)
        assert learned_ms is not None
        self.assertAlmostEqual(learned_ms, 900)

    @given(answer_time_ms=st.integers(1_000, 10_000))
    def test_slow_answers_leave_some_of_the_time_for_queueing(self, answer_time_ms: int) -> None:
        model = ReferenceModel(self, LIMITS)
        model.submit(make_request(0, answer_by_ms=FAR_MS), 0)
        model.decider.start(RequestId("r0"), 0)
        model.decider.record_first_answer(RequestId("r0"), answer_time_ms)
        refusals = model.decider.enqueue(
            make_request(1, arrived_ms=20_000, answer_by_ms=21_000), 20_000
        )
        self.assertEqual(refusals, ())

    def test_workspaces_share_time_rather_than_starts(self) -> None:
        model = ReferenceModel(self, AdmissionLimits(fairness_allowance_ms=0))
        service_ms = {"slow": 1_000, "fast": 100}
        starts: Counter[str] = Counter()
        for number in range(440):
            for workspace in service_ms:
                held = sum(r.key.workspace_id == workspace for r in model.waiting.values())
                if held < 2:
                    name = number * 2 + (workspace == "fast") + 10_000 * held
                    request = make_request(name, workspace=workspace, expected_service_ms=0)
                    model.submit(request, number * 1_000)
            started = model.start_first(number * 1_000)
            assert started is not None
            workspace = model.running[started].key.workspace_id
            starts[workspace] += 1
            model.end_request(started, number * 1_000 + service_ms[workspace], withdraw=False)
        self.assertAlmostEqual(starts["fast"] / starts["slow"], 10, delta=1)


class QuotaTest(unittest.TestCase):
    """A class at its quota waits without blocking others."""

    def test_quota_opens_and_closes(self) -> None:
        model = ReferenceModel(self, LIMITS)
        for number in range(3):
            model.submit(make_request(number, quota=1), 0)
        model.submit(make_request(3, tier=4), 0)
        self.assertEqual([model.start_first(0) for _ in range(3)], ["r0", "r3", None])
        self.assertEqual(model.decider.demand(POOL), {0: 1, 4: 1})
        model.end_request(RequestId("r0"), 1, withdraw=False)
        self.assertEqual(model.decider.demand_by_tier(POOL), (2, 0, 0, 0, 1, 0, 0))
        self.assertEqual(model.start_first(1), "r1")


if __name__ == "__main__":
    unittest.main()
