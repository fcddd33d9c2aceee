"""Tests of content fetches and deltas.

Guards against a node that stays without its content after a late or damaged answer, and against
deltas that build a wrong or too large content.
"""

from __future__ import annotations

from unittest import TestCase

from hypothesis import given
from hypothesis import strategies as st

from wagtailusher_bench.fleet.node_specs import make_node_specs, publish
from wagtailusher_core import Revision
from wagtailusher_membership import (
    ApplyConfiguration,
    ConfigurationDecider,
    ConfigurationEffect,
    FetchContent,
)
from wagtailusher_membership.table import MemberTable
from wagtailusher_wire import NO_REVISION, ConfigurationAnnounce, ContentAnswer, DeltaStep
from wagtailusher_wire.delta import DeltaError, apply_delta, digest_content, make_delta

_LINES = st.lists(st.sampled_from([b"a\n", b"b\n", b"cc\n", b"\n", b"d"]), max_size=60)
_CONTENT = _LINES.map(b"".join) | st.binary(max_size=200)


class DeltaTest(TestCase):
    """Deltas rebuild the content, and invalid ones are refused."""

    @given(_CONTENT, _CONTENT)
    def test_delta_rebuilds_the_content(self, base: bytes, content: bytes) -> None:
        steps = make_delta(base, content)
        self.assertEqual(apply_delta(base, steps, max_bytes=len(content)), content)

    def test_copies_outside_the_base_and_too_large_contents_are_refused(self) -> None:
        outside = (DeltaStep(copy_offset_bytes=2, copy_bytes=9, insert=b""),)
        doubling = (DeltaStep(copy_offset_bytes=0, copy_bytes=4, insert=b""),) * 100
        for steps in (outside, doubling):
            with self.assertRaises(DeltaError):
                apply_delta(b"abcd", steps, max_bytes=100)


class FetchTest(TestCase):
    """A node gets its content although the first answers are late or damaged."""

    def setUp(self) -> None:
        """Create a decider that completed its start-up wait and has a fetch in progress."""
        self.node_specs = make_node_specs(4)
        table = MemberTable(max_members=10, buckets=1)
        list(table.merge_published(publish(self.node_specs), 0))
        self.decider = ConfigurationDecider(
            vm_id=self.node_specs[0].vm_id,
            failure_domain_id=self.node_specs[0].failure_domain_id,
            members=table.view,
            validate=lambda revision, content: None,
            seed=1,
        )
        self.decider.tick(0)
        self.decider.tick(3_000)
        self.first = self._fetch(3_000)

    def _fetch(self, now_ms: int) -> FetchContent:
        """Let all peers announce a revision and return the fetch."""
        announce = ConfigurationAnnounce(revision=Revision(number=1), digest=0, settled=True)
        effects: list[ConfigurationEffect] = []
        for node_spec in self.node_specs[1:]:
            effects += self.decider.handle(
                announce, now_ms, sender=node_spec.vm_id, address=node_spec.address
            )
        (fetch,) = [effect for effect in effects if isinstance(effect, FetchContent)]
        return fetch

    def _answer(self, fetch: FetchContent, content: bytes, digest: int) -> ContentAnswer:
        """Return a peer's answer."""
        step = DeltaStep(copy_offset_bytes=0, copy_bytes=0, insert=content)
        return ContentAnswer(
            sequence=fetch.request.sequence,
            revision=Revision(number=1),
            digest=digest,
            base=NO_REVISION,
            steps=(step,),
        )

    def test_answer_after_the_timeout_is_applied(self) -> None:
        retries = [e for e in self.decider.tick(6_500) if isinstance(e, FetchContent)]
        self.assertEqual(len(retries), 1)
        self.assertNotEqual(retries[0].vm_id, self.first.vm_id)
        late = self._answer(self.first, b"x", digest_content(b"x"))
        effects = self.decider.handle_fetch_result(late, 6_600, sender=self.first.vm_id)
        self.assertIn(ApplyConfiguration(revision=Revision(number=1), content=b"x"), effects)
        duplicate = self._answer(retries[0], b"x", digest_content(b"x"))
        effects = self.decider.handle_fetch_result(duplicate, 6_700, sender=retries[0].vm_id)
        self.assertFalse([effect for effect in effects if isinstance(effect, ApplyConfiguration)])

    def test_damaged_answer_is_fetched_from_another_peer(self) -> None:
        damaged = self._answer(self.first, b"x", digest_content(b"y"))
        effects = self.decider.handle_fetch_result(damaged, 3_100, sender=self.first.vm_id)
        (retry,) = [effect for effect in effects if isinstance(effect, FetchContent)]
        self.assertNotEqual(retry.vm_id, self.first.vm_id)
        self.assertEqual(retry.request.have, NO_REVISION)
