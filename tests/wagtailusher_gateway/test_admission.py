"""Tests of the admission queues under load above capacity.

They guard against requests that start out of order, wait beyond their time or are never answered.
"""

from __future__ import annotations

from dataclasses import dataclass, field
import unittest

from wagtailusher_gateway.admission import Admission, QueuedRequest, queue_wait_ms


@dataclass
class Slots:
    """Free slots of a service, and the requests that were started and refused."""

    free: int
    started: list[tuple[int, int]] = field(default_factory=list)
    refused: list[tuple[int, int]] = field(default_factory=list)

    def new_request(self, rank: int, now_ms: int, wait_ms: int) -> QueuedRequest:
        """Return a request that uses a slot if one is free."""

        def try_start(at_ms: int) -> bool:
            if not self.free:
                return False
            self.free -= 1
            self.started.append((rank, at_ms - now_ms))
            return True

        return QueuedRequest(
            queue="desk",
            rank=rank,
            expires_ms=now_ms + wait_ms,
            try_start=try_start,
            refuse=lambda retry_after_ms: self.refused.append((rank, retry_after_ms)),
        )


class AdmissionTest(unittest.TestCase):
    """More urgent requests start first; those that can't start in time are refused at once."""

    def test_order_of_service(self) -> None:
        """A freed slot goes to the most urgent request, and among equals to the first."""
        slots = Slots(free=0)
        admission = Admission(seed=1)
        for at_ms, rank in enumerate((2, 1, 2, 0)):
            admission.submit(slots.new_request(rank, at_ms, 1_000), at_ms)
        for step in range(4):
            slots.free += 1
            admission.process_queues(10 + step)
        self.assertEqual([rank for rank, _ in slots.started], [0, 1, 2, 2])

    def test_arrival_does_not_overtake(self) -> None:
        """A new request waits behind its equals, even if a slot is free."""
        slots = Slots(free=0)
        admission = Admission(seed=1)
        admission.submit(slots.new_request(1, 0, 1_000), 0)
        slots.free = 1
        admission.submit(slots.new_request(1, 5, 1_000), 5)
        self.assertEqual(slots.started, [])
        admission.process_queues(6)
        self.assertEqual(slots.started, [(1, 6)])

    def test_request_that_waited_its_time_is_refused(self) -> None:
        """A request that waited its time is refused with a retry delay."""
        slots = Slots(free=0)
        admission = Admission(seed=1)
        admission.submit(slots.new_request(1, 0, 100), 0)
        admission.process_queues(99)
        self.assertEqual(slots.refused, [])
        admission.process_queues(100)
        self.assertEqual(len(slots.refused), 1)
        self.assertGreaterEqual(slots.refused[0][1], 150)
        self.assertEqual(admission.count, 0)

    def test_overload_is_refused_at_once(self) -> None:
        """At three times the capacity, refusals come on arrival and waits stay bounded."""
        slots = Slots(free=5)
        admission = Admission(seed=1)
        refused_at_once = 0
        for now_ms in range(0, 6_000, 10):
            if now_ms % 30 == 0:
                slots.free = min(5, slots.free + 1)
                admission.process_queues(now_ms)
            before = len(slots.refused)
            admission.submit(slots.new_request(now_ms // 10 % 3, now_ms, 200), now_ms)
            refused_at_once += len(slots.refused) - before
        self.assertGreater(refused_at_once, 100)
        self.assertLessEqual(max(wait for _, wait in slots.started), 200)
        urgent = sum(rank == 0 for rank, _ in slots.started)
        least = sum(rank == 2 for rank, _ in slots.started)
        self.assertGreater(urgent, least)

    def test_cancelled_request_uses_no_slot(self) -> None:
        """A request whose caller disconnected is not started."""
        slots = Slots(free=0)
        admission = Admission(seed=1)
        queued_request = slots.new_request(1, 0, 1_000)
        admission.submit(queued_request, 0)
        admission.cancel(queued_request)
        slots.free = 1
        admission.process_queues(1)
        self.assertEqual(slots.started, [])

    def test_wait_is_bounded_by_target_and_time(self) -> None:
        """A request waits at most a part of its target, and never beyond its deadline."""
        self.assertEqual(queue_wait_ms(400, 4_000), 240)
        self.assertEqual(queue_wait_ms(50, 4_000), 60)
        self.assertEqual(queue_wait_ms(400, 30), 30)


if __name__ == "__main__":
    unittest.main()
