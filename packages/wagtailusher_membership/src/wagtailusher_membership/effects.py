"""What the deciders ask their daemon to do."""

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
    """A newer process of this VM is in the fleet; this one has to end.

    A process whose VM's clock is behind starts again with a higher incarnation than this.
    """

    incarnation: Incarnation


@dataclass(frozen=True, slots=True, kw_only=True)
class RevisionHint:
    """A peer holds this configuration."""

    vm_id: VmId
    revision: Revision


Effect = SendDatagram | MemberChanged | Superseded | RevisionHint
