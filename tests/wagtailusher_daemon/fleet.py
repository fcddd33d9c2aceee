"""Entry apps, engine stand-ins and a booking service on loopback for the daemon's tests."""

from __future__ import annotations

import asyncio
from dataclasses import replace
from hashlib import sha256
import json
from typing import Any

from tests.soak.proxy import FaultProxy
from tests.standins.booking import BookingStandin
from tests.standins.config_service import ConfigService, async_wait_until
from tests.standins.engine import EngineBehaviour, EngineStandin
from tests.standins.vm_list import VmList as VmListService
from wagtailusher_core import EndpointId, FailureDomainId, PoolId, PublishedVm, VmId
from wagtailusher_daemon.app import EntryApp
from wagtailusher_daemon.options import EntryOptions
from wagtailusher_http import ClientAnswer, Headers, HttpClient
from wagtailusher_placement import EndpointInfo, EndpointKind

API_KEY = "member-key"
FLEET_SECRET = "a-secret-of-the-test-fleet"
MODEL = "coach-7b"
SERVICE_LIMIT = 32


def settings_document(revision: int = 1, **fleet: Any) -> bytes:
    """Return a settings document with a chat route and two service routes."""
    digest = sha256(API_KEY.encode()).hexdigest()
    return json.dumps(
        {
            "revision": revision,
            "fleet": {
                "silence_timeout_ms": 400,
                "shutdown_grace_ms": 3000,
                "queue_limit": 100,
                "routes": {
                    "chat": {
                        "models": [MODEL],
                        "default_class": "advice",
                        "classes": {
                            "advice": {"tier": 2, "first_token_target_ms": 10000},
                            "review": {"tier": 4, "deadline_behaviour": "serve_late"},
                        },
                    },
                    "bookings": {
                        "service": "bookings",
                        "classes": {
                            "booking": {
                                "tier": 0,
                                "repeatable": False,
                                "answer_target_ms": 10000,
                            }
                        },
                    },
                    "stock": {"service": "bookings", "classes": {"lookup": {"tier": 3}}},
                },
            }
            | fleet,
            "workspaces": {"members": {"api_key_sha256": [digest]}},
        }
    ).encode()


