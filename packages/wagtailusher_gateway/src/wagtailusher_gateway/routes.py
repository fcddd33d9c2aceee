"""Determines the route, workspace, service and rank of a request."""

from __future__ import annotations

from http import HTTPStatus

from xxhash import xxh3_64_intdigest

from wagtailusher_core import ErrorCode, WorkspaceId
from wagtailusher_gateway.exceptions import RefusedError
from wagtailusher_gateway.models import Configuration, RequestTerms, Route, Workspace


class RouteTable:
    """The routes of one configuration, by host and longest prefix."""

    def __init__(self, configuration: Configuration) -> None:
        self.configuration = configuration
        self._by_host: dict[str, list[Route]] = {}
        for route in sorted(configuration.routes, key=lambda route: -len(route.prefix)):
            self._by_host.setdefault(route.host.lower(), []).append(route)
        self._workspaces_by_id = {
            item.workspace_id: item for item in configuration.workspaces.values()
        }
        self._urgencies = _collect_urgencies(configuration)

    def match(self, host: str, path: str) -> Route:
        """Return the route with the longest prefix of the path, or raise RefusedError."""
        name = host.lower()
        routes = self._by_host.get(name) or self._by_host.get(name.partition(":")[0], [])
        found = next((route for route in routes if path.startswith(route.prefix)), None)
        if found is None:
            raise RefusedError(
                "no route matches this host and path",
                code=ErrorCode.UNKNOWN_ROUTE,
                status=HTTPStatus.NOT_FOUND,
            )
        return found

    def workspace(self, route: Route, api_key: str | None) -> Workspace | None:
        """Return the workspace of a key, or None if the route needs none.

        Raises RefusedError if the key is unknown.
        """
        if not self.configuration.has_workspaces:
            return None
        workspace = self.configuration.workspaces.get(api_key) if api_key is not None else None
        if workspace is None and not route.is_public:
            raise RefusedError(
                "the API key is unknown",
                code=ErrorCode.UNAUTHORIZED,
                status=HTTPStatus.UNAUTHORIZED,
            )
        return workspace

    def workspace_by_id(self, route: Route, workspace_id: WorkspaceId | None) -> Workspace | None:
        """Return a workspace whose key another VM has checked, None if the route needs none.

        Raises RefusedError if it is unknown here, or missing where the route needs one.
        """
        needs_none = route.is_public or not self.configuration.has_workspaces
        if workspace_id is None and needs_none:
            return None
        found = self._workspaces_by_id.get(workspace_id) if workspace_id is not None else None
        if found is None:
            raise RefusedError(
                "the workspace is unknown",
                code=ErrorCode.UNKNOWN_WORKSPACE,
                status=HTTPStatus.CONFLICT,
            )
        return found

    def rank(self, route: Route, workspace: Workspace | None, service: str) -> int:
        """Return a request's rank among all that its service may get, 0 being the most urgent.

        Endpoints order requests by one number only, so it has to tell apart all of them.
        """
        workspace_rank = workspace.rank if workspace is not None else None
        return self._urgencies[service].index(_urgency(route, workspace_rank))


def choose_service(route: Route, terms: RequestTerms) -> str:
    """Return the service of a request; requests with the same shared prompt get the same one."""
    if len(route.splits) == 1:
        return route.splits[0].service
    key = terms.shared_parts[-1].part_id if terms.shared_parts else terms.attempt_id
    point = xxh3_64_intdigest(key.encode()) % max(1, sum(split.weight for split in route.splits))
    for split in route.splits:
        point -= split.weight
        if point < 0:
            return split.service
    return route.splits[-1].service


def rank_counts(configuration: Configuration) -> dict[str, int]:
    """Return how many ranks requests for each service may have."""
    return {name: len(found) for name, found in _collect_urgencies(configuration).items()}


def _urgency(route: Route, workspace_rank: int | None) -> tuple[int, int]:
    """Return the sort key of a request: its workspace's rank, if any, precedes its route's."""
    return (route.rank if workspace_rank is None else workspace_rank, route.rank)


def _collect_urgencies(configuration: Configuration) -> dict[str, list[tuple[int, int]]]:
    """Return the sort keys that requests for each service may have, the most urgent first."""
    workspace_ranks = {None, *(item.rank for item in configuration.workspaces.values())}
    urgencies: dict[str, set[tuple[int, int]]] = {}
    for route in configuration.routes:
        for split in route.splits:
            urgencies.setdefault(split.service, set()).update(
                _urgency(route, workspace_rank) for workspace_rank in workspace_ranks
            )
    return {service: sorted(found) for service, found in urgencies.items()}
