"""Checks that need more than one place of the tree."""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from typing import Final

from wagtailusher_core import WorkspaceId
from wagtailusher_settings.document import Path
from wagtailusher_settings.policy import DEFAULT_POLICY, NO_OVERRIDES, UNSET, PolicyOverrides, Unset
from wagtailusher_settings.settings import merge_route
from wagtailusher_settings.tree import EMPTY_ROUTE, FleetNode, RouteNode, WorkspaceNode

Fault = tuple[Path, str]

_CHECKED_KEYS: Final = ("share", "first_token_target_ms", "answer_target_ms")
_NO_WORKSPACE = WorkspaceNode()


def check_fleet(fleet: FleetNode) -> Iterator[Fault]:
    """Yield the faults of the routes at fleet level."""
    for route_id in fleet.routes:
        yield from _check_route(("fleet",), route_id, fleet, _NO_WORKSPACE)


def check_workspace(
    workspace_id: WorkspaceId, node: WorkspaceNode, fleet: FleetNode
) -> Iterator[Fault]:
    """Yield the faults of a workspace that it doesn't merely inherit."""
    changes_checked_keys = any(getattr(node.overrides, name) is not UNSET for name in _CHECKED_KEYS)
    inherited = fleet.routes if changes_checked_keys else {}
    for route_id in dict.fromkeys([*inherited, *node.routes]):
        yield from _check_route(("workspaces", workspace_id), route_id, fleet, node)


def check_api_keys(workspaces: Mapping[WorkspaceId, WorkspaceNode]) -> Iterator[Fault]:
    """Yield the API keys that two workspaces share."""
    owners: dict[bytes, WorkspaceId] = {}
    for workspace_id, node in workspaces.items():
        for index, digest in enumerate(node.api_key_digests):
            owner = owners.setdefault(digest, workspace_id)
            if owner != workspace_id:
                path: Path = ("workspaces", workspace_id, "api_key_sha256", index)
                yield path, f"workspace {owner} has the same API key"


def _check_route(
    place: Path, route_id: str, fleet: FleetNode, node: WorkspaceNode
) -> Iterator[Fault]:
    """Yield the faults of one route as one place has it."""
    path: Path = (*place, "routes", route_id)
    base = fleet.routes.get(route_id, EMPTY_ROUTE)
    own = node.routes.get(route_id, EMPTY_ROUTE)
    route = merge_route(route_id, base, own)
    if (own.models or base.models) and (own.service or base.service):
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
    yield from _check_values(path, base, own, fleet, node, route.class_ids)


def _check_values(
    path: Path,
    base: RouteNode,
    own: RouteNode,
    fleet: FleetNode,
    node: WorkspaceNode,
    class_ids: tuple[str, ...],
) -> Iterator[Fault]:
    """Yield the faults of effective values that depend on one another."""
    shares = 0.0
    for class_id in class_ids:
        levels = (
            own.classes.get(class_id, NO_OVERRIDES),
            base.classes.get(class_id, NO_OVERRIDES),
            own.overrides,
            base.overrides,
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
