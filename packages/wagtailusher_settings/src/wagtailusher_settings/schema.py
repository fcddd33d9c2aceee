"""The validated form of a settings document, as written by operators."""

from __future__ import annotations

from typing import Annotated

from pydantic import BaseModel, ConfigDict, Field, StringConstraints

from wagtailusher_settings.const import LOWEST_TIER, MAX_BODY_BYTES, MAX_REVISION, MAX_TIME_MS
from wagtailusher_settings.policy import DeadlineBehaviour

Name = Annotated[str, StringConstraints(pattern=r"^[A-Za-z0-9][A-Za-z0-9_-]{0,62}$")]
PoolName = Annotated[str, StringConstraints(pattern=r"^[A-Za-z0-9][A-Za-z0-9._/:-]{0,126}$")]
Sha256 = Annotated[str, StringConstraints(pattern=r"^[0-9a-f]{64}$")]
TimeMs = Annotated[int, Field(ge=1, le=MAX_TIME_MS)]
Share = Annotated[float, Field(ge=0.0, le=1.0)]


class SettingsModel(BaseModel):
    """Base of all parts of a document: strict types, no unknown keys, finite numbers."""

    model_config = ConfigDict(strict=True, extra="forbid", allow_inf_nan=False)


class PolicyModel(SettingsModel):
    """Policy values, each of which may be set at any level; the defaults here are not used."""

    tier: Annotated[int, Field(ge=0, le=LOWEST_TIER)] = 0
    first_token_target_ms: TimeMs = 1
    between_tokens_target_ms: TimeMs = 1
    answer_target_ms: TimeMs = 1
    deadline_behaviour: Annotated[DeadlineBehaviour, Field(strict=False)] = (
        DeadlineBehaviour.FAIL_FAST
    )
    repeatable: bool = True
    queue_limit: Annotated[int, Field(ge=1, le=1_000_000)] = 1
    in_flight_quota: Annotated[int, Field(ge=1, le=1_000_000)] | None = None
    share: Share = 0.0
    weight: Annotated[float, Field(gt=0.0, le=1_000.0)] = 1.0
    max_attempts: Annotated[int, Field(ge=1, le=10)] = 1


class ClassModel(PolicyModel):
    """A class of requests; the last level of the tree."""


class RouteModel(PolicyModel):
    """A route to models or to one plain service, and its classes."""

    models: Annotated[list[PoolName], Field(min_length=1)] = []
    service: PoolName = ""
    default_class: Name = ""
    classes: dict[Name, ClassModel] = {}


class WorkspaceModel(PolicyModel):
    """A workspace: its API keys, overrides, and added or overridden routes."""

    api_key_sha256: list[Sha256] = []
    routes: dict[Name, RouteModel] = {}


class FleetModel(PolicyModel):
    """The root of the tree."""

    drained_domains: list[PoolName] = []
    shutdown_grace_ms: TimeMs = 1
    address_lifetime_ms: TimeMs = 1
    silence_timeout_ms: TimeMs = 1
    max_body_bytes: Annotated[int, Field(ge=1, le=MAX_BODY_BYTES)] = 1
    ticket_lifetime_ms: TimeMs = 1
    trace_sample_share: Share = 0.0
    routes: dict[Name, RouteModel] = {}


class HeaderModel(SettingsModel):
    """The epoch and revision that order documents."""

    revision: Annotated[int, Field(ge=1, le=MAX_REVISION)]
    epoch: Annotated[int, Field(ge=0, le=MAX_REVISION)] = 0


class NameModel(SettingsModel):
    """The name of a workspace."""

    name: Name
