"""Tests of the decision who gives way when callers hold too much; no network is used."""

from __future__ import annotations

from dataclasses import dataclass, field
from random import Random
import unittest

from wagtailusher_http.caller_budget import CallerBudget, HeldShare, Phase
from wagtailusher_http.const import CONNECTION_BYTES, MIN_PACE_BYTES_PER_S, SMALL_BYTES

MIB = 1024 * 1024
MAX_BYTES = 16 * MIB
LARGE_BYTES = MAX_BYTES * 3 // 4


@dataclass(slots=True, eq=False)
class FakeConnection:
    """Holds what a test says."""

    phase: Phase = Phase.RECEIVING
    body_bytes: int = 0
    input_bytes: int = 0
    output_bytes: int = 0
    moved_bytes: int = 0
    gave_way: list[Phase] = field(default_factory=list)

    @property
    def held_bytes(self) -> int:
        return CONNECTION_BYTES + self.body_bytes + self.input_bytes + self.output_bytes

    def give_way(self, phase: Phase) -> None:
        self.gave_way.append(phase)
        self.body_bytes = self.input_bytes = self.output_bytes = 0
        self.phase = Phase.IDLE


class CallerBudgetTest(unittest.TestCase):
    """Callers grow one after the other."""

    def setUp(self) -> None:
        self.budget = CallerBudget(MAX_BYTES)

    def _open(self, now_ms: int = 0) -> tuple[FakeConnection, HeldShare]:
        connection = FakeConnection()
        return connection, self.budget.open_share(connection, now_ms)

    def _grow(
        self, connection: FakeConnection, share: HeldShare, size_bytes: int, now_ms: int
    ) -> None:
        connection.body_bytes += size_bytes
        connection.moved_bytes += size_bytes
        self.budget.update(share, now_ms)

    def _fill(self, size_bytes: int, phase: Phase = Phase.RECEIVING) -> list[FakeConnection]:
        """Open connections that hold `size_bytes` each, up to the limit of large ones."""
        filled = []
        while self.budget.held_bytes + size_bytes + CONNECTION_BYTES <= LARGE_BYTES:
            connection, share = self._open()
            connection.phase = phase
            self._grow(connection, share, size_bytes, 0)
            filled.append(connection)
        return filled

    def test_a_caller_that_stopped_gives_way_to_a_larger_one_that_goes_on(self) -> None:
        stopped = self._fill(MIB)
        connection, share = self._open(2_000)
        for step in range(40):
            self._grow(connection, share, MIB // 10, 2_000 + step)
        self.assertEqual(connection.gave_way, [])
        self.assertTrue(any(other.gave_way for other in stopped))

    def test_a_request_on_a_connection_that_idled_is_not_slow(self) -> None:
        kept, share = self._open()
        kept.phase = Phase.IDLE
        self.budget.update(share, 0)
        kept.phase = Phase.RECEIVING
        self._grow(kept, share, MIB, 60_000)
        self.assertFalse(share.is_slow)

    def test_the_largest_gives_way_among_callers_of_the_same_pace(self) -> None:
        self._fill(MIB)
        connection, share = self._open()
        self._grow(connection, share, 2 * MIB, 10)
        self.assertEqual(connection.gave_way, [Phase.RECEIVING])

    def test_a_request_that_was_received_whole_is_not_given_up(self) -> None:
        served = self._fill(MIB, Phase.SERVING)
        connection, share = self._open()
        self._grow(connection, share, MIB, 5_000)
        self.assertEqual(connection.gave_way, [Phase.RECEIVING])
        self.assertFalse(any(other.gave_way for other in served))

    def test_small_requests_have_room_beside_large_ones_that_are_served(self) -> None:
        self._fill(MIB, Phase.SERVING)
        for _ in range(30):
            connection, share = self._open()
            self._grow(connection, share, SMALL_BYTES, 5_000)
            self.assertEqual(connection.gave_way, [])

    def test_a_new_answer_does_not_give_way_to_one_that_is_not_read(self) -> None:
        unread = []
        for _ in range(5):
            connection, share = self._open()
            connection.phase, connection.output_bytes = Phase.SENDING, 2 * MIB
            self.budget.update(share, 0)
            unread.append(connection)
        connection, share = self._open(1_500)
        connection.phase, connection.output_bytes = Phase.SENDING, 3 * MIB
        self.budget.update(share, 1_500)
        self.assertEqual(connection.gave_way, [])
        self.assertEqual([Phase.SENDING], [way for other in unread for way in other.gave_way])

    def test_a_quiet_stream_that_is_read_does_not_give_way(self) -> None:
        quiet, _ = self._open()
        quiet.phase = Phase.SENDING
        self._fill(MIB)
        connection, share = self._open()
        self._grow(connection, share, MIB, 60_000)
        self.assertEqual(quiet.gave_way, [])

    def test_requests_sent_ahead_give_way_last(self) -> None:
        served = self._fill(MIB, Phase.SERVING)
        served[3].input_bytes = MIB
        connection, share = self._open()
        self._grow(connection, share, MIB, 10)
        self.assertEqual(connection.gave_way, [Phase.RECEIVING])
        small, small_share = self._open()
        for other in served:
            other.input_bytes = MIB
        self._grow(small, small_share, SMALL_BYTES, 20)
        self.assertEqual(small.gave_way, [])
        self.assertTrue(any(other.gave_way == [Phase.SERVING] for other in served))

    def test_callers_of_all_kinds_stay_within_the_limit(self) -> None:
        for seed in range(20):
            with self.subTest(seed=seed):
                self._play(Random(seed))

    def _play(self, random: Random) -> None:
        """Let many callers grow by turns, none of them served."""
        self.budget = CallerBudget(MAX_BYTES)
        callers = [self._open() for _ in range(200)]
        for now_ms in range(0, 20_000, 10):
            connection, share = random.choice(callers)
            if connection.gave_way:
                continue
            if random.random() < 0.3:
                connection.phase = Phase.SENDING
                connection.output_bytes += random.randrange(MIB)
                self.budget.update(share, now_ms)
            else:
                self._grow(connection, share, random.randrange(MIN_PACE_BYTES_PER_S * 4), now_ms)
            self.assertLessEqual(self.budget.held_bytes, MAX_BYTES)
        held = sum(connection.held_bytes for connection, _ in callers)
        self.assertEqual(self.budget.held_bytes, held)
