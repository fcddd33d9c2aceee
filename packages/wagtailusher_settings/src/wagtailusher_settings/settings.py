"""Effective values of one revision, and the levels of the tree that set them."""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass
from functools import lru_cache
from hashlib import sha256
from typing import Any

from wagtailusher_core import ClassId, ClassKey, ErrorCode, PoolId, Revision, WorkspaceId
from wagtailusher_settings.const import MAX_CACHED_POLICIES
from wagtailusher_settings.errors import UnknownKeyError
from wagtailusher_settings.policy import (
    DEFAULT_POLICY,
    FLEET_KEYS,
    NO_OVERRIDES,
    POLICY_KEYS,
    UNSET,
    ClassPolicy,
    FleetPolicy,
    PolicyOverrides,
)
from wagtailusher_settings.tree import EMPTY_ROUTE, FleetNode, RouteNode, WorkspaceNode


@dataclass(frozen=True, slots=True, kw_only=True)
class Inherited:
    """A value that one level of the tree sets for a key; one per key is effective."""

    key: str
    source: str
    value: Any
    effective: bool


@dataclass(frozen=True, slots=True, kw_only=True)
class MergedRoute:
    """A route of one workspace, with the values inherited from the fleet."""

    route_id: str
    pool_ids: tuple[PoolId, ...]
    is_service: bool
    default_class: str | None
    class_ids: tuple[str, ...]


class Settings:
    """The immutable settings of one accepted revision."""

    def __init__(
        self,
        *,
        revision: Revision,
        fleet: FleetNode,
        workspaces: Mapping[WorkspaceId, WorkspaceNode],
        digests: Mapping[WorkspaceId, bytes] | None = None,
        fleet_digest: bytes | None = None,
        content_digest: bytes = b"",
    ) -> None:
        self.revision = revision
        self.fleet: FleetPolicy = fleet.policy
        self.fleet_node = fleet
        self.workspaces = workspaces
        self.digests = digests or {}
        self.fleet_digest = fleet_digest
        self.content_digest = content_digest
        self._by_key = {
            digest: workspace_id
            for workspace_id, node in workspaces.items()
            for digest in node.api_key_digests
        }
        self._resolve = lru_cache(maxsize=MAX_CACHED_POLICIES)(self._resolve_uncached)

    @property
    def workspace_ids(self) -> Iterable[WorkspaceId]:
        """Return the workspaces in the order of the document."""
        return self.workspaces.keys()

    @property
    def model_ids(self) -> frozenset[PoolId]:
        """Return the models of all routes."""
        return frozenset(model for route in self._all_routes() for model in route.models or ())

    @property
    def service_ids(self) -> frozenset[PoolId]:
        """Return the plain services of all routes."""
        return frozenset(route.service for route in self._all_routes() if route.service)

    @property
    def route_ids(self) -> frozenset[str]:
        """Return the routes of the fleet and of all workspaces."""
        nodes: list[FleetNode | WorkspaceNode] = [self.fleet_node, *self.workspaces.values()]
        return frozenset(route_id for node in nodes for route_id in node.routes)

    def workspace_by_api_key(self, api_key: str) -> WorkspaceId:
        """Return the workspace that an API key belongs to."""
        workspace_id = self._by_key.get(sha256(api_key.encode()).digest())
        if workspace_id is None:
            raise UnknownKeyError("the API key is not known", code=ErrorCode.UNAUTHORIZED)
        return workspace_id

    def routes_of(self, workspace_id: WorkspaceId) -> tuple[str, ...]:
        """Return the routes that a workspace has, its own and inherited ones."""
        node = self._workspace(workspace_id)
        return tuple(dict.fromkeys([*self.fleet_node.routes, *node.routes]))

    def route(self, workspace_id: WorkspaceId, route_id: str) -> MergedRoute:
        """Return a route as a workspace has it."""
        return merge_route(
            route_id,
            self.fleet_node.routes.get(route_id),
            self._workspace(workspace_id).routes.get(route_id),
        )

    def resolve(
        self, *, workspace_id: WorkspaceId, route_id: str, class_id: ClassId | None = None
    ) -> ClassPolicy:
        """Return the effective values of a class, or of the route's default class."""
        return self._resolve(workspace_id, route_id, class_id)

    def policies(self) -> Iterator[ClassPolicy]:
        """Yield the effective values of every class of every workspace, uncached."""
        for workspace_id in self.workspaces:
            yield from self.policies_of(workspace_id)

    def policies_of(self, workspace_id: WorkspaceId) -> Iterator[ClassPolicy]:
        """Yield the effective values of every class of one workspace, uncached."""
        for route_id in self.routes_of(workspace_id):
            for class_id in self.route(workspace_id, route_id).class_ids:
                yield self._resolve_uncached(workspace_id, route_id, ClassId(class_id))

    def explain(self, path: str) -> tuple[Inherited, ...]:
        """Return what each level sets at a path, from root to leaf."""
        parts = path.split(".")
        if parts[0] == "fleet" and len(parts) == 2 and parts[1] in FLEET_KEYS:
            return self._explain_fleet(parts[1])
        names = POLICY_KEYS
        if parts[-1] in POLICY_KEYS:
            names = (parts.pop(),)
        levels = tuple(self._levels_of_path(parts, path))
        return tuple(item for name in names for item in _explain_key(name, levels))

    def levels(
        self, workspace_id: WorkspaceId | None, route_id: str | None, class_id: str | None
    ) -> Iterator[tuple[str, PolicyOverrides]]:
        """Yield the name and overrides of every level, least specific first."""
        node = None if workspace_id is None else self._workspace(workspace_id)
        workspace_path = f"workspaces.{workspace_id}"
        yield "default", DEFAULT_POLICY
        yield "fleet", self.fleet_node.overrides
        if node is not None:
            yield workspace_path, node.overrides
        if route_id is None:
            return
        inherited = self.fleet_node.routes.get(route_id, EMPTY_ROUTE)
        workspace_route = EMPTY_ROUTE if node is None else node.routes.get(route_id, EMPTY_ROUTE)
        yield f"fleet.routes.{route_id}", inherited.overrides
        yield f"{workspace_path}.routes.{route_id}", workspace_route.overrides
        if class_id is None:
            return
        leaf = f"routes.{route_id}.classes.{class_id}"
        yield f"fleet.{leaf}", inherited.classes.get(class_id, NO_OVERRIDES)
        yield f"{workspace_path}.{leaf}", workspace_route.classes.get(class_id, NO_OVERRIDES)

    def _resolve_uncached(
        self, workspace_id: WorkspaceId, route_id: str, class_id: ClassId | None
    ) -> ClassPolicy:
        """Return the effective values of a class."""
        route = self.route(workspace_id, route_id)
        wanted = class_id or route.default_class
        if wanted is None or wanted not in route.class_ids:
            reason = f"route {route_id} has no class {wanted}"
            raise UnknownKeyError(reason, code=ErrorCode.UNKNOWN_CLASS)
        levels = self.levels(workspace_id, route_id, wanted)
        values = effective_values(overrides for _, overrides in levels)
        return ClassPolicy(
            key=ClassKey(workspace_id, ClassId(wanted)),
            route_id=route_id,
            pool_ids=route.pool_ids,
            **values,
        )

    def _workspace(self, workspace_id: WorkspaceId) -> WorkspaceNode:
        """Return a workspace's node; raise UnknownKeyError if there is none."""
        node = self.workspaces.get(workspace_id)
        if node is None:
            reason = f"there is no workspace {workspace_id}"
            raise UnknownKeyError(reason, code=ErrorCode.UNKNOWN_WORKSPACE)
        return node

    def _all_routes(self) -> Iterator[RouteNode]:
        """Yield the routes of every level."""
        yield from self.fleet_node.routes.values()
        for node in self.workspaces.values():
            yield from node.routes.values()

    def _explain_fleet(self, name: str) -> tuple[Inherited, ...]:
        """Return the default and the set value of a fleet-wide key."""
        key = f"fleet.{name}"
        is_set = name in self.fleet_node.set_keys
        default = getattr(FleetPolicy(), name)
        first = Inherited(key=key, source="default", value=default, effective=not is_set)
        if not is_set:
            return (first,)
        value = getattr(self.fleet, name)
        return first, Inherited(key=key, source="fleet", value=value, effective=True)

    def _levels_of_path(self, parts: list[str], path: str) -> Iterator[tuple[str, PolicyOverrides]]:
        """Yield the levels that set values at a path."""
        match parts:
            case ["fleet", *rest]:
                workspace_id = None
            case ["workspaces", name, *rest]:
                workspace_id = WorkspaceId(name)
            case _:
                raise UnknownKeyError(f"the settings tree has no path {path}")
        match rest:
            case []:
                yield from self.levels(workspace_id, None, None)
            case ["routes", route_id]:
                self._check_exists(workspace_id, route_id, None)
                yield from self.levels(workspace_id, route_id, None)
            case ["routes", route_id, "classes", class_id]:
                self._check_exists(workspace_id, route_id, class_id)
                yield from self.levels(workspace_id, route_id, class_id)
            case _:
                raise UnknownKeyError(f"the settings tree has no path {path}")

    def _check_exists(
        self, workspace_id: WorkspaceId | None, route_id: str, class_id: str | None
    ) -> None:
        """Raise UnknownKeyError if the fleet or workspace lacks a route or class."""
        if workspace_id is None:
            route = merge_route(route_id, self.fleet_node.routes.get(route_id), None)
        else:
            route = self.route(workspace_id, route_id)
        if class_id is not None and class_id not in route.class_ids:
            reason = f"route {route_id} has no class {class_id}"
            raise UnknownKeyError(reason, code=ErrorCode.UNKNOWN_CLASS)


