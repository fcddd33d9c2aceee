"""Effects of the configuration decider, which the daemon carries out."""

from __future__ import annotations

from dataclasses import dataclass

from wagtailusher_core import Revision, VmId
from wagtailusher_membership.membership_effects import SendDatagram
from wagtailusher_wire import ContentRequest


@dataclass(frozen=True, slots=True, kw_only=True)
class ApplyConfiguration:
    """Apply a validated configuration."""

    revision: Revision
    content: bytes


@dataclass(frozen=True, slots=True, kw_only=True)
class ReadService:
    """Read or watch the service once for a revision other than this one."""

    since: Revision


@dataclass(frozen=True, slots=True, kw_only=True)
class FetchContent:
    """Request content from a peer over a stream."""

    vm_id: VmId
    address: str
    request: ContentRequest


@dataclass(frozen=True, slots=True, kw_only=True)
class ConfigurationRefused:
    """A configuration is invalid; the last valid one stays applied."""

    revision: Revision
    reason: str


@dataclass(frozen=True, slots=True, kw_only=True)
class ServiceBehind:
    """The service serves a lower revision than the fleet holds; an operator may raise the epoch."""

    offered: Revision
    held: Revision


@dataclass(frozen=True, slots=True, kw_only=True)
class ConfigurationConflict:
    """A peer or the service holds other content under the same revision."""

    revision: Revision
    source: VmId | None


@dataclass(frozen=True, slots=True, kw_only=True)
class StartupSyncCompleted:
    """The start-up wait is over; this node may serve once it holds a configuration.

    Not confirmed means that no peer that had completed its own wait answered in time.
    """

    confirmed: bool


ConfigurationEffect = (
    SendDatagram
    | ApplyConfiguration
    | ReadService
    | FetchContent
    | ConfigurationRefused
    | ServiceBehind
    | ConfigurationConflict
    | StartupSyncCompleted
)