class Fleet:
    """Entry apps that share engine stand-ins and one booking service."""

    def __init__(
        self,
        vm_count: int = 2,
        engine_count: int = 2,
        options: dict[str, Any] | None = None,
        options_by_number: dict[int, dict[str, Any]] | None = None,
        booking_cold_limit: int = SERVICE_LIMIT,
        has_proxies: bool = False,
    ) -> None:
        """Create the stand-ins; sockets are opened by `async_start`."""
        self._has_proxies = has_proxies
        self.proxies: list[FaultProxy] = []
        """Proxies of the engines, in their order, if the fleet has them."""
        self._booking_cold_limit = booking_cold_limit
        self._options = options or {}
        self._options_by_number = options_by_number or {}
        self.engines = [
            EngineStandin(f"engine-{number}", EngineBehaviour()) for number in range(engine_count)
        ]
        self.booking = BookingStandin("booking-0")
        self.more_services: list[BookingStandin] = []
        self.config_service = ConfigService()
        self.vm_list = VmListService()
        self.vm_count = vm_count
        self.apps: list[EntryApp] = []
        self.client = HttpClient()

    async def async_start(self) -> None:
        """Start all processes, publish them and wait until all apps are ready."""
        for engine in self.engines:
            await engine.async_start()
            if self._has_proxies:
                await self._async_start_proxy(engine)
        for service in (self.booking, *self.more_services):
            await service.async_start()
        await self.config_service.async_start()
        await self.vm_list.async_start()
        self.config_service.publish("settings", settings_document())
        self.apps = [self._new_app(number) for number in range(self.vm_count)]
        for app in self.apps:
            await app.async_start()
        self.publish()
        await async_wait_until(lambda: all(app.is_ready for app in self.apps))

    async def _async_start_proxy(self, engine: EngineStandin) -> None:
        """Start the proxy of one engine."""
        proxy = FaultProxy(target=lambda: engine.address)
        await proxy.async_start()
        self.proxies.append(proxy)

    async def async_stop(self) -> None:
        """Stop everything."""
        self.client.close()
        await asyncio.gather(*(app.async_stop(grace_ms=100) for app in self.apps))
        await asyncio.gather(*(engine.async_stop() for engine in self.engines))
        await asyncio.gather(*(proxy.async_stop() for proxy in self.proxies))
        for service in (self.booking, *self.more_services):
            await service.async_stop()
        await self.config_service.async_close()
        await self.vm_list.async_close()

    def _new_app(self, number: int) -> EntryApp:
        """Return an app that is not started."""
        vm_options = self._options_by_number.get(number, {})
        options = {
            "vm_id": f"entry-{number}",
            "failure_domain": f"domain-{number % 3}",
            "fleet_secret": FLEET_SECRET,
            "config_service": self.config_service.address,
            "vm_list": self.vm_list.address,
            "lease_lifetime_ms": 300,
            "list_lag_ms": 0,
            "pause_tolerance_ms": 200,
            "tick_interval_ms": 20,
            "load_poll_interval_ms": 50,
        }
        return EntryApp(EntryOptions.model_validate(options | self._options | vm_options))

    def publish(self) -> None:
        """Publish the lists of VMs and endpoints."""
        vms = [
            PublishedVm(
                vm_id=app.vm_id,
                address=app.address,
                peer_address=app.peer_address,
                failure_domain_id=FailureDomainId(app.options.failure_domain),
            )
            for app in self.apps
        ]
        endpoints = [
            *self._engine_infos(),
            *(
                service_info(service, self._booking_cold_limit)
                for service in (self.booking, *self.more_services)
            ),
        ]
        self.vm_list.publish_vms(vms, endpoints)

    def _engine_infos(self) -> list[EndpointInfo]:
        """Return the engines as published, at the addresses of their proxies if there are any."""
        infos = [engine_info(engine) for engine in self.engines]
        if not self.proxies:
            return infos
        pairs = zip(infos, self.proxies, strict=True)
        return [replace(info, address=proxy.address) for info, proxy in pairs]

    async def async_replace(self, number: int) -> None:
        """Stop an app without a grace time and start a new one with the same VM name."""
        await self.apps[number].async_stop(grace_ms=0)
        self.apps[number] = self._new_app(number)
        await self.apps[number].async_start()
        self.publish()
        await async_wait_until(lambda: self.apps[number].is_ready)

    def headers(self, extra_headers: dict[str, str] | None = None) -> Headers:
        """Return the headers of a caller's request."""
        fields = {"authorization": f"Bearer {API_KEY}"} | (extra_headers or {})
        return Headers(fields.items())

    async def async_post(
        self, path: str, value: Any, *, vm: int = 0, headers: dict[str, str] | None = None
    ) -> ClientAnswer:
        """Post JSON or raw bytes to an app."""
        body = value if isinstance(value, bytes) else json.dumps(value).encode()
        return await self.client.async_request(
            self.apps[vm].address, "POST", path, self.headers(headers), body
        )

    async def async_chat(
        self, *, vm: int = 0, stream: bool = True, **extra: Any
    ) -> tuple[int, bytes]:
        """Request a chat completion and return the status and the complete body."""
        value = {
            "model": MODEL,
            "stream": stream,
            "messages": [{"role": "user", "content": "when is my rowing machine due"}],
        } | extra
        answer = await self.async_post("/v1/chat/completions", value, vm=vm)
        return answer.status, await answer.async_read()

    async def async_ticket(self, *, vm: int = 0) -> str:
        """Request a ticket from an app."""
        answer = await self.async_post("/v1/tickets", {}, vm=vm)
        ticket: str = json.loads(await answer.async_read())["ticket"]
        return ticket

    async def async_book(
        self, booking_id: str, ticket: str, *, vm: int = 0
    ) -> tuple[int, dict[str, Any]]:
        """Send a booking with a ticket and return the status and the answer."""
        answer = await self.async_post(
            "/services/bookings/new",
            {"booking_id": booking_id},
            vm=vm,
            headers={"x-wagtailusher-ticket": ticket},
        )
        return answer.status, json.loads(await answer.async_read())


def engine_info(engine: EngineStandin) -> EndpointInfo:
    """Return an engine as the platform publishes it."""
    return EndpointInfo(
        endpoint_id=EndpointId(engine.engine_id),
        pool_ids=frozenset({PoolId(MODEL)}),
        failure_domain_id=FailureDomainId("domain-0"),
        address=engine.address,
        concurrency_limit=engine.behaviour.concurrency_limit,
        cold_limit=engine.behaviour.cold_limit,
        resumes_streams=True,
    )


def service_info(service: BookingStandin, cold_limit: int) -> EndpointInfo:
    """Return a service as the platform publishes it."""
    return EndpointInfo(
        endpoint_id=EndpointId(service.service_id),
        pool_ids=frozenset({PoolId("bookings")}),
        failure_domain_id=FailureDomainId("domain-0"),
        address=service.address,
        kind=EndpointKind.SERVICE,
        concurrency_limit=SERVICE_LIMIT,
        cold_limit=cold_limit,
    )


def vm_id(number: int) -> VmId:
    """Return the identifier of an app's VM."""
    return VmId(f"entry-{number}")
