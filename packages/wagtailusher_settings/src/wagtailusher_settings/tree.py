"""The tree of settings as compact data classes."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any

from wagtailusher_core import FailureDomainId, PoolId
from wagtailusher_settings.policy import (
    FLEET_KEYS,
    NO_OVERRIDES,
    POLICY_KEYS,
    FleetPolicy,
    PolicyOverrides,
)
from wagtailusher_settings.schema import FleetModel, PolicyModel, RouteModel, WorkspaceModel


@dataclass(frozen=True, slots=True, kw_only=True)
class RouteNode:
    """A route at fleet level, or a workspace's own part of one."""

    overrides: PolicyOverrides = NO_OVERRIDES
    models: tuple[PoolId, ...] | None = None
    service: PoolId | None = None
    default_class: str | None = None
    classes: Mapping[str, PolicyOverrides] = field(default_factory=dict)


@dataclass(frozen=True, slots=True, kw_only=True)
class WorkspaceNode:
    """A workspace's own values and routes."""

    overrides: PolicyOverrides = NO_OVERRIDES
    api_key_digests: tuple[bytes, ...] = ()
    routes: Mapping[str, RouteNode] = field(default_factory=dict)


@dataclass(frozen=True, slots=True, kw_only=True)
class FleetNode:
    """The fleet-level values and routes, the root of the tree."""

    overrides: PolicyOverrides = NO_OVERRIDES
    policy: FleetPolicy = FleetPolicy()
    set_keys: frozenset[str] = frozenset()
    routes: Mapping[str, RouteNode] = field(default_factory=dict)


NO_ROUTES: Mapping[str, RouteNode] = {}
NO_CLASSES: Mapping[str, PolicyOverrides] = {}
EMPTY_ROUTE = RouteNode(classes=NO_CLASSES)


def build_overrides(model: PolicyModel) -> PolicyOverrides:
    """Return the policy values that a model sets explicitly."""
    names = [name for name in POLICY_KEYS if name in model.model_fields_set]
    if not names:
        return NO_OVERRIDES
    values: dict[str, Any] = {name: getattr(model, name) for name in names}
    return PolicyOverrides(**values)


def build_route(model: RouteModel) -> RouteNode:
    """Return the compact form of a route."""
    classes = {name: build_overrides(child) for name, child in model.classes.items()}
    return RouteNode(
        overrides=build_overrides(model),
        models=tuple(map(PoolId, model.models)) or None,
        service=PoolId(model.service) if model.service else None,
        default_class=model.default_class or None,
        classes=classes or NO_CLASSES,
    )


def build_workspace(model: WorkspaceModel) -> WorkspaceNode:
    """Return the compact form of a workspace."""
    routes = {name: build_route(child) for name, child in model.routes.items()}
    return WorkspaceNode(
        overrides=build_overrides(model),
        api_key_digests=tuple(bytes.fromhex(digest) for digest in model.api_key_sha256),
        routes=routes or NO_ROUTES,
    )


def build_fleet(model: FleetModel) -> FleetNode:
    """Return the compact form of the fleet level."""
    set_keys = frozenset(FLEET_KEYS) & model.model_fields_set
    values: dict[str, Any] = {name: getattr(model, name) for name in set_keys}
    values["drained_domains"] = frozenset(map(FailureDomainId, model.drained_domains))
    return FleetNode(
        overrides=build_overrides(model),
        policy=FleetPolicy(**values),
        set_keys=set_keys,
        routes={name: build_route(child) for name, child in model.routes.items()},
    )
