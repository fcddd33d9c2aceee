"""Tests of configuration dissemination, in random schedules and in single cases.

Guards against a node that goes back to a lower revision or applies an invalid one after
restarts, partitions, loss, or a stale or unavailable configuration service.
"""

from __future__ import annotations

from unittest import TestCase
from unittest.mock import patch

from hypothesis import given, settings
from hypothesis import strategies as st

from wagtailusher_bench.fleet.configuration import ConfigurationFleet, make_content
from wagtailusher_bench.fleet.configuration_node import ConfigurationNode
from wagtailusher_bench.fleet.network import ChannelProfile
from wagtailusher_core import Revision, VmId
from wagtailusher_membership import (
    ConfigurationConflict,
    ConfigurationLimits,
    ConfigurationRefused,
    ServiceBehind,
)
from wagtailusher_membership.configuration_validator import ConfigurationValidator
from wagtailusher_membership.peer_revisions import PeerRevisions
from wagtailusher_membership.startup_sync import StartupSync

_SIZE = 6
_REGIONS = 3
_UNDISTURBED_MS = 2_600
_ACTIONS = ("publish", "invalid", "restart", "partition", "heal", "stale", "down", "up", "raise")
_STEPS = st.tuples(st.sampled_from(_ACTIONS), st.integers(0, _SIZE - 1), st.integers(0, 2_500))


class Schedule:
    """Runs actions on a small fleet and checks each node's applied revisions."""

    def __init__(self, test: TestCase, *, loss: float, seed: int) -> None:
        self.test = test
        self.fleet = ConfigurationFleet(_SIZE, seed=seed, loss=loss)
        test.assertEqual(
            {node_spec.region for node_spec in self.fleet.node_specs}, set(range(_REGIONS))
        )
        self.published = [self.fleet.service.revision]
        self.invalid: set[Revision] = set()
        self.applied_before: dict[VmId, list[Revision]] = {}
        self.seed = seed

    def run(self, action: str, number: int, wait_ms: int) -> None:
        """Run one action, then advance the time."""
        fleet, service, region = self.fleet, self.fleet.service, number % _REGIONS
        highest = max(self.published)
        if action in ("publish", "invalid"):
            self.publish(Revision(epoch=highest.epoch, number=highest.number + 1), action)
        elif action == "raise":
            self.publish(Revision(epoch=highest.epoch + 1), action)
        elif action == "restart":
            self.restart(number, wait_ms)
        elif action == "partition":
            fleet.network.blocked = lambda a, b: (a.region == region) != (b.region == region)
        elif action == "heal":
            fleet.network.blocked = lambda a, b: False
        elif action == "stale":
            service.stale[region] = (service.revision, service.content)
        elif action == "down":
            service.down.add(region)
        else:
            service.stale.pop(region, None)
            service.down.discard(region)
        fleet.network.run_until(fleet.network.now_ms + wait_ms)
        self.check()

    def publish(self, revision: Revision, action: str) -> None:
        """Publish a new configuration at the service."""
        content = make_content(5, len(self.published))
        if action == "invalid":
            self.invalid.add(revision)
            content = b"invalid " + content
        self.published.append(revision)
        self.fleet.service.publish(revision, content)

    def restart(self, number: int, wait_ms: int) -> None:
        """Replace a process; with undisturbed time after it, its revision must not decrease."""
        fleet = self.fleet
        old = fleet.nodes[number]
        applied = [revision for _, revision in old.applied]
        applied_before = self.applied_before.setdefault(old.node_spec.vm_id, [])
        applied_before += applied
        peers = [
            node
            for node in fleet.nodes
            if node is not old
            and node.decider.is_startup_synced
            and not fleet.network.blocked(node.node_spec, old.node_spec)
        ]
        known = max((peer.decider.revision for peer in peers), default=Revision())
        self.seed += 1
        fleet.nodes[number] = new = fleet.start(number, seed=self.seed)
        if wait_ms % 2:
            fleet.network.run_until(fleet.network.now_ms + _UNDISTURBED_MS)
            if applied_before and known >= max(applied_before):
                self.test.assertTrue(new.decider.is_startup_synced)
                for _, revision in new.applied:
                    self.test.assertGreaterEqual(revision, max(applied_before))

    def check(self) -> None:
        """Check that no process applied a lower revision or an invalid configuration."""
        for node in self.fleet.nodes:
            applied = [revision for _, revision in node.applied]
            self.test.assertEqual(applied, sorted(set(applied)))
            self.test.assertFalse(self.invalid & set(applied))

    def heal_and_converge(self) -> None:
        """End all faults; all nodes must converge on the highest valid configuration."""
        self.fleet.network.blocked = lambda a, b: False
        self.fleet.service.stale.clear()
        self.fleet.service.down.clear()
        self.fleet.network.run_until(self.fleet.network.now_ms + 15_000)
        self.check()
        held = {node.decider.revision for node in self.fleet.nodes}
        self.test.assertEqual(len(held), 1)
        served = self.fleet.service.revision
        if served not in self.invalid:
            self.test.assertGreaterEqual(max(held), served)


