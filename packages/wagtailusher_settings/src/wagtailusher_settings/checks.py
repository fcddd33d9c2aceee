"""Checks of values that depend on one another, across levels of the tree."""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from typing import Final

from wagtailusher_core import WorkspaceId
from wagtailusher_settings.document import Path
from wagtailusher_settings.policy import DEFAULT_POLICY, NO_OVERRIDES, UNSET, PolicyOverrides, Unset
from wagtailusher_settings.settings import merge_route
from wagtailusher_settings.tree import EMPTY_ROUTE, FleetNode, RouteNode, WorkspaceNode

ValidationFault = tuple[Path, str]

_CHECKED_KEYS: Final = ("share", "first_token_target_ms", "answer_target_ms")
_NO_WORKSPACE = WorkspaceNode()


def check_fleet(fleet: FleetNode) -> Iterator[ValidationFault]:
    """Yield the faults of fleet-level routes."""
    for route_id in fleet.routes:
        yield from _check_route(("fleet",), route_id, fleet, _NO_WORKSPACE)


def check_workspace(
    workspace_id: WorkspaceId, node: WorkspaceNode, fleet: FleetNode
) -> Iterator[ValidationFault]:
    """Yield the faults caused by a workspace's own values, without those it only inherits."""
    changes_checked_keys = any(getattr(node.overrides, name) is not UNSET for name in _CHECKED_KEYS)
    inherited = fleet.routes if changes_checked_keys else {}
    for route_id in dict.fromkeys([*inherited, *node.routes]):
        yield from _check_route(("workspaces", workspace_id), route_id, fleet, node)


def check_api_keys(workspaces: Mapping[WorkspaceId, WorkspaceNode]) -> Iterator[ValidationFault]:
    """Yield a fault for each API key that another workspace has too."""
    owners: dict[bytes, WorkspaceId] = {}
    for workspace_id, node in workspaces.items():
        for index, digest in enumerate(node.api_key_digests):
            owner = owners.setdefault(digest, workspace_id)
            if owner != workspace_id:
                path: Path = ("workspaces", workspace_id, "api_key_sha256", index)
                yield path, f"workspace {owner} has the same API key"


def _check_route(
    parent_path: Path, route_id: str, fleet: FleetNode, node: WorkspaceNode
) -> Iterator[ValidationFault]:
    """Yield the faults of one route of the fleet or of a workspace."""
    path: Path = (*parent_path, "routes", route_id)
    fleet_route = fleet.routes.get(route_id, EMPTY_ROUTE)
    workspace_route = node.routes.get(route_id, EMPTY_ROUTE)
    route = merge_route(route_id, fleet_route, workspace_route)
    if (workspace_route.models or fleet_route.models) and (
        workspace_route.service or fleet_route.service
    ):
        yield path, "a route has either models or a service"
    if not route.pool_ids:
        yield path, "a route needs models or a service"
    if not route.class_ids:
        yield path, "a route needs a class"
        return
    if route.default_class is None:
        yield path, "a route with several classes needs default_class"
    elif route.default_class not in route.class_ids:
        yield (*path, "default_class"), f"there is no class {route.default_class}"
    yield from _check_values(path, fleet_route, workspace_route, fleet, node, route.class_ids)


def _check_values(
    path: Path,
    fleet_route: RouteNode,
    workspace_route: RouteNode,
    fleet: FleetNode,
    node: WorkspaceNode,
    class_ids: tuple[str, ...],
) -> Iterator[ValidationFault]:
    """Yield the faults of effective values that depend on one another."""
    shares = 0.0
    for class_id in class_ids:
        levels = (
            workspace_route.classes.get(class_id, NO_OVERRIDES),
            fleet_route.classes.get(class_id, NO_OVERRIDES),
            workspace_route.overrides,
            fleet_route.overrides,
            node.overrides,
            fleet.overrides,
            DEFAULT_POLICY,
        )
        share, first_token_ms, answer_ms = (_first_set(name, levels) for name in _CHECKED_KEYS)
        shares += share
        if first_token_ms > answer_ms:
            key = (*path, "classes", class_id, "first_token_target_ms")
            yield key, "the effective value is above the effective answer_target_ms"
    if shares > 1.0 + 1e-9:
        yield (*path, "classes"), f"the shares of the classes add up to {shares:g}, above 1"


def _first_set(name: str, levels: tuple[PolicyOverrides, ...]) -> float:
    """Return a key's value at the first level that sets it."""
    for overrides in levels:
        value: float | Unset = getattr(overrides, name)
        if not isinstance(value, Unset):
            return value
    raise LookupError(name)
