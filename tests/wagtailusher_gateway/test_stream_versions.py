"""Tests of the records of software versions at which streams began, in virtual time.

They guard against records that are forgotten too early, kept without bound or contradictory, and
against a version that is taken for the only one without proof.
"""

from __future__ import annotations

from dataclasses import replace
from random import Random
import unittest

from tests.wagtailusher_gateway.builders import configuration, endpoint, member, route, view
from wagtailusher_core import FailureDomainId
from wagtailusher_gateway.const import (
    HOLDERS_ASKED,
    MAX_STREAM_ID_BYTES,
    MAX_STREAM_RECORD_MS,
    MIN_STREAM_RECORD_MS,
)
from wagtailusher_gateway.models import Configuration, Member, Repeat, Split
from wagtailusher_gateway.stream_versions import (
    SingleVersions,
    StreamVersion,
    StreamVersionRecords,
    choose_holders,
    record_life_ms,
)

LIFE_MS = 20_000
MARGIN_MS = 5_000
WINDOW_MS = MIN_STREAM_RECORD_MS + MARGIN_MS


def version(name: str = "v1", expires_ms: int = LIFE_MS, service: str = "engines") -> StreamVersion:
    """Return a record of a stream that began at time 0."""
    return StreamVersion(
        service=service, software_version=name, began_ms=0, expires_ms=expires_ms, told_by="vm-1"
    )


def members(count: int, domains: int) -> list[Member]:
    """Return VMs spread over failure domains."""
    return [
        replace(member(number), failure_domain_id=FailureDomainId(f"domain-{number % domains}"))
        for number in range(count)
    ]


def resumable(timeout_ms: int = 4_000, *services: str) -> Configuration:
    """Return a configuration with a route whose streams may be resumed."""
    splits = tuple(Split(service=name, weight=1) for name in services or ("engines",))
    return configuration(
        1, route(repeat=Repeat.STREAM, may_resume=True, timeout_ms=timeout_ms, splits=splits)
    )


class StreamVersionRecordsTest(unittest.TestCase):
    """Records live as long as stated, and their number and size are bounded."""

    def setUp(self) -> None:
        self.records = StreamVersionRecords(max_records=3)

    def test_record_is_known_until_it_expires(self) -> None:
        self.assertTrue(self.records.put("s", version(), 0))
        known = self.records.get("s", LIFE_MS - 1)
        self.assertEqual((known and known.software_version), "v1")
        self.assertIsNone(self.records.get("s", LIFE_MS))

    def test_record_told_again_lives_longer(self) -> None:
        self.records.put("s", version(), 0)
        self.records.put("s", version(expires_ms=LIFE_MS + 10), 10)
        self.records.put("s", version(expires_ms=30), 20)
        self.assertIsNotNone(self.records.get("s", LIFE_MS + 9))

    def test_contradicting_records_leave_the_version_unknown(self) -> None:
        for other in (version("v2"), version("v1", service="desk")):
            records = StreamVersionRecords()
            for told in (version(), other, version()):
                records.put("s", told, 0)
            known = records.get("s", 1)
            self.assertEqual(known and known.software_version, "")

    def test_expired_record_does_not_contradict(self) -> None:
        self.records.put("s", version("v1"), 0)
        self.records.put("s", version("v2", 2 * LIFE_MS), LIFE_MS)
        known = self.records.get("s", LIFE_MS)
        self.assertEqual(known and known.software_version, "v2")

    def test_full_memory_drops_the_oldest_record_and_counts_it(self) -> None:
        for number in range(4):
            self.records.put(f"s{number}", version(), number)
        self.assertIsNone(self.records.get("s0", 5))
        self.assertIsNotNone(self.records.get("s3", 5))
        self.assertEqual((len(self.records), self.records.dropped), (3, 1))

    def test_expired_records_make_room_and_are_not_counted(self) -> None:
        for number in range(3):
            self.records.put(f"s{number}", version(), 0)
        self.records.put("late", version(expires_ms=2 * LIFE_MS), LIFE_MS)
        self.assertEqual((len(self.records), self.records.dropped), (1, 0))

    def test_too_long_identifiers_and_lives_are_bounded(self) -> None:
        self.assertFalse(self.records.put("x" * (MAX_STREAM_ID_BYTES + 1), version(), 0))
        self.assertFalse(self.records.put("", version(), 0))
        self.records.put("s", version(expires_ms=10 * MAX_STREAM_RECORD_MS), 0)
        self.assertIsNone(self.records.get("s", MAX_STREAM_RECORD_MS))

    def test_any_order_keeps_the_bounds(self) -> None:
        random = Random(24)
        now_ms = 0
        for _ in range(5_000):
            now_ms += random.randrange(200)
            life_ms = random.randrange(2_000)
            self.records.put(
                f"s{random.randrange(9)}", version(expires_ms=now_ms + life_ms), now_ms
            )
            self.assertLessEqual(len(self.records), 3)

    def test_life_follows_the_timeout_within_bounds(self) -> None:
        self.assertEqual(record_life_ms(1_000), MIN_STREAM_RECORD_MS)
        self.assertEqual(record_life_ms(12_000), 24_000)
        self.assertEqual(record_life_ms(10**9), MAX_STREAM_RECORD_MS)
        self.assertGreater(record_life_ms(0), MIN_STREAM_RECORD_MS)


