"""A minimal stand-in for the platform's services that lets an entry daemon become ready."""

from __future__ import annotations

import asyncio
from hashlib import sha256
from http import HTTPStatus
import json

from wagtailusher_http import Headers, HttpServer, Request, Response, async_serve, json_response

API_KEY = "bench-key"
MODEL = "advisor"
MS_PER_S = 1000
PATH_LIST = "/v1/vms"
ENDPOINT_CONCURRENCY = 64


class PlatformStandin:
    """Serves one settings document and one list of VMs and endpoints."""

    def __init__(self) -> None:
        self._list: bytes | None = None
        self._server: HttpServer | None = None
        self._settings = json.dumps(settings_document()).encode()

    @property
    def address(self) -> str:
        """Return the address that both services listen on."""
        assert self._server is not None
        return f"127.0.0.1:{self._server.port}"

    async def async_start(self) -> None:
        """Listen on a port chosen by the kernel."""
        self._server = await async_serve(self._async_handle)

    async def async_close(self) -> None:
        """Stop listening."""
        if self._server is not None:
            await self._server.async_close()

    def publish(self, vm: dict[str, str], source_address: str, endpoints: int) -> None:
        """Publish one entry VM and endpoints that all have the source's address."""
        listed = [
            {
                "endpoint_id": f"engine-{number}",
                "pool_ids": [MODEL],
                "failure_domain_id": vm["failure_domain"],
                "address": source_address,
                "concurrency_limit": ENDPOINT_CONCURRENCY,
                "cold_limit": ENDPOINT_CONCURRENCY,
            }
            for number in range(endpoints)
        ]
        entry = {
            "vm_id": vm["vm_id"],
            "address": vm["address"],
            "peer_address": vm["peer_address"],
            "failure_domain_id": vm["failure_domain"],
        }
        value = {"version": 1, "entry_vms": [entry], "endpoints": listed}
        self._list = json.dumps(value).encode()

    async def _async_handle(self, request: Request) -> Response:
        """Answer a read; a watch always times out, as nothing changes."""
        content = self._list if request.path == PATH_LIST else self._settings
        if content is None:
            return json_response(HTTPStatus.NOT_FOUND, {})
        if request.query.get("version") == "1":
            await asyncio.sleep(int(request.query.get("wait_ms", "0")) / MS_PER_S)
            return Response(status=HTTPStatus.NOT_MODIFIED)
        return Response(headers=Headers([("x-version", "1")]), body=content)


def settings_document() -> dict[str, object]:
    """Return settings with one workspace, one model and one class with a long queue."""
    chat = {
        "models": [MODEL],
        "default_class": "advice",
        "classes": {"advice": {"tier": 2, "first_token_target_ms": 5000, "queue_limit": 2000}},
    }
    digest = sha256(API_KEY.encode()).hexdigest()
    return {
        "revision": 1,
        "fleet": {"silence_timeout_ms": 5000, "routes": {"chat": chat}},
        "workspaces": {"members": {"api_key_sha256": [digest]}},
    }
