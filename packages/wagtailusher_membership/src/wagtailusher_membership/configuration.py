"""Dissemination of configurations; a node never applies a lower revision."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from random import Random

from wagtailusher_core import FailureDomainId, Revision, VmId
from wagtailusher_membership.announcer import Announcer
from wagtailusher_membership.configuration_effects import (
    ApplyConfiguration,
    ConfigurationEffect,
    FetchContent,
    ReadService,
    StartupSyncCompleted,
)
from wagtailusher_membership.configuration_limits import ConfigurationLimits
from wagtailusher_membership.configuration_validator import ConfigurationValidator, Validate
from wagtailusher_membership.content_history import ContentHistory
from wagtailusher_membership.member import Member
from wagtailusher_membership.membership_effects import SendDatagram
from wagtailusher_membership.peer_revisions import PeerRevisions, PendingFetch
from wagtailusher_membership.readers import Readers
from wagtailusher_membership.service_read_schedule import ServiceReadSchedule
from wagtailusher_membership.startup_sync import StartupSync
from wagtailusher_wire import (
    NO_REVISION,
    ConfigurationAnnounce,
    ConfigurationQuery,
    ContentAnswer,
    ContentRequest,
    Message,
)
from wagtailusher_wire.delta import digest_content

_NO_SENDER = VmId("")
_TICK_MS = 100


@dataclass(frozen=True, slots=True, kw_only=True)
class _Candidate:
    """A configuration from the service that waits for a peer to confirm its revision."""

    revision: Revision
    content: bytes
    deadline_ms: int = 0


class ConfigurationDecider:
    """Reads, disseminates and applies configurations; the applied revision only increases.

    The members are a live view that includes the platform's list. The floor is the minimum
    revision, one that an operator knows to have been applied.
    """

    def __init__(
        self,
        *,
        vm_id: VmId,
        failure_domain_id: FailureDomainId,
        members: Mapping[VmId, Member],
        validate: Validate,
        seed: int,
        limits: ConfigurationLimits | None = None,
        floor: Revision = NO_REVISION,
    ) -> None:
        """Start without a configuration, in start-up synchronization."""
        self._vm_id = vm_id
        self._failure_domain_id = failure_domain_id
        self._members = members
        self._limits = limits = limits or ConfigurationLimits()
        self._validator = ConfigurationValidator(validate, max_entries=limits.max_refused)
        rng = Random(seed)
        self._peer_revisions = PeerRevisions(rng, minimum=floor)
        self._service_reads = ServiceReadSchedule(limits, rng)
        self._startup_sync: StartupSync | None = StartupSync(limits)
        self._readers = Readers(
            vm_id=vm_id, failure_domain_id=failure_domain_id, members=members, limits=limits
        )
        self._announcer = Announcer(
            vm_id=vm_id,
            failure_domain_id=failure_domain_id,
            members=members,
            rng=rng,
            limits=limits,
        )
        self._history = ContentHistory(limits)
        self._applied_revision = NO_REVISION
        self._service_revision = NO_REVISION
        self._candidate: _Candidate | None = None
        self._fetch_full_next = False
        self._sequence = 0
        self._hint_at_ms = 0
        self._last_contact_ms: int | None = None
        self._effects: list[ConfigurationEffect] = []

    @property
    def revision(self) -> Revision:
        """Return the applied revision."""
        return self._applied_revision

    @property
    def highest_known(self) -> Revision:
        """Return the highest revision of this node and its peers; no lower one is applied."""
        return max(self._applied_revision, self._peer_revisions.highest)

    @property
    def is_startup_synced(self) -> bool:
        """Return whether the start-up wait for peers' revisions is over."""
        return self._startup_sync is None

    def time_since_contact_ms(self, now_ms: int) -> int:
        """Return the time in milliseconds since a peer or the service was last heard from.

        The applied configuration may be out of date by as much, without this node knowing.
        """
        return 0 if self._last_contact_ms is None else now_ms - self._last_contact_ms

    def is_reader(self, now_ms: int) -> bool:
        """Return whether this node reads the service for its failure domain."""
        return self._readers.is_reader(now_ms)

    def next_due_ms(self, now_ms: int) -> int:
        """Return the time in milliseconds of the next tick."""
        return now_ms + _TICK_MS

    def tick(self, now_ms: int) -> tuple[ConfigurationEffect, ...]:
        """Run the queries, reads, fetches and announcements that are due."""
        if self._last_contact_ms is None:
            self._last_contact_ms = now_ms
        if self._startup_sync is not None:
            self._advance_startup_sync(self._startup_sync, now_ms)
        self._expire(now_ms)
        self._read(now_ms)
        self._fetch(now_ms)
        self._announce(now_ms)
        return self._pop_effects()

    def handle(
        self, message: Message, now_ms: int, *, sender: VmId = _NO_SENDER, address: str = ""
    ) -> tuple[ConfigurationEffect, ...]:
        """Handle a message; sender and address are those of the authenticated datagram."""
        if isinstance(message, ConfigurationAnnounce):
            self._handle_announce(message, sender, now_ms)
        elif isinstance(message, ConfigurationQuery):
            self._handle_query(message, sender, address)
        return self._pop_effects()

    def observe_revision(
        self, revision: Revision, now_ms: int, *, sender: VmId = _NO_SENDER
    ) -> tuple[ConfigurationEffect, ...]:
        """Handle a revision that was carried by other traffic.

        Without an authenticated peer as its sender it only makes this node query its peers.
        """
        if sender:
            self._record_peer_revision(sender, revision, now_ms)
        elif revision > self.highest_known and now_ms >= self._hint_at_ms:
            self._hint_at_ms = now_ms + self._limits.hint_interval_ms
            self._service_reads.expedite_retry(now_ms)
            for member in self._announcer.sample(self._limits.announce_fanout):
                self._query(member)
        return self._pop_effects()

    def handle_service_content(
        self, revision: Revision, content: bytes, now_ms: int
    ) -> tuple[ConfigurationEffect, ...]:
        """Handle a configuration that the service returned."""
        self._service_reads.record_success(now_ms)
        self._last_contact_ms = now_ms
        self._service_revision = revision
        if self._startup_sync is not None:
            if self._candidate is None or revision > self._candidate.revision:
                self._candidate = _Candidate(revision=revision, content=content)
        else:
            self._evaluate_service_content(revision, content, now_ms)
        return self._pop_effects()

    def handle_service_unchanged(self, now_ms: int) -> None:
        """Handle a watch that ended without a change."""
        self._service_reads.record_success(now_ms)
        self._last_contact_ms = now_ms

    def handle_service_failure(self, now_ms: int) -> None:
        """Handle a failed read of the service."""
        self._service_reads.record_failure(now_ms)

    def answer_content_request(
        self, request: ContentRequest, now_ms: int, *, sender: VmId = _NO_SENDER
    ) -> ContentAnswer | None:
        """Return the content for a peer's request over a stream, None if there is no newer one."""
        revision = self._announced_revision()
        if revision == NO_REVISION or revision <= request.have:
            return None
        return self._history.make_answer(request, revision)

    def handle_fetch_result(
        self, answer: ContentAnswer, now_ms: int, *, sender: VmId
    ) -> tuple[ConfigurationEffect, ...]:
        """Handle a peer's content, also if it arrives after another peer was asked."""
        pending = self._peer_revisions.pending
        is_awaited = pending is not None and pending.sequence == answer.sequence
        if is_awaited:
            self._peer_revisions.pending = None
        content = self._history.rebuild_content(answer)
        if content is not None:
            self._fetch_full_next = False
            self._apply_if_newer(answer.revision, content, now_ms)
            self._acknowledge_content(sender)
        elif is_awaited:
            self._fetch_full_next = True
            self._peer_revisions.record_fetch_failure(sender)
        self._fetch(now_ms)
        return self._pop_effects()

    def handle_fetch_failure(self, sequence: int, now_ms: int) -> tuple[ConfigurationEffect, ...]:
        """Handle a failed fetch: the content is fetched from another peer."""
        pending = self._peer_revisions.pending
        if pending is not None and pending.sequence == sequence:
            self._peer_revisions.record_fetch_failure(pending.vm_id)
            self._fetch(now_ms)
        return self._pop_effects()

    def _pop_effects(self) -> tuple[ConfigurationEffect, ...]:
        effects = tuple(self._effects)
        self._effects.clear()
        return effects

    def _announced_revision(self) -> Revision:
        """Return the revision that this node announces and whose content it can return."""
        if self._startup_sync is None and self._candidate is not None:
            return max(self._applied_revision, self._candidate.revision)
        return self._applied_revision

    def _select_peers(self, count: int, now_ms: int) -> list[Member]:
        """Return the alive readers of this failure domain, filled up with random members."""
        readers = self._readers.alive_candidates(now_ms)[:count]
        known = frozenset(member.vm_id for member in readers)
        return readers + self._announcer.sample(count - len(readers), known)

    def _advance_startup_sync(self, startup_sync: StartupSync, now_ms: int) -> None:
        """Query peers, and end the start-up wait when it is over."""
        if startup_sync.is_query_due(now_ms):
            peers = self._select_peers(self._limits.startup_sync_peers, now_ms)
            for vm_id in startup_sync.select_peers((member.vm_id for member in peers), now_ms):
                if vm_id in self._members:
                    self._query(self._members[vm_id])
        if not startup_sync.is_over(now_ms):
            return
        self._startup_sync = None
        self._effects.append(StartupSyncCompleted(confirmed=startup_sync.confirmed))
        candidate, self._candidate = self._candidate, None
        if candidate is not None:
            self._evaluate_service_content(candidate.revision, candidate.content, now_ms)

    def _expire(self, now_ms: int) -> None:
        """End a fetch, or a wait for a confirming peer, that has timed out."""
        pending = self._peer_revisions.pending
        if pending is not None and now_ms >= pending.deadline_ms:
            self._peer_revisions.record_fetch_failure(pending.vm_id)
        candidate = self._candidate
        if candidate is not None and self._startup_sync is None and now_ms >= candidate.deadline_ms:
            self._candidate = None
            self._apply_if_newer(candidate.revision, candidate.content, now_ms)

    def _read(self, now_ms: int) -> None:
        """Read the service, as a reader or as an isolated node."""
        if self.is_reader(now_ms):
            if self._service_reads.try_start_read(now_ms):
                self._effects.append(ReadService(since=self._service_revision))
            return
        is_served = self._applied_revision != NO_REVISION and self._has_peers()
        if self._startup_sync is not None or is_served:
            return
        listed = sum(member.is_listed for member in self._members.values())
        if self._service_reads.try_start_isolated_read(now_ms, listed):
            self._effects.append(ReadService(since=self._service_revision))

    def _has_peers(self) -> bool:
        """Return whether any other member is considered alive."""
        return bool(self._announcer.sample(1))

    def _fetch(self, now_ms: int) -> None:
        """Fetch the highest known configuration, unless a fetch is in progress."""
        peer_revisions = self._peer_revisions
        if self._startup_sync is not None or peer_revisions.pending is not None:
            return
        source = peer_revisions.choose_fetch_source(
            self._announced_revision(),
            self._members,
            self._failure_domain_id,
            self._validator.refused_revisions,
        )
        if source is None:
            return
        self._sequence += 1
        have = NO_REVISION if self._fetch_full_next else self._applied_revision
        limits = self._limits
        is_full = have == NO_REVISION
        peer_revisions.pending = PendingFetch(
            vm_id=source.vm_id,
            sequence=self._sequence,
            deadline_ms=now_ms
            + (limits.full_fetch_timeout_ms if is_full else limits.fetch_timeout_ms),
        )
        request = ContentRequest(
            have=have, have_digest=self._history.digest(have), sequence=self._sequence
        )
        self._effects.append(
            FetchContent(vm_id=source.vm_id, address=source.peer_address, request=request)
        )

    def _announce(self, now_ms: int) -> None:
        """Announce the held revision to the members that are due."""
        if self._startup_sync is not None:
            return
        revision = self._announced_revision()
        reads_service = self.is_reader(now_ms)
        for member in self._announcer.targets(
            revision, self._peer_revisions, reads_service, now_ms
        ):
            self._send_announcement(member.vm_id, member.peer_address)

    def _send_announcement(self, vm_id: VmId, address: str, sequence: int = 0) -> None:
        revision = self._announced_revision()
        message = ConfigurationAnnounce(
            revision=revision,
            digest=self._history.digest(revision),
            settled=self._startup_sync is None,
            sequence=sequence,
        )
        self._effects.append(SendDatagram(vm_id=vm_id, address=address, message=message))

    def _acknowledge_content(self, vm_id: VmId) -> None:
        """Acknowledge a peer's content; the peer may be waiting for a confirming peer."""
        member = self._members.get(vm_id)
        if member is not None:
            self._send_announcement(vm_id, member.peer_address)

    def _query(self, member: Member) -> None:
        self._sequence += 1
        query = ConfigurationQuery(revision=self._applied_revision, sequence=self._sequence)
        self._effects.append(
            SendDatagram(vm_id=member.vm_id, address=member.peer_address, message=query)
        )

    def _handle_query(self, message: ConfigurationQuery, sender: VmId, address: str) -> None:
        """Record the sender's revision and reply with the held one."""
        self._peer_revisions.forget_peer(sender)
        self._peer_revisions.record_revision(sender, message.revision)
        self._send_announcement(sender, address, message.sequence)

    def _handle_announce(self, message: ConfigurationAnnounce, sender: VmId, now_ms: int) -> None:
        """Record a peer's revision, and report a conflict if its content differs."""
        if self._startup_sync is not None and message.sequence:
            self._startup_sync.record_answer(sender, message.settled)
        own_digest = self._history.digest(message.revision)
        if own_digest and message.digest not in (0, own_digest):
            self._emit(self._validator.record_conflict(message.revision, sender))
        self._record_peer_revision(sender, message.revision, now_ms)

    def _record_peer_revision(self, vm_id: VmId, revision: Revision, now_ms: int) -> None:
        """Record a peer's revision: fetch a higher, reply to a lower, confirm the candidate."""
        self._last_contact_ms = now_ms
        self._peer_revisions.record_revision(vm_id, revision)
        if self._startup_sync is not None:
            return
        candidate = self._candidate
        if candidate is not None and revision >= candidate.revision:
            self._candidate = None
            self._apply_if_newer(candidate.revision, candidate.content, now_ms)
        member = self._members.get(vm_id)
        if revision < self._announced_revision() and member is not None:
            self._send_announcement(vm_id, member.peer_address)
        self._fetch(now_ms)

    def _evaluate_service_content(self, revision: Revision, content: bytes, now_ms: int) -> None:
        """Apply the service's newer configuration once a peer confirms it or after a timeout."""
        if revision < self.highest_known:
            self._emit(self._validator.record_service_behind(revision, self.highest_known))
            return
        self._validator.clear_service_behind()
        if revision == self._applied_revision:
            if digest_content(content) != self._history.digest(revision):
                self._emit(self._validator.record_conflict(revision, None))
            return
        if self._candidate is not None and revision <= self._candidate.revision:
            return
        if not self._is_valid(revision, content):
            return
        if self._peer_revisions.count_holding(revision) or not self._has_peers():
            self._apply(revision, content, now_ms)
            return
        self._history.add(revision, content)
        deadline_ms = now_ms + self._limits.confirmation_timeout_ms
        self._candidate = _Candidate(revision=revision, content=content, deadline_ms=deadline_ms)
        for member in self._select_peers(self._limits.confirming_peers, now_ms):
            self._send_announcement(member.vm_id, member.peer_address)

    def _apply_if_newer(self, revision: Revision, content: bytes, now_ms: int) -> None:
        """Apply a configuration if it is valid and newer than the applied one."""
        is_first = self._applied_revision == NO_REVISION
        if revision <= self._applied_revision or (
            is_first and revision < self._peer_revisions.highest
        ):
            return
        if self._is_valid(revision, content):
            self._apply(revision, content, now_ms)

    def _apply(self, revision: Revision, content: bytes, now_ms: int) -> None:
        """Apply a configuration and start announcing it."""
        self._applied_revision = revision
        self._history.add(revision, content)
        if self._candidate is not None and self._candidate.revision <= revision:
            self._candidate = None
        self._effects.append(ApplyConfiguration(revision=revision, content=content))
        self._peer_revisions.retain(self._members)
        self._announcer.start_rounds(now_ms)

    def _is_valid(self, revision: Revision, content: bytes) -> bool:
        """Return whether a configuration is valid; a refusal is stored."""
        if revision in self._validator.refused_revisions:
            return False
        refusal = self._validator.validate(revision, content)
        if refusal is None:
            return True
        self._peer_revisions.forget_refused(self._validator.refused_revisions)
        self._service_revision = NO_REVISION if revision != self._service_revision else revision
        self._effects.append(refusal)
        return False

    def _emit(self, effect: ConfigurationEffect | None) -> None:
        if effect is not None:
            self._effects.append(effect)
