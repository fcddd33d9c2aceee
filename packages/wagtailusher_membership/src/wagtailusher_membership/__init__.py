"""Fleet membership, failure suspicion and configuration spread, without sockets."""

from __future__ import annotations

from wagtailusher_membership.decider import MembershipDecider
from wagtailusher_membership.effects import (
    Effect,
    MemberChanged,
    RevisionHint,
    Send,
    Superseded,
)
from wagtailusher_membership.limits import MembershipLimits
from wagtailusher_membership.member import Member

__all__ = [
    "Effect",
    "Member",
    "MemberChanged",
    "MembershipDecider",
    "MembershipLimits",
    "RevisionHint",
    "Send",
    "Superseded",
]