class HoldersTest(unittest.TestCase):
    """VMs whose views of the fleet differ still agree on where a record is."""

    def test_one_holder_in_each_failure_domain(self) -> None:
        chosen = choose_holders("s", members(12, 4), 1)
        self.assertEqual(len({item.failure_domain_id for item in chosen}), 4)
        self.assertEqual(len(chosen), 4)

    def test_record_is_found_after_the_vm_that_told_it_and_any_other_vm_stopped(self) -> None:
        vms = members(9, 4)
        for number in range(50):
            for teller in vms:
                holders = choose_holders(f"s{number}", [vm for vm in vms if vm != teller], 1)
                for stopped in vms:
                    asked = choose_holders(
                        f"s{number}", [vm for vm in vms if vm != stopped], HOLDERS_ASKED
                    )
                    alive = {vm.vm_id for vm in holders} - {teller.vm_id, stopped.vm_id}
                    self.assertTrue(alive & {vm.vm_id for vm in asked})

    def test_leaving_vms_hold_records_only_where_there_is_no_other(self) -> None:
        vms = members(4, 2)
        vms = [replace(vm, is_leaving=vm.vm_id in ("vm-0", "vm-1", "vm-3")) for vm in vms]
        chosen = {vm.vm_id for vm in choose_holders("s", vms, 1)}
        self.assertIn("vm-2", chosen)
        self.assertEqual(len(chosen), 2)


class SingleVersionsTest(unittest.TestCase):
    """A version counts as the only one after a whole window without any other one."""

    def setUp(self) -> None:
        self.versions = SingleVersions()
        self.old = endpoint(1, software_version="v1")
        self.new = endpoint(2, software_version="v2")
        self.versions.observe(view(self.old, configuration=resumable()), 0)

    def found(self, now_ms: int) -> str | None:
        """Return the only version at a time."""
        found = self.versions.find("engines", MARGIN_MS, now_ms)
        return found[0] if found is not None else None

    def test_window_is_longer_than_the_longest_life(self) -> None:
        self.assertIsNone(self.found(WINDOW_MS))
        self.assertEqual(self.found(WINDOW_MS + 1), "v1")

    def test_window_follows_the_longest_timeout_that_was_in_force(self) -> None:
        self.versions.observe(view(self.old, configuration=resumable(30_000)), 1)
        self.versions.observe(view(self.old, configuration=resumable()), 2)
        self.assertIsNone(self.found(60_000 + MARGIN_MS))
        self.assertEqual(self.found(60_000 + MARGIN_MS + 1), "v1")

    def test_other_version_restarts_the_window(self) -> None:
        self.versions.observe(view(self.old, self.new, configuration=resumable()), 100)
        self.assertIsNone(self.found(WINDOW_MS + 1))
        self.versions.observe(view(self.new, configuration=resumable()), 200)
        self.assertIsNone(self.found(200 + WINDOW_MS))
        self.assertEqual(self.found(201 + WINDOW_MS), "v2")

    def test_gap_restarts_the_window(self) -> None:
        self.versions.restart(500)
        self.assertIsNone(self.found(500 + WINDOW_MS))
        self.assertEqual(self.found(501 + WINDOW_MS), "v1")

    def test_unknown_version_is_not_single(self) -> None:
        self.versions.observe(view(endpoint(1), configuration=resumable()), 1)
        self.assertIsNone(self.found(10 * WINDOW_MS))

    def test_service_without_endpoints_has_no_version(self) -> None:
        self.versions.observe(view(configuration=resumable()), 1)
        self.versions.observe(view(self.old, configuration=resumable()), 2)
        self.assertIsNone(self.found(2 + WINDOW_MS))

    def test_moved_route_restarts_the_window(self) -> None:
        self.versions.observe(view(self.old, configuration=resumable(4_000, "desk")), 300)
        self.assertIsNone(self.found(300 + WINDOW_MS))
        self.assertEqual(self.found(301 + WINDOW_MS), "v1")


if __name__ == "__main__":
    unittest.main()
