"""What the decider of configurations asks its daemon to do."""

from __future__ import annotations

from dataclasses import dataclass

from wagtailusher_core import Revision, VmId
from wagtailusher_membership.effects import SendDatagram
from wagtailusher_wire import ContentRequest


@dataclass(frozen=True, slots=True, kw_only=True)
class ApplyConfiguration:
    """Put a validated configuration in force."""

    revision: Revision
    content: bytes


@dataclass(frozen=True, slots=True, kw_only=True)
class ReadService:
    """Read or watch the service once for anything other than this revision."""

    since: Revision


@dataclass(frozen=True, slots=True, kw_only=True)
class FetchContent:
    """Ask a peer for content over a stream."""

    vm_id: VmId
    address: str
    request: ContentRequest


@dataclass(frozen=True, slots=True, kw_only=True)
class ConfigurationRefused:
    """A configuration isn't valid; the last good one stays in force."""

    revision: Revision
    reason: str


@dataclass(frozen=True, slots=True, kw_only=True)
class ServiceBehind:
    """The service serves a lower revision than the fleet holds; a person may raise the epoch."""

    offered: Revision
    held: Revision


@dataclass(frozen=True, slots=True, kw_only=True)
class ConfigurationConflict:
    """A peer or the service holds other content under the same revision."""

    revision: Revision
    source: VmId | None


@dataclass(frozen=True, slots=True, kw_only=True)
class StartupSyncCompleted:
    """This node may serve once it holds a configuration.

    Not confirmed means that no settled peer told its revision in time.
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