class ScheduleTest(TestCase):
    """Random schedules of restarts, partitions, loss and a stale or unreachable service."""

    @settings(max_examples=80)
    @given(st.lists(_STEPS, max_size=16), st.sampled_from((0.0, 0.1, 0.3)), st.integers(0, 999))
    def test_revision_never_decreases_and_converges(
        self, steps: list[tuple[str, int, int]], loss: float, seed: int
    ) -> None:
        schedule = Schedule(self, loss=loss, seed=seed)
        for action, number, wait_ms in steps:
            schedule.run(action, number, wait_ms)
        schedule.heal_and_converge()


class InjectedFaultTest(TestCase):
    """The schedules' checks detect injected faults."""

    def setUp(self) -> None:
        """Make a region's service stale, and quicker to answer than peers."""
        self.schedule = Schedule(self, loss=0.0, seed=1)
        self.schedule.fleet.network.profile = ChannelProfile(near_ms=20.0)
        for step in (("stale", 0, 0), ("publish", 0, 2_000), ("invalid", 0, 0)):
            self.schedule.run(*step)

    def _restart_all(self) -> None:
        """Restart the nodes one by one, each with undisturbed time after it."""
        for number in range(_SIZE):
            self.schedule.run("restart", number, 2_001)

    def test_schedule_passes_without_a_fault(self) -> None:
        self._restart_all()

    def test_skipping_the_waits_for_peers_is_detected(self) -> None:
        with (
            patch.object(StartupSync, "is_over", lambda *_: True),
            patch.object(PeerRevisions, "count_holding", lambda *_: 1),
            self.assertRaises(AssertionError),
        ):
            self._restart_all()

    def test_ignoring_revisions_of_peers_is_detected(self) -> None:
        with (
            patch.object(PeerRevisions, "record_revision", lambda *_: None),
            self.assertRaises(AssertionError),
        ):
            self._restart_all()

    def test_skipping_validation_is_detected(self) -> None:
        with (
            patch.object(ConfigurationValidator, "validate", lambda *_: None),
            self.assertRaises(AssertionError),
        ):
            self._restart_all()


def _revisions(nodes: list[ConfigurationNode]) -> set[Revision]:
    """Return the applied revisions."""
    return {node.decider.revision for node in nodes}


