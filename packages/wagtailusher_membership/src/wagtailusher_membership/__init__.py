"""Fleet membership, failure detection and configuration dissemination, without I/O."""

from __future__ import annotations

from wagtailusher_membership.address_selection import AddressChoice
from wagtailusher_membership.configuration import ConfigurationDecider
from wagtailusher_membership.configuration_effects import (
    ApplyConfiguration,
    ConfigurationConflict,
    ConfigurationEffect,
    ConfigurationRefused,
    FetchContent,
    ReadService,
    ServiceBehind,
    StartupSyncCompleted,
)
from wagtailusher_membership.configuration_limits import ConfigurationLimits
from wagtailusher_membership.configuration_validator import Validate
from wagtailusher_membership.decider import MembershipDecider
from wagtailusher_membership.limits import MembershipLimits
from wagtailusher_membership.member import Member
from wagtailusher_membership.membership_effects import (
    Effect,
    MemberChanged,
    RevisionHint,
    SendDatagram,
    Superseded,
)
from wagtailusher_membership.quota_limits import QuotaLimits
from wagtailusher_membership.summaries import FleetDemand, SummaryDecider, SummaryLimits

__all__ = [
    "AddressChoice",
    "ApplyConfiguration",
    "ConfigurationConflict",
    "ConfigurationDecider",
    "ConfigurationEffect",
    "ConfigurationLimits",
    "ConfigurationRefused",
    "Effect",
    "FetchContent",
    "FleetDemand",
    "Member",
    "MemberChanged",
    "MembershipDecider",
    "MembershipLimits",
    "QuotaLimits",
    "ReadService",
    "RevisionHint",
    "SendDatagram",
    "ServiceBehind",
    "StartupSyncCompleted",
    "SummaryDecider",
    "SummaryLimits",
    "Superseded",
    "Validate",
]