def merge_route(route_id: str, inherited: RouteNode | None, own: RouteNode | None) -> MergedRoute:
    """Return a workspace's route, merged from the fleet's and its own part."""
    if inherited is None and own is None:
        raise UnknownKeyError(f"there is no route {route_id}", code=ErrorCode.UNKNOWN_ROUTE)
    base = inherited or EMPTY_ROUTE
    workspace_route = own or EMPTY_ROUTE
    models = workspace_route.models or base.models
    service = workspace_route.service or base.service
    classes = tuple(dict.fromkeys([*base.classes, *workspace_route.classes]))
    only_class = classes[0] if len(classes) == 1 else None
    return MergedRoute(
        route_id=route_id,
        pool_ids=(service,) if service else models or (),
        is_service=service is not None,
        default_class=workspace_route.default_class or base.default_class or only_class,
        class_ids=classes,
    )


def effective_values(levels: Iterable[PolicyOverrides]) -> dict[str, Any]:
    """Return each policy value as set by the last level that sets it."""
    values: dict[str, Any] = {}
    for overrides in levels:
        if overrides is not NO_OVERRIDES:
            values.update(overrides.set_values())
    return values


def _explain_key(name: str, levels: tuple[tuple[str, PolicyOverrides], ...]) -> Iterator[Inherited]:
    """Yield each level's value of one key."""
    setters = [
        (source, getattr(overrides, name))
        for source, overrides in levels
        if getattr(overrides, name) is not UNSET
    ]
    last = len(setters) - 1
    for index, (source, value) in enumerate(setters):
        yield Inherited(key=name, source=source, value=value, effective=index == last)