class CaseTest(TestCase):
    """Single cases of the guarantee that revisions never decrease."""

    def setUp(self) -> None:
        """Start a fleet that holds revision 5."""
        self.fleet = ConfigurationFleet(20, seed=1, loss=0.1)
        self.service = self.fleet.service
        self.service.publish(Revision(number=5), b"five")
        self._run(5_000)

    def _run(self, time_ms: int) -> None:
        """Advance the time."""
        self.fleet.network.run_until(self.fleet.network.now_ms + time_ms)

    def test_restored_backup_is_ignored_until_the_epoch_is_raised(self) -> None:
        self.service.publish(Revision(number=3), b"three")
        self._run(5_000)
        self.fleet.nodes[4] = self.fleet.start(4, seed=77)
        self._run(5_000)
        self.assertEqual(_revisions(self.fleet.nodes), {Revision(number=5)})
        node_effects = {e for node in self.fleet.nodes for e in node.effects}
        self.assertIn(
            ServiceBehind(offered=Revision(number=3), held=Revision(number=5)), node_effects
        )
        self.service.publish(Revision(epoch=1, number=3), b"three")
        self._run(4_000)
        self.assertEqual(_revisions(self.fleet.nodes), {Revision(epoch=1, number=3)})

    def test_invalid_revision_is_refused_and_the_last_valid_stays(self) -> None:
        self.service.publish(Revision(number=6), b"invalid")
        self._run(5_000)
        self.assertEqual(_revisions(self.fleet.nodes), {Revision(number=5)})
        node_effects = {e for node in self.fleet.nodes for e in node.effects}
        refusal = ConfigurationRefused(revision=Revision(number=6), reason="marked invalid")
        self.assertIn(refusal, node_effects)

    def test_new_nodes_fetch_from_peers_while_the_service_is_down(self) -> None:
        self.service.down.update(range(5))
        for index in range(10):
            self.fleet.nodes[index] = self.fleet.start(index, seed=100 + index)
        self._run(5_000)
        self.assertEqual(_revisions(self.fleet.nodes), {Revision(number=5)})

    def test_all_nodes_restarted_with_a_stale_service_apply_its_revision(self) -> None:
        self.service.publish(Revision(number=3), b"three")
        for node in self.fleet.nodes:
            self.fleet.network.stop(node)
        self._run(2_000)
        for index in range(20):
            self.fleet.nodes[index] = self.fleet.start(index, seed=100 + index)
        self._run(8_000)
        self.assertEqual(_revisions(self.fleet.nodes), {Revision(number=3)})
        self.assertFalse([n for n in self.fleet.nodes if n.settled is None or n.settled.confirmed])

    def test_new_node_does_not_apply_less_than_an_unavailable_peer_announced(self) -> None:
        self.service.publish(Revision(number=3), b"three")
        self.fleet.network.stop(self.fleet.nodes[0])
        self._run(1_000)
        self.fleet.nodes[0] = node = self.fleet.start(0, seed=100)
        self._run(10)
        node.decider.observe_revision(
            Revision(number=7), self.fleet.network.now_ms, sender=self.fleet.node_specs[9].vm_id
        )
        self._run(8_000)
        self.assertEqual((node.decider.is_startup_synced, node.applied), (True, []))
        self.assertEqual(node.decider.highest_known, Revision(number=7))
        self.service.publish(Revision(number=8), b"eight")
        self._run(4_000)
        self.assertEqual(_revisions(self.fleet.nodes), {Revision(number=8)})

    def test_late_list_does_not_end_the_startup_wait_without_queries(self) -> None:
        self.service.publish(Revision(number=3), b"three")
        fleet = self.fleet
        fleet.network.stop(fleet.nodes[0])
        node = ConfigurationNode(
            fleet.node_specs[0],
            network=fleet.network,
            service=self.service,
            published=fleet.published[:1],
            seed=100,
        )
        fleet.network.start(node)
        self._run(1_000)
        self.assertFalse(node.decider.is_startup_synced)
        node.publish(fleet.published, fleet.network.now_ms)
        self._run(3_000)
        self.assertEqual([revision for _, revision in node.applied], [Revision(number=5)])

    def test_isolated_node_reports_the_time_since_its_last_contact(self) -> None:
        for node in self.fleet.nodes:
            self.assertLess(node.decider.time_since_contact_ms(self.fleet.network.now_ms), 10_000)
        isolated = self.fleet.nodes[0].node_spec
        self.fleet.network.blocked = lambda a, b: isolated in (a, b)
        self.service.down.add(isolated.region)
        self._run(30_000)
        self.assertGreater(
            self.fleet.nodes[0].decider.time_since_contact_ms(self.fleet.network.now_ms), 18_000
        )
        self.fleet.network.blocked = lambda a, b: False
        self._run(5_000)
        self.assertLess(
            self.fleet.nodes[0].decider.time_since_contact_ms(self.fleet.network.now_ms), 5_000
        )

    def test_two_contents_of_one_revision_are_reported(self) -> None:
        self.service.publish(Revision(number=4), b"four")
        self._run(2_000)
        self.service.publish(Revision(number=5), b"another five")
        self._run(2_000)
        node_effects = {e for node in self.fleet.nodes for e in node.effects}
        self.assertIn(ConfigurationConflict(revision=Revision(number=5), source=None), node_effects)

    def test_service_calls_stay_within_the_limit_while_it_fails(self) -> None:
        bound = ConfigurationLimits().service_calls_per_s(len(set(self._domains())))
        self.service.down.update(range(5))
        self.service.calls_by_second.clear()
        self._run(30_000)
        self.service.down.clear()
        self._run(10_000)
        self.assertLessEqual(max(self.service.calls_by_second.values()), bound)

    def _domains(self) -> list[str]:
        """Return every node's failure domain."""
        return [node_spec.failure_domain_id for node_spec in self.fleet.node_specs]
