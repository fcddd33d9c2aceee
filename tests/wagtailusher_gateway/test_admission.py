"""Tests of the queues, playing load above capacity and checking what callers get."""

from __future__ import annotations

from dataclasses import dataclass, field
import unittest

from wagtailusher_gateway.admission import Admission, Waiting, place_wait_ms


@dataclass
class Places:
    """A service with a few places, each taken for a while."""

    free: int
    started: list[tuple[int, int]] = field(default_factory=list)
    refused: list[tuple[int, int]] = field(default_factory=list)

    def waiting(self, rank: int, now_ms: int, wait_ms: int) -> Waiting:
        """Return a request that takes a place if there is one."""

        def try_place(at_ms: int) -> bool:
            if not self.free:
                return False
            self.free -= 1
            self.started.append((rank, at_ms - now_ms))
            return True

        return Waiting(
            queue="desk",
            rank=rank,
            give_up_ms=now_ms + wait_ms,
            try_place=try_place,
            refuse=lambda retry_after_ms: self.refused.append((rank, retry_after_ms)),
        )


class AdmissionTest(unittest.TestCase):
    """More urgent requests start first; what can't start in time is refused at once."""

    def test_order_of_service(self) -> None:
        """A freed place goes to the most urgent, and among equals to the first."""
        places = Places(free=0)
        admission = Admission(seed=1)
        for at_ms, rank in enumerate((2, 1, 2, 0)):
            admission.arrive(places.waiting(rank, at_ms, 1_000), at_ms)
        for step in range(4):
            places.free += 1
            admission.pump(10 + step)
        self.assertEqual([rank for rank, _ in places.started], [0, 1, 2, 2])

    def test_arrival_does_not_overtake(self) -> None:
        """A newcomer waits behind its equals, though a place is free."""
        places = Places(free=0)
        admission = Admission(seed=1)
        admission.arrive(places.waiting(1, 0, 1_000), 0)
        places.free = 1
        admission.arrive(places.waiting(1, 5, 1_000), 5)
        self.assertEqual(places.started, [])
        admission.pump(6)
        self.assertEqual(places.started, [(1, 6)])

    def test_waiting_ends_in_a_refusal(self) -> None:
        """What waited its time is refused and told when to come back."""
        places = Places(free=0)
        admission = Admission(seed=1)
        admission.arrive(places.waiting(1, 0, 100), 0)
        admission.pump(99)
        self.assertEqual(places.refused, [])
        admission.pump(100)
        self.assertEqual(len(places.refused), 1)
        self.assertGreaterEqual(places.refused[0][1], 150)
        self.assertEqual(admission.count, 0)

    def test_overload_is_refused_at_once(self) -> None:
        """At three times the capacity, refusals come on arrival and waits stay bounded."""
        places = Places(free=5)
        admission = Admission(seed=1)
        refused_at_once = 0
        for now_ms in range(0, 6_000, 10):
            if now_ms % 30 == 0:
                places.free = min(5, places.free + 1)
                admission.pump(now_ms)
            before = len(places.refused)
            admission.arrive(places.waiting(now_ms // 10 % 3, now_ms, 200), now_ms)
            refused_at_once += len(places.refused) - before
        self.assertGreater(refused_at_once, 100)
        self.assertLessEqual(max(wait for _, wait in places.started), 200)
        urgent = sum(rank == 0 for rank, _ in places.started)
        least = sum(rank == 2 for rank, _ in places.started)
        self.assertGreater(urgent, least)

    def test_caller_that_left_takes_no_place(self) -> None:
        """A place is not given to a request that nobody waits for."""
        places = Places(free=0)
        admission = Admission(seed=1)
        waiting = places.waiting(1, 0, 1_000)
        admission.arrive(waiting, 0)
        admission.leave(waiting)
        places.free = 1
        admission.pump(1)
        self.assertEqual(places.started, [])

    def test_wait_is_bounded_by_target_and_time(self) -> None:
        """A request waits a part of its target, and never beyond its time."""
        self.assertEqual(place_wait_ms(400, 4_000), 240)
        self.assertEqual(place_wait_ms(50, 4_000), 60)
        self.assertEqual(place_wait_ms(400, 30), 30)


if __name__ == "__main__":
    unittest.main()
