"""The HTTP interface for operators and scrapers."""

from __future__ import annotations

from http import HTTPStatus
from typing import Protocol

from pydantic import BaseModel

from wagtailusher_core import ErrorCode, FailureDomainId, Incarnation, VmId
from wagtailusher_daemon.clock import monotonic_ms
from wagtailusher_daemon.const import PATH_HEALTH, PATH_METRICS, PATH_READY
from wagtailusher_daemon.fleet_sync import FleetSync
from wagtailusher_daemon.fleet_view import FleetView
from wagtailusher_daemon.metrics import EntryMetrics
from wagtailusher_daemon.node import RouterNode
from wagtailusher_daemon.operator_answers import (
    books_answer,
    drain_answer,
    endpoints_answer,
    member_answer,
    quarantine_answer,
    refusals_answer,
    request_answer,
    settings_answer,
)
from wagtailusher_daemon.options import EntryOptions
from wagtailusher_daemon.request_log import RequestLog
from wagtailusher_daemon.usage import UsageStats
from wagtailusher_http import Headers, HttpServer, Request, Response, error_response, json_response
from wagtailusher_operator.const import (
    PATH_BOOKS,
    PATH_DRAIN,
    PATH_ENDPOINTS,
    PATH_FLEET,
    PATH_QUARANTINE,
    PATH_REFUSALS,
    PATH_REQUEST,
    PATH_SETTINGS,
)
from wagtailusher_operator.models import (
    BooksAnswer,
    DrainAnswer,
    EndpointsAnswer,
    FleetAnswer,
    QuarantineAnswer,
    RefusalsAnswer,
    SettingsAnswer,
)

_DRAIN_PREFIX = PATH_DRAIN.partition("{")[0]
_REQUEST_PREFIX = PATH_REQUEST.partition("{")[0]


class OperatedApp(Protocol):
    """The parts of the daemon that the operator interface reads."""

    options: EntryOptions
    vm_id: VmId
    incarnation: Incarnation
    metrics: EntryMetrics
    request_log: RequestLog
    usage: UsageStats
    node: RouterNode
    view: FleetView
    fleet_sync: FleetSync | None
    caller_server: HttpServer | None

    @property
    def is_ready(self) -> bool:
        """Return whether this VM accepts requests."""

    @property
    def service_problem(self) -> str | None:
        """Return the current problem in reading the configuration service, or None."""


class OperatorApi:
    """Answers operators' and scrapers' requests about this VM and its view of the fleet."""

    def __init__(self, app: OperatedApp) -> None:
        self._app = app
        self._handlers = {
            PATH_FLEET: self._fleet,
            PATH_ENDPOINTS: self._endpoints,
            PATH_SETTINGS: self._settings,
            PATH_QUARANTINE: self._quarantine,
            PATH_REFUSALS: self._refusals,
            PATH_BOOKS: self._books,
        }

    async def async_handle(self, request: Request) -> Response:
        """Answer one request."""
        path = request.path
        if path == PATH_METRICS:
            server = self._app.caller_server
            if server is not None:
                self._app.metrics.set_callers(server.budget, server.closed_unused_count)
            return self._app.metrics.render(request.headers.get("accept") or "text/plain")
        if path == PATH_HEALTH:
            return json_response(HTTPStatus.OK, {"status": "alive"})
        if path == PATH_READY:
            status = HTTPStatus.OK if self._app.is_ready else HTTPStatus.SERVICE_UNAVAILABLE
            return json_response(status, {"ready": self._app.is_ready})
        handler = self._handlers.get(path)
        if handler is not None:
            return _model_response(handler())
        if path.startswith(_DRAIN_PREFIX):
            return _model_response(self._drain(path.removeprefix(_DRAIN_PREFIX)))
        if path.startswith(_REQUEST_PREFIX):
            return self._request(path.removeprefix(_REQUEST_PREFIX))
        return error_response(HTTPStatus.NOT_FOUND, ErrorCode.UNKNOWN_ROUTE, "no such path")

    def _fleet(self) -> FleetAnswer:
        app = self._app
        now_ms = monotonic_ms()
        settings = app.view.settings
        own_revision = None if settings is None else settings.revision
        members = app.fleet_sync.members() if app.fleet_sync is not None else ()
        return FleetAnswer(
            vm_id=app.vm_id,
            failure_domain_id=app.options.failure_domain,
            ready=app.is_ready,
            incarnation=app.incarnation,
            revision=None if own_revision is None else str(own_revision),
            members=[
                member_answer(member, own_revision if member.vm_id == app.vm_id else None, now_ms)
                for member in members
            ],
        )

    def _endpoints(self) -> EndpointsAnswer:
        app = self._app
        decider = app.node.decider
        stewards: dict[str, str | None] = {
            endpoint_id: decider.steward_id(endpoint_id) for endpoint_id in app.view.endpoints
        }
        return endpoints_answer(
            app.vm_id, decider.endpoint_views(monotonic_ms()), app.view, stewards
        )

    def _settings(self) -> SettingsAnswer:
        app = self._app
        settings_cache = app.view.settings_cache
        return settings_answer(
            app.vm_id,
            app.view.settings,
            settings_cache.applied_ms,
            settings_cache.last_rejection,
            app.service_problem,
            monotonic_ms(),
        )

    def _quarantine(self) -> QuarantineAnswer:
        entries = self._app.node.decider.quarantine_evidence(monotonic_ms())
        return quarantine_answer(self._app.vm_id, entries)

    def _refusals(self) -> RefusalsAnswer:
        return refusals_answer(self._app.vm_id, self._app.request_log, monotonic_ms())

    def _books(self) -> BooksAnswer:
        app = self._app
        return books_answer(app.vm_id, app.usage, app.view, monotonic_ms())

    def _drain(self, domain: str) -> DrainAnswer:
        app = self._app
        now_ms = monotonic_ms()
        domain_id = FailureDomainId(domain)
        members = app.fleet_sync.members() if app.fleet_sync is not None else ()
        domain_endpoint_ids = [
            info.endpoint_id
            for info in app.view.endpoints.values()
            if info.failure_domain_id == domain_id
        ]
        return drain_answer(
            app.vm_id,
            domain_id,
            app.view.settings,
            app.node.decider.endpoint_views(now_ms),
            [item.vm_id for item in members if item.vm_id != app.vm_id and not item.is_gone],
            app.usage.last_start_age_ms(domain_endpoint_ids, now_ms),
        )

    def _request(self, trace_id: str) -> Response:
        record = self._app.request_log.get(trace_id)
        if record is None:
            return error_response(
                HTTPStatus.NOT_FOUND, ErrorCode.BAD_REQUEST, "this VM has no record of this trace"
            )
        return _model_response(request_answer(self._app.vm_id, record))


def _model_response(model: BaseModel) -> Response:
    headers = Headers((("content-type", "application/json"),))
    return Response(headers=headers, body=model.model_dump_json().encode())
