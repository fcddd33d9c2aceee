"""Differences between two revisions, in their documents and in effective values."""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from dataclasses import dataclass, fields
from typing import Any

from wagtailusher_core import ClassKey, WorkspaceId
from wagtailusher_settings.errors import UnknownKeyError
from wagtailusher_settings.policy import FLEET_KEYS, ClassPolicy, PolicyOverrides
from wagtailusher_settings.settings import Settings
from wagtailusher_settings.tree import FleetNode, RouteNode, WorkspaceNode


@dataclass(frozen=True, slots=True, kw_only=True)
class Change:
    """A key whose value differs; None means that the key is not set."""

    key: str
    old: Any
    new: Any


@dataclass(frozen=True, slots=True, kw_only=True)
class PolicyChange:
    """A class of a workspace whose effective values differ.

    `old` is None for an added class, `new` for a removed one.
    """

    key: ClassKey
    route_id: str
    old: ClassPolicy | None
    new: ClassPolicy | None
    changes: tuple[Change, ...]


def diff_settings(old: Settings, new: Settings) -> tuple[Change, ...]:
    """Return every key of the documents that differs, in the order of their paths."""
    changes = list(_compare(_flatten_fleet(old.fleet_node), _flatten_fleet(new.fleet_node)))
    for workspace_id in sorted(old.workspaces.keys() | new.workspaces.keys()):
        before = old.workspaces.get(workspace_id)
        after = new.workspaces.get(workspace_id)
        if before == after:
            continue
        changes += _compare(
            _flatten_workspace(workspace_id, before), _flatten_workspace(workspace_id, after)
        )
    return tuple(changes)


def diff_policies(old: Settings, new: Settings) -> Iterator[PolicyChange]:
    """Yield every class whose effective values differ between two revisions."""
    same_fleet = old.fleet_node == new.fleet_node
    for workspace_id in sorted(old.workspaces.keys() | new.workspaces.keys()):
        if same_fleet and old.workspaces.get(workspace_id) == new.workspaces.get(workspace_id):
            continue
        before = _policies_by_class(old, workspace_id)
        after = _policies_by_class(new, workspace_id)
        for route_and_class in sorted(before.keys() | after.keys()):
            change = _compare_policies(
                route_and_class, before.get(route_and_class), after.get(route_and_class)
            )
            if change is not None:
                yield change


def _policies_by_class(
    settings: Settings, workspace_id: WorkspaceId
) -> Mapping[tuple[str, ClassKey], ClassPolicy]:
    """Return a workspace's effective values by route and class."""
    try:
        policies = list(settings.policies_of(workspace_id))
    except UnknownKeyError:
        return {}
    return {(policy.route_id, policy.key): policy for policy in policies}


def _compare_policies(
    route_and_class: tuple[str, ClassKey], old: ClassPolicy | None, new: ClassPolicy | None
) -> PolicyChange | None:
    """Return the difference between two effective policies, or None if they are equal."""
    if old == new:
        return None
    route_id, key = route_and_class
    changes = tuple(
        Change(key=item.name, old=getattr(old, item.name, None), new=getattr(new, item.name, None))
        for item in fields(ClassPolicy)
        if item.name not in ("key", "route_id")
        and getattr(old, item.name, None) != getattr(new, item.name, None)
    )
    return PolicyChange(key=key, route_id=route_id, old=old, new=new, changes=changes)


def _compare(old: Mapping[str, Any], new: Mapping[str, Any]) -> Iterator[Change]:
    """Yield the keys whose values differ."""
    for key in sorted(old.keys() | new.keys()):
        if old.get(key) != new.get(key) or (key in old) != (key in new):
            yield Change(key=key, old=old.get(key), new=new.get(key))


def _flatten_fleet(node: FleetNode) -> dict[str, Any]:
    """Return the values set at the root and in the fleet's routes."""
    values = {f"fleet.{name}": getattr(node.policy, name) for name in FLEET_KEYS}
    set_values = {key: values[key] for key in values if key[6:] in node.set_keys}
    set_values.update(_flatten_policy("fleet", node.overrides))
    set_values.update(_flatten_routes("fleet", node.routes))
    return set_values


def _flatten_workspace(workspace_id: WorkspaceId, node: WorkspaceNode | None) -> dict[str, Any]:
    """Return the values that a workspace sets."""
    if node is None:
        return {}
    path = f"workspaces.{workspace_id}"
    values: dict[str, Any] = {path: "present"}
    if node.api_key_digests:
        values[f"{path}.api_key_sha256"] = [digest.hex() for digest in node.api_key_digests]
    values.update(_flatten_policy(path, node.overrides))
    values.update(_flatten_routes(path, node.routes))
    return values


def _flatten_routes(path: str, routes: Mapping[str, RouteNode]) -> dict[str, Any]:
    """Return the values that routes and their classes set."""
    values: dict[str, Any] = {}
    for route_id, route in routes.items():
        route_path = f"{path}.routes.{route_id}"
        route_values: dict[str, Any] = {
            "models": route.models,
            "service": route.service,
            "default_class": route.default_class,
        }
        values.update(
            {
                f"{route_path}.{key}": value
                for key, value in route_values.items()
                if value is not None
            }
        )
        values.update(_flatten_policy(route_path, route.overrides))
        for class_id, overrides in route.classes.items():
            values[f"{route_path}.classes.{class_id}"] = "present"
            values.update(_flatten_policy(f"{route_path}.classes.{class_id}", overrides))
    return values


def _flatten_policy(path: str, overrides: PolicyOverrides) -> dict[str, Any]:
    """Return the policy values set at one path."""
    return {f"{path}.{name}": value for name, value in overrides.set_values()}
