"""Tests that membership views converge after random schedules of faults.

Guards against nodes that keep different views after crashes, restarts, pauses, leaves,
partitions and list changes.
"""

from __future__ import annotations

from unittest import TestCase

from hypothesis import given, settings
from hypothesis import strategies as st

from wagtailusher_bench.fleet.member_node import MemberNode
from wagtailusher_bench.fleet.membership import Fleet
from wagtailusher_bench.fleet.network import ChannelProfile
from wagtailusher_core import VmId

_SIZE = 7
_REGIONS = 3
_ACTIONS = ("crash", "restart", "pause", "long_pause", "leave", "partition", "heal", "list")
_STEPS = st.tuples(st.sampled_from(_ACTIONS), st.integers(0, _SIZE - 1), st.integers(0, 12_000))


class MemberSchedule:
    """Runs actions on a small fleet and tracks which processes run."""

    def __init__(self, *, loss: float, seed: int) -> None:
        self.fleet = Fleet(_SIZE, seed=seed, loss=loss)
        self.running: dict[VmId, MemberNode] = {
            node.node_spec.vm_id: node for node in self.fleet.nodes
        }
        self.incarnations = dict.fromkeys(self.running, 1)

    def run(self, action: str, number: int, wait_ms: int) -> None:
        """Run one action, then advance the time."""
        fleet, network = self.fleet, self.fleet.network
        vm_id, region = fleet.node_specs[number].vm_id, number % _REGIONS
        node = self.running.get(vm_id)
        if action == "crash" and node is not None:
            network.stop(self.running.pop(vm_id))
        elif action == "restart":
            self.restart(number)
        elif action in ("pause", "long_pause") and node is not None:
            network.pause(node, 5_000 if action == "pause" else 40_000)
        elif action == "leave" and node is not None:
            for outgoing in node.to_outgoing(node.decider.announce_leaving(network.now_ms)):
                network.send(node, outgoing)
        elif action == "partition":
            network.blocked = lambda a, b: (a.region == region) != (b.region == region)
        elif action == "heal":
            network.blocked = lambda a, b: False
        elif action == "list":
            self.list_all()
        network.run_until(network.now_ms + wait_ms)

    def restart(self, number: int) -> None:
        """Start a new process of a VM, whether the previous one runs or not."""
        node_spec = self.fleet.node_specs[number]
        self.incarnations[node_spec.vm_id] += 1
        incarnation = self.incarnations[node_spec.vm_id]
        self.running[node_spec.vm_id] = self.fleet.start(
            node_spec, incarnation=incarnation, seed=1_000 * number + incarnation
        )

    def list_all(self) -> None:
        """Update every process with the platform's list."""
        for node in self.running.values():
            node.decider.update_published(self.fleet.published, self.fleet.network.now_ms)

    def heal(self) -> None:
        """End all network faults and advance the time until the views have converged."""
        network = self.fleet.network
        network.blocked = lambda a, b: False
        network.profile = ChannelProfile()
        network.run_until(network.now_ms + 150_000)


class MemberScheduleTest(TestCase):
    """After any schedule all running processes agree on who runs."""

    @settings(max_examples=60)
    @given(st.lists(_STEPS, max_size=14), st.sampled_from((0.0, 0.1, 0.3)), st.integers(0, 999))
    def test_views_agree_after_the_network_heals(
        self, steps: list[tuple[str, int, int]], loss: float, seed: int
    ) -> None:
        schedule = MemberSchedule(loss=loss, seed=seed)
        for action, number, wait_ms in steps:
            schedule.run(action, number, wait_ms)
        schedule.heal()
        for observer in schedule.running.values():
            self._check_view(schedule, observer)

    def _check_view(self, schedule: MemberSchedule, observer: MemberNode) -> None:
        """Check one process's view of all VMs."""
        members = observer.decider.members()
        for node_spec in schedule.fleet.node_specs:
            member = members[node_spec.vm_id]
            node = schedule.running.get(node_spec.vm_id)
            self.assertEqual(member.is_gone, node is None, (observer.node_spec.vm_id, member))
            if node is not None:
                own = node.decider.own_member
                self.assertEqual(member.incarnation, own.incarnation)
                self.assertEqual((member.state, member.leaving), (own.state, own.leaving))
