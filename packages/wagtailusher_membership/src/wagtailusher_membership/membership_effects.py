"""Effects of the membership decider, which the daemon carries out."""

from __future__ import annotations

from dataclasses import dataclass

from wagtailusher_core import Incarnation, Revision, VmId
from wagtailusher_membership.member import Member
from wagtailusher_wire import Message


@dataclass(frozen=True, slots=True, kw_only=True)
class SendDatagram:
    """Send a message as one datagram to a VM's peer address."""

    vm_id: VmId
    address: str
    message: Message


@dataclass(frozen=True, slots=True, kw_only=True)
class MemberChanged:
    """A member was added, changed its state or was removed."""

    member: Member
    removed: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class Superseded:
    """A newer process of this VM is in the fleet; this process must stop.

    If the VM's clock is behind, the process restarts with a higher incarnation than this one.
    """

    incarnation: Incarnation


@dataclass(frozen=True, slots=True, kw_only=True)
class RevisionHint:
    """A peer holds this configuration revision, which differs from this node's."""

    vm_id: VmId
    revision: Revision


Effect = SendDatagram | MemberChanged | Superseded | RevisionHint
