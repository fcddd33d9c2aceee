"""The HTTP interface for operators and scrapers."""

from __future__ import annotations

from http import HTTPStatus
from typing import TYPE_CHECKING

from wagtailusher_core import ErrorCode
from wagtailusher_daemon.const import PATH_HEALTH, PATH_METRICS, PATH_READY
from wagtailusher_http import Request, Response, error_response, json_response

if TYPE_CHECKING:
    from wagtailusher_daemon.app import EntryApp


class OperatorApi:
    """Answers operators about this VM and what it sees."""

    def __init__(self, app: EntryApp) -> None:
        """Answer about an app."""
        self._app = app

    async def async_handle(self, request: Request) -> Response:
        """Answer one request."""
        path = request.path
        if path == PATH_METRICS:
            return self._app.metrics.render(request.headers.get("accept") or "text/plain")
        if path == PATH_HEALTH:
            return json_response(HTTPStatus.OK, {"status": "alive"})
        if path == PATH_READY:
            status = HTTPStatus.OK if self._app.is_ready else HTTPStatus.SERVICE_UNAVAILABLE
            return json_response(status, {"ready": self._app.is_ready})
        return error_response(HTTPStatus.NOT_FOUND, ErrorCode.UNKNOWN_ROUTE, "no such path")
