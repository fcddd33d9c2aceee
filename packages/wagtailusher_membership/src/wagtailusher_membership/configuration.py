"""How configurations reach every node and never go back."""

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
from wagtailusher_membership.delta import digest_content
from wagtailusher_membership.effects import SendDatagram
from wagtailusher_membership.history import ContentHistory
from wagtailusher_membership.holders import Holders, PendingFetch
from wagtailusher_membership.member import Member
from wagtailusher_membership.readers import Readers
from wagtailusher_membership.service_reads import ServiceReads
from wagtailusher_membership.settling import Settling
from wagtailusher_membership.verdicts import Validate, Verdicts
from wagtailusher_wire import (
    NO_REVISION,
    ConfigurationAnnounce,
    ConfigurationQuery,
    ContentAnswer,
    ContentRequest,
    Message,
)

_NO_SENDER = VmId("")
_TICK_MS = 100


@dataclass(frozen=True, slots=True, kw_only=True)
class _Offer:
    """A configuration that the service gave and no peer is known to hold yet."""

    revision: Revision
    content: bytes
    ends_at_ms: int = 0


class ConfigurationDecider:
    """Reads, spreads and applies configurations; the applied revision only goes up.

    The members are a live view, the platform's list among them. A floor is a revision that an
    operator knows to have been in force.
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
        """Start without a configuration, unsettled."""
        self._vm_id = vm_id
        self._failure_domain_id = failure_domain_id
        self._members = members
        self._limits = limits = limits or ConfigurationLimits()
        self._verdicts = Verdicts(validate, max_kept=limits.max_refused)
        rng = Random(seed)
        self._holders = Holders(rng, floor=floor)
        self._reads = ServiceReads(limits, rng)
        self._settling: Settling | None = Settling(limits)
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
        self._held = NO_REVISION
        self._seen_at_service = NO_REVISION
        self._offer: _Offer | None = None
        self._whole_next = False
        self._sequence = 0
        self._hint_at_ms = 0
        self._heard_ms: int | None = None
        self._effects: list[ConfigurationEffect] = []

    @property
    def revision(self) -> Revision:
        """Return the revision in force."""
        return self._held

    @property
    def highest_known(self) -> Revision:
        """Return the highest revision that any peer told; nothing lower is applied."""
        return max(self._held, self._holders.highest)

    @property
    def is_startup_synced(self) -> bool:
        """Return whether the wait for peers at the start is over."""
        return self._settling is None

    def time_since_contact_ms(self, now_ms: int) -> int:
        """Return for how long neither a peer nor the service gave a sign of life.

        The configuration in force may be out of date by as much, without this node knowing.
        """
        return 0 if self._heard_ms is None else now_ms - self._heard_ms

    def is_reader(self, now_ms: int) -> bool:
        """Return whether this node reads the service for its failure domain."""
        return self._readers.is_reader(now_ms)

    def next_due_ms(self, now_ms: int) -> int:
        """Return when to tick next."""
        return now_ms + _TICK_MS

    def tick(self, now_ms: int) -> tuple[ConfigurationEffect, ...]:
        """Do what is due."""
        if self._heard_ms is None:
            self._heard_ms = now_ms
        if self._settling is not None:
            self._settle(self._settling, now_ms)
        self._expire(now_ms)
        self._read(now_ms)
        self._fetch(now_ms)
        self._announce(now_ms)
        return self._drain()

    def handle(
        self, message: Message, now_ms: int, *, sender: VmId = _NO_SENDER, address: str = ""
    ) -> tuple[ConfigurationEffect, ...]:
        """Take a message in; sender and address are of the authenticated datagram."""
        if isinstance(message, ConfigurationAnnounce):
            self._on_announce(message, sender, now_ms)
        elif isinstance(message, ConfigurationQuery):
            self._on_query(message, sender, address)
        return self._drain()

    def observe_revision(
        self, revision: Revision, now_ms: int, *, sender: VmId = _NO_SENDER
    ) -> tuple[ConfigurationEffect, ...]:
        """Take in a revision that came along with other traffic.

        Without an authenticated peer as its sender it only makes this node ask its peers.
        """
        if sender:
            self._learn(sender, revision, now_ms)
        elif revision > self.highest_known and now_ms >= self._hint_at_ms:
            self._hint_at_ms = now_ms + self._limits.hint_interval_ms
            self._reads.hurry(now_ms)
            for member in self._announcer.sample(self._limits.announce_fanout):
                self._query(member)
        return self._drain()

    def handle_service_content(
        self, revision: Revision, content: bytes, now_ms: int
    ) -> tuple[ConfigurationEffect, ...]:
        """Take in what the service serves."""
        self._reads.answered(now_ms)
        self._heard_ms = now_ms
        self._seen_at_service = revision
        if self._settling is not None:
            if self._offer is None or revision > self._offer.revision:
                self._offer = _Offer(revision=revision, content=content)
        else:
            self._consider(revision, content, now_ms)
        return self._drain()

    def handle_service_unchanged(self, now_ms: int) -> None:
        """Note that a watch ended without a change."""
        self._reads.answered(now_ms)
        self._heard_ms = now_ms

    def handle_service_failure(self, now_ms: int) -> None:
        """Note that the service can't be read."""
        self._reads.failed(now_ms)

    def answer_content_request(
        self, request: ContentRequest, now_ms: int, *, sender: VmId = _NO_SENDER
    ) -> ContentAnswer | None:
        """Return the content for a peer that asks over a stream; None when there is none."""
        revision = self._told_revision()
        if revision == NO_REVISION or revision <= request.have:
            return None
        return self._history.answer(request, revision)

    def handle_fetch_result(
        self, answer: ContentAnswer, now_ms: int, *, sender: VmId
    ) -> tuple[ConfigurationEffect, ...]:
        """Take in a peer's content; it may come after another peer was asked."""
        pending = self._holders.pending
        is_awaited = pending is not None and pending.sequence == answer.sequence
        if is_awaited:
            self._holders.pending = None
        content = self._history.build(answer)
        if content is not None:
            self._whole_next = False
            self._accept(answer.revision, content, now_ms)
            self._thank(sender)
        elif is_awaited:
            self._whole_next = True
            self._holders.failed(sender)
        self._fetch(now_ms)
        return self._drain()

    def handle_fetch_failure(self, sequence: int, now_ms: int) -> tuple[ConfigurationEffect, ...]:
        """Note that a peer didn't give content; another is asked."""
        pending = self._holders.pending
        if pending is not None and pending.sequence == sequence:
            self._holders.failed(pending.vm_id)
            self._fetch(now_ms)
        return self._drain()

    def _drain(self) -> tuple[ConfigurationEffect, ...]:
        """Return the effects since the last call."""
        effects = tuple(self._effects)
        self._effects.clear()
        return effects

    def _told_revision(self) -> Revision:
        """Return the revision that this node can give to others."""
        if self._settling is None and self._offer is not None:
            return max(self._held, self._offer.revision)
        return self._held

    def _companions(self, count: int, now_ms: int) -> list[Member]:
        """Return the readers of this failure domain, filled up with random members."""
        near = self._readers.running(now_ms)[:count]
        known = frozenset(member.vm_id for member in near)
        return near + self._announcer.sample(count - len(near), known)

    def _settle(self, settling: Settling, now_ms: int) -> None:
        """Ask peers, and end the wait when it is over."""
        if settling.is_due(now_ms):
            companions = self._companions(self._limits.settle_peers, now_ms)
            for vm_id in settling.ask((member.vm_id for member in companions), now_ms):
                if vm_id in self._members:
                    self._query(self._members[vm_id])
        if not settling.is_over(now_ms):
            return
        self._settling = None
        self._effects.append(StartupSyncCompleted(confirmed=settling.confirmed))
        offer, self._offer = self._offer, None
        if offer is not None:
            self._consider(offer.revision, offer.content, now_ms)

    def _expire(self, now_ms: int) -> None:
        """End a fetch or a wait for a witness that takes too long."""
        pending = self._holders.pending
        if pending is not None and now_ms >= pending.ends_at_ms:
            self._holders.failed(pending.vm_id)
        offer = self._offer
        if offer is not None and self._settling is None and now_ms >= offer.ends_at_ms:
            self._offer = None
            self._accept(offer.revision, offer.content, now_ms)

    def _read(self, now_ms: int) -> None:
        """Call the service, as a reader or as a node that no peer helps."""
        if self.is_reader(now_ms):
            if self._reads.may_read(now_ms):
                self._effects.append(ReadService(since=self._seen_at_service))
            return
        is_served = self._held != NO_REVISION and self._has_peers()
        if self._settling is not None or is_served:
            return
        listed = sum(member.is_listed for member in self._members.values())
        if self._reads.may_read_alone(now_ms, listed):
            self._effects.append(ReadService(since=self._seen_at_service))

    def _has_peers(self) -> bool:
        """Return whether any other member is believed to run."""
        return bool(self._announcer.sample(1))

    def _fetch(self, now_ms: int) -> None:
        """Fetch the highest known configuration, unless a fetch is under way."""
        holders = self._holders
        if self._settling is not None or holders.pending is not None:
            return
        holder = holders.choose(
            self._told_revision(), self._members, self._failure_domain_id, self._verdicts.refused
        )
        if holder is None:
            return
        self._sequence += 1
        have = NO_REVISION if self._whole_next else self._held
        limits = self._limits
        is_whole = have == NO_REVISION
        holders.pending = PendingFetch(
            vm_id=holder.vm_id,
            sequence=self._sequence,
            ends_at_ms=now_ms
            + (limits.whole_fetch_timeout_ms if is_whole else limits.fetch_timeout_ms),
        )
        request = ContentRequest(
            have=have, have_digest=self._history.digest(have), sequence=self._sequence
        )
        self._effects.append(
            FetchContent(vm_id=holder.vm_id, address=holder.peer_address, request=request)
        )

    def _announce(self, now_ms: int) -> None:
        """Tell others what this node holds."""
        if self._settling is not None:
            return
        revision = self._told_revision()
        reads = self.is_reader(now_ms)
        for member in self._announcer.targets(revision, self._holders, reads, now_ms):
            self._tell(member.vm_id, member.peer_address)

    def _tell(self, vm_id: VmId, address: str, sequence: int = 0) -> None:
        """Announce what this node holds to one peer."""
        revision = self._told_revision()
        message = ConfigurationAnnounce(
            revision=revision,
            digest=self._history.digest(revision),
            settled=self._settling is None,
            sequence=sequence,
        )
        self._effects.append(SendDatagram(vm_id=vm_id, address=address, message=message))

    def _thank(self, vm_id: VmId) -> None:
        """Tell a peer that its content arrived; it may wait for a witness."""
        member = self._members.get(vm_id)
        if member is not None:
            self._tell(vm_id, member.peer_address)

    def _query(self, member: Member) -> None:
        """Ask a member for its revision."""
        self._sequence += 1
        query = ConfigurationQuery(revision=self._held, sequence=self._sequence)
        self._effects.append(
            SendDatagram(vm_id=member.vm_id, address=member.peer_address, message=query)
        )

    def _on_query(self, message: ConfigurationQuery, sender: VmId, address: str) -> None:
        """Answer with what this node holds."""
        self._holders.restarted(sender)
        self._holders.note(sender, message.revision)
        self._tell(sender, address, message.sequence)

    def _on_announce(self, message: ConfigurationAnnounce, sender: VmId, now_ms: int) -> None:
        """Learn what a peer holds."""
        if self._settling is not None and message.sequence:
            self._settling.answer(sender, message.settled)
        own_digest = self._history.digest(message.revision)
        if own_digest and message.digest not in (0, own_digest):
            self._emit(self._verdicts.conflict(message.revision, sender))
        self._learn(sender, message.revision, now_ms)

    def _learn(self, vm_id: VmId, revision: Revision, now_ms: int) -> None:
        """Note a peer's revision: fetch a higher, answer a lower, count a witness."""
        self._heard_ms = now_ms
        self._holders.note(vm_id, revision)
        if self._settling is not None:
            return
        offer = self._offer
        if offer is not None and revision >= offer.revision:
            self._offer = None
            self._accept(offer.revision, offer.content, now_ms)
        member = self._members.get(vm_id)
        if revision < self._told_revision() and member is not None:
            self._tell(vm_id, member.peer_address)
        self._fetch(now_ms)

    def _consider(self, revision: Revision, content: bytes, now_ms: int) -> None:
        """Take the service's configuration if it is newer; a peer has to know it first."""
        if revision < self.highest_known:
            self._emit(self._verdicts.behind(revision, self.highest_known))
            return
        self._verdicts.service_caught_up()
        if revision == self._held:
            if digest_content(content) != self._history.digest(revision):
                self._emit(self._verdicts.conflict(revision, None))
            return
        if self._offer is not None and revision <= self._offer.revision:
            return
        if not self._is_valid(revision, content):
            return
        if self._holders.count(revision) or not self._has_peers():
            self._put_in_force(revision, content, now_ms)
            return
        self._history.add(revision, content)
        ends_at_ms = now_ms + self._limits.witness_timeout_ms
        self._offer = _Offer(revision=revision, content=content, ends_at_ms=ends_at_ms)
        for member in self._companions(self._limits.witnesses, now_ms):
            self._tell(member.vm_id, member.peer_address)

    def _accept(self, revision: Revision, content: bytes, now_ms: int) -> None:
        """Put a configuration in force if it is newer than what is held, and valid."""
        is_first = self._held == NO_REVISION
        if revision <= self._held or (is_first and revision < self._holders.highest):
            return
        if self._is_valid(revision, content):
            self._put_in_force(revision, content, now_ms)

    def _put_in_force(self, revision: Revision, content: bytes, now_ms: int) -> None:
        """Hold a configuration and tell others."""
        self._held = revision
        self._history.add(revision, content)
        if self._offer is not None and self._offer.revision <= revision:
            self._offer = None
        self._effects.append(ApplyConfiguration(revision=revision, content=content))
        self._holders.keep_only(self._members)
        self._announcer.begin(now_ms)

    def _is_valid(self, revision: Revision, content: bytes) -> bool:
        """Return whether a configuration is valid; a refusal is remembered."""
        if revision in self._verdicts.refused:
            return False
        refusal = self._verdicts.refuse(revision, content)
        if refusal is None:
            return True
        self._holders.forget_refused(self._verdicts.refused)
        self._seen_at_service = NO_REVISION if revision != self._seen_at_service else revision
        self._effects.append(refusal)
        return False

    def _emit(self, effect: ConfigurationEffect | None) -> None:
        """Add an effect where there is one."""
        if effect is not None:
            self._effects.append(effect)
