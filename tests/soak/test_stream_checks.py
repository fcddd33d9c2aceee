"""Tests of the checks of streams over several tries, on made-up observations."""

from __future__ import annotations

from dataclasses import replace
import unittest

from tests.soak.checks import check_quarantine, stream_event
from tests.soak.const import MIN_LOST_STREAMS, MS_PER_S
from tests.soak.observations import CallerAnswer, Kind, Observations, RecordedChange, SentRequest
from tests.soak.stream_checks import check_lost, check_software_versions, count_streams

VM = "entry-1"


class StreamChecksTest(unittest.TestCase):
    """Streams of one caller, each begun at v1 and taken up once a second later."""

    def setUp(self) -> None:
        self.observations = Observations()
        for _ in range(2):
            self.add_change("serve", 0)

    def add_change(self, change_kind: str, at_ms: int) -> None:
        """Record that an endpoint of v1 begins or ends to serve."""
        self.observations.changes.append(
            RecordedChange(at_ms=at_ms, change_kind=change_kind, subject="v1")
        )

    def add_try(self, attempt_id: str, resumes: str, status: int, *versions: str) -> None:
        """Record a try and its answer, whose events `versions` wrote."""
        number = bool(resumes)
        at_ms = MS_PER_S * (1 + number)
        self.observations.sent[attempt_id] = SentRequest(
            attempt_id=attempt_id,
            kind=Kind.REVIEW,
            entry=VM,
            incarnation=1,
            at_ms=at_ms,
            path="/review/1",
            resumes=resumes,
            resumes_after=int(number),
        )
        body = b"".join(
            stream_event(attempt_id, event, version)
            for event, version in enumerate(versions, start=1 + number)
        )
        self.observations.answered.append(
            CallerAnswer(
                attempt_id=attempt_id, status=status, body=body, is_complete=False, at_ms=at_ms + 10
            )
        )

    def add_streams(self, count: int, status: int, *versions: str) -> None:
        """Record streams that begin and whose second try is answered as stated."""
        for _ in range(count):
            attempt_id = f"a-{len(self.observations.sent)}"
            self.add_try(attempt_id, "", 200, "v1")
            self.add_try(f"{attempt_id}-2", attempt_id, status, *versions)

    def lost(self) -> list[str]:
        """Return what `check_lost` finds."""
        return list(check_lost(self.observations))

    def test_half_of_the_streams_going_on_is_enough(self) -> None:
        self.add_streams(MIN_LOST_STREAMS // 2, 503)
        self.add_streams(MIN_LOST_STREAMS // 2, 200, "v1")
        self.assertEqual(self.lost(), [])

    def test_less_than_half_of_the_streams_going_on_is_found(self) -> None:
        self.add_streams(MIN_LOST_STREAMS // 2 + 1, 503)
        self.add_streams(MIN_LOST_STREAMS // 2, 200, "v1")
        self.assertEqual(len(self.lost()), 1)

    def test_answer_without_events_does_not_go_on(self) -> None:
        self.add_streams(MIN_LOST_STREAMS, 200)
        self.assertEqual(len(self.lost()), 1)
        self.assertEqual(count_streams(self.observations).refused, 0)

    def test_streams_count_only_while_two_endpoints_of_their_version_serve(self) -> None:
        self.add_change("leave", MS_PER_S)
        self.add_streams(MIN_LOST_STREAMS, 503)
        self.assertEqual(self.lost(), [])
        self.assertEqual(count_streams(self.observations).taken_up, 0)

    def test_streams_count_only_at_vms_without_a_fault(self) -> None:
        self.add_streams(MIN_LOST_STREAMS, 503)
        self.assertEqual(len(self.lost()), 1)
        self.observations.fault_periods.append((VM, MS_PER_S, 3 * MS_PER_S))
        self.assertEqual(self.lost(), [])

    def test_two_versions_over_two_tries_are_found(self) -> None:
        self.add_streams(1, 200, "v1", "v1")
        self.assertEqual(list(check_software_versions(self.observations)), [])
        self.add_streams(1, 200, "v2")
        self.assertEqual(len(list(check_software_versions(self.observations))), 1)

    def test_two_versions_in_one_answer_are_found(self) -> None:
        self.add_try("a-1", "", 200, "v1", "v2")
        self.assertEqual(len(list(check_software_versions(self.observations))), 1)

    def test_refusal_of_a_request_that_crashes_endpoints_is_found(self) -> None:
        self.add_try("s", "", 503)
        answer = self.observations.answered[-1]
        self.assertEqual(list(check_quarantine(self.observations)), [])
        body = b'{"error":{"code":"quarantined"}}'
        self.observations.answered[-1] = replace(answer, body=body)
        self.assertEqual(len(list(check_quarantine(self.observations))), 1)


if __name__ == "__main__":
    unittest.main()
