"""Tests of requests from the caller through the gateway to an endpoint, over real sockets.

They guard against answers that are incomplete or of another request, requests that run more often
than allowed, and changes in the store that are not applied.
"""

from __future__ import annotations

import asyncio
from http import HTTPStatus
import json

from tests.standins.runner import (
    RunnerStandin,
    answer,
    extra_answer,
    mismatched_then_answer,
    refuse,
    reset_after_run,
    silent,
    stream,
    truncated,
    unframed,
    unsigned,
)
from tests.wagtailusher_platform.fleet import KEY, WORKSPACE, PlatformTest, configuration, entry
from wagtailusher_daemon.clock import monotonic_ms
from wagtailusher_gateway import GatewayApp
from wagtailusher_gateway.const import EJECT_FAILURES
from wagtailusher_http import AnswerTruncatedError


class ForwardingTest(PlatformTest):
    """Requests as received by endpoints, and answers as received by callers."""

    async def _async_start(
        self, service: str, *behaviours: object
    ) -> tuple[GatewayApp, RunnerStandin]:
        runner = await self.async_runner(service, "i-1", *behaviours)
        app = await self.async_gateway()
        await self.async_ready(app, 1)
        return app, runner

    async def test_request_arrives_unchanged_with_the_gateways_headers(self) -> None:
        """Method, path, query, body and identifier are kept; the API key is not forwarded."""
        app, runner = await self._async_start("desk")
        reply = await self.async_ask(
            app, "/book/x%20y?a=1&b", b"order", x_tenant="forged", x_hold="h"
        )
        self.assertEqual(await reply.async_read(), b"done")
        self.assertEqual(reply.headers.get("x-server-stamp"), "3e1b.07.5a2")
        received = runner.received[0]
        self.assertEqual(
            (received.method, received.target, received.body),
            ("POST", "/book/x%20y?a=1&b", b"order"),
        )
        self.assertEqual(received.headers["host"], "shop.example")
        self.assertEqual(received.headers["x-attempt-id"], "attempt-1")
        self.assertEqual(received.headers["x-tenant"], WORKSPACE)
        self.assertEqual(received.headers["x-expect-instance"], "i-1")
        self.assertLessEqual(int(received.headers["x-deadline-ms"]), 2000)
        for name in ("authorization", "x-hold"):
            self.assertNotIn(name, received.headers)

    async def test_unknown_key_and_route(self) -> None:
        """The gateway's refusals have codes, and the requests reach no endpoint."""
        app, runner = await self._async_start("desk")
        reply = await self.async_ask(app, "/book/", authorization="Bearer other")
        self.assertEqual(reply.status, HTTPStatus.UNAUTHORIZED)
        self.assertEqual(json.loads(await reply.async_read())["error"]["code"], "unauthorized")
        reply = await self.async_ask(app, "/nothing/")
        self.assertEqual(reply.status, HTTPStatus.NOT_FOUND)
        self.assertEqual(runner.received, [])

    async def test_no_configuration_is_not_ready(self) -> None:
        """A VM without a configuration answers 503 and not 404."""
        self.store.status = HTTPStatus.SERVICE_UNAVAILABLE
        app = await self.async_gateway()
        reply = await self.async_ask(app, "/book/")
        self.assertEqual(reply.status, HTTPStatus.SERVICE_UNAVAILABLE)
        self.assertIsNotNone(reply.headers.get("retry-after"))
        ready = await self.client.async_request(app.options.ready_listen or "", "GET", "/ready")
        self.assertEqual(ready.status, HTTPStatus.SERVICE_UNAVAILABLE)

    async def test_endpoint_error_is_relayed_unchanged(self) -> None:
        """A request that runs at most once gets the endpoint's error."""
        app, runner = await self._async_start("desk", answer(b"no", "500 Internal Server Error"))
        reply = await self.async_ask(app, "/book/", b"order")
        self.assertEqual((reply.status, await reply.async_read()), (500, b"no"))
        self.assertEqual(len(runner.executed_ids), 1)

    async def test_once_request_is_not_repeated_after_reset(self) -> None:
        """A request that may have run gets 502, never a status that states that it has not run."""
        runner = await self.async_runner("desk", "i-1", reset_after_run())
        other = await self.async_runner("desk", "i-2", reset_after_run())
        app = await self.async_gateway()
        await self.async_ready(app, 2)
        reply = await self.async_ask(app, "/book/", b"order")
        self.assertEqual(reply.status, HTTPStatus.BAD_GATEWAY)
        self.assertEqual(len(runner.executed_ids) + len(other.executed_ids), 1)

    async def test_safe_request_is_retried_at_another_endpoint(self) -> None:
        """A request that may be repeated is retried within the attempts of its route."""
        for number in (1, 2):
            await self.async_runner("desk", f"i-{number}", reset_after_run(), answer())
        app = await self.async_gateway()
        await self.async_ready(app, 2)
        for _ in range(4):
            reply = await self.async_ask(app, "/look/")
            self.assertIn(reply.status, (HTTPStatus.OK, HTTPStatus.BAD_GATEWAY))
        ran = [attempt for runner in self.runners for attempt in runner.executed_ids]
        self.assertLessEqual(max(ran.count(attempt) for attempt in ran), 2)

    async def test_refusal_after_an_error_is_not_reported_as_not_run(self) -> None:
        """A request that ran and failed gets 502 even if a second endpoint refuses it."""
        error = answer(b"no", "500 Internal Server Error")
        near = await self.async_runner("desk", "i-1", error)
        await self.async_runner("desk", "i-2", refuse(), zone="b")
        for number in range(EJECT_FAILURES):
            # A new VM, no other VM's seed; one that saw a failure would prefer the other endpoint.
            app = await self.async_gateway(3 + number, seeds=[])
            await self.async_ready(app, 2)
            await self.async_settled(app)
            reply = await self.async_ask(app, "/look/")
            self.assertEqual(reply.status, HTTPStatus.BAD_GATEWAY)
            self.assertEqual(len(near.executed_ids), number + 1)

    async def test_refusal_by_the_endpoint_is_a_503(self) -> None:
        """A request refused for lack of capacity gets 503 with a retry delay, and has not run."""
        app, runner = await self._async_start("desk", refuse())
        reply = await self.async_ask(app, "/book/", b"order")
        self.assertEqual(reply.status, HTTPStatus.SERVICE_UNAVAILABLE)
        self.assertGreater(float(reply.headers.get("retry-after") or 0), 0)
        self.assertEqual(runner.executed_ids, [])

    async def test_other_incarnation_does_not_count_as_an_attempt(self) -> None:
        """After a 421 from a reused address, the request runs at the right endpoint."""
        wrong_runner = await self.async_runner("desk", "i-gone")
        wrong_runner.instance_id = "i-of-another-service"
        right = await self.async_runner("desk", "i-2", answer())
        app = await self.async_gateway()
        await self.async_ready(app, 2)
        await self.async_settled(app)
        for _ in range(6):
            reply = await self.async_ask(app, "/book/", b"order")
            self.assertEqual(reply.status, HTTPStatus.OK)
        self.assertEqual(wrong_runner.executed_ids, [])
        self.assertEqual(len(right.executed_ids), 6)

    async def test_unsigned_success_is_a_failure(self) -> None:
        """A success without a signature was not sent by the endpoint."""
        app, _ = await self._async_start("desk", unsigned())
        self.assertEqual((await self.async_ask(app, "/book/", b"x")).status, 502)

    async def test_encoded_body_is_a_failure(self) -> None:
        """An encoded body was not sent by the endpoint."""
        app, _ = await self._async_start("desk", answer(b"zip", "200 OK", "Content-Encoding: gzip"))
        self.assertEqual((await self.async_ask(app, "/book/", b"x")).status, 502)

    async def test_truncated_answer_is_a_failure(self) -> None:
        """An answer that ends early is not relayed."""
        app, _ = await self._async_start("desk", truncated())
        self.assertEqual((await self.async_ask(app, "/book/", b"x")).status, 502)

    async def test_extra_answer_is_dropped(self) -> None:
        """Bytes after a complete answer are not taken for the answer to a later request."""
        app, runner = await self._async_start("desk", extra_answer())
        for _ in range(5):
            reply = await self.async_ask(app, "/book/", b"x")
            self.assertEqual((reply.status, await reply.async_read()), (200, b"done"))
            await asyncio.sleep(0.02)
        self.assertEqual(len(runner.executed_ids), 5)

    async def test_unmatched_answer_is_skipped(self) -> None:
        """An answer to another request is dropped, and the right one is awaited."""
        app, runner = await self._async_start("desk", mismatched_then_answer(b"mine"))
        for _ in range(3):
            reply = await self.async_ask(app, "/book/", b"x")
            self.assertEqual((reply.status, await reply.async_read()), (200, b"mine"))
        self.assertEqual(len(runner.executed_ids), 3)

    async def test_answer_without_length(self) -> None:
        """The end of the connection completes an answer; a reset makes it incomplete."""
        app, runner = await self._async_start("desk", unframed(b"all"))
        reply = await self.async_ask(app, "/book/", b"x")
        self.assertEqual((reply.status, await reply.async_read()), (200, b"all"))
        runner.behaviours = [unframed(b"part", reset=True)]
        self.assertEqual((await self.async_ask(app, "/book/", b"x")).status, 502)

    async def test_timeout_is_answered_at_the_routes_limit(self) -> None:
        """A request to an endpoint that does not answer gets 504, as it may have run."""
        self.store.put("op/config", configuration(2, routes=[_quick_route()]))
        app, runner = await self._async_start("desk", silent())
        await self.async_until(lambda: _configuration_version(app) == 2)
        reply = await self.async_ask(app, "/book/", b"x")
        self.assertEqual(reply.status, HTTPStatus.GATEWAY_TIMEOUT)
        await self.async_until(lambda: runner.aborted_connections == 1)

    async def test_disconnect_of_the_caller_releases_the_endpoint(self) -> None:
        """The connection to the endpoint is closed once the caller has disconnected."""
        app, runner = await self._async_start("desk", silent())
        asking = asyncio.ensure_future(self.async_ask(app, "/look/"))
        await self.async_until(lambda: len(runner.executed_ids) == 1)
        asking.cancel()
        await self.async_until(lambda: runner.aborted_connections == 1)
        self.assertEqual(app.dispatcher.in_flight, 0)
        endpoint = app.dispatcher.placement.registry.get(next(iter(app.view_cache.view.endpoints)))
        assert endpoint is not None
        self.assertEqual(endpoint.own_load.requests, 0)

    async def test_key_is_checked_on_each_request(self) -> None:
        """A revoked key is refused on open connections as well."""
        app, _ = await self._async_start("desk")
        self.assertEqual((await self.async_ask(app, "/book/", b"x")).status, 200)
        tenants = [{"name": WORKSPACE, "api_keys": ["new"], "priority": 1}]
        self.store.put("op/config", configuration(2, tenants=tenants))
        await self.async_until(lambda: _configuration_version(app) == 2)
        self.assertEqual((await self.async_ask(app, "/book/", b"x")).status, 401)
        reply = await self.async_ask(app, "/book/", b"x", authorization="Bearer new")
        self.assertEqual(reply.status, 200)
        self.assertNotEqual(KEY, "new")


class StreamTest(PlatformTest):
    """Streams of events."""

    async def test_stream_is_relayed_completely(self) -> None:
        """All events arrive, and the next request reuses the connection."""
        runner = await self.async_runner("engines", "i-1", stream(20))
        app = await self.async_gateway()
        await self.async_ready(app, 1)
        for _ in range(2):
            reply = await self.async_ask(app, "/chat/", b"p")
            self.assertEqual(_event_numbers(await reply.async_read()), list(range(1, 21)))
        self.assertEqual(runner.connections, 1)

    async def test_stream_of_one_event(self) -> None:
        """A stream that ends with its first event has the endpoint's headers."""
        await self.async_runner("engines", "i-1", stream(1))
        app = await self.async_gateway()
        await self.async_ready(app, 1)
        reply = await self.async_ask(app, "/chat/", b"p")
        self.assertEqual(_event_numbers(await reply.async_read()), [1])
        self.assertIsNotNone(reply.headers.get("x-server-stamp"))

    async def test_broken_stream_is_resumed_at_another_endpoint(self) -> None:
        """Each event arrives once, even if the first endpoint stopped within an event."""
        for number in (1, 2):
            behaviours = (stream(10, cut_after=4, within_event=True), stream(10))
            await self.async_runner("engines", f"i-{number}", *behaviours)
        app = await self.async_gateway()
        await self.async_ready(app, 2)
        await self.async_settled(app)
        reply = await self.async_ask(app, "/review/", b"p")
        self.assertEqual(_event_numbers(await reply.async_read()), list(range(1, 11)))
        resumed = [item for runner in self.runners for item in runner.received[:]]
        self.assertIn("4", [item.headers.get("last-event-id") for item in resumed])

    async def test_broken_stream_that_may_not_resume_is_broken(self) -> None:
        """The caller gets an interrupted answer, never a short one that looks complete."""
        for number in (1, 2):
            await self.async_runner("engines", f"i-{number}", stream(10, cut_after=4))
        app = await self.async_gateway()
        await self.async_ready(app, 2)
        reply = await self.async_ask(app, "/chat/", b"p")
        with self.assertRaises(AnswerTruncatedError):
            await reply.async_read()
        self.assertEqual(sum(len(runner.executed_ids) for runner in self.runners), 1)

    async def test_caller_resumes(self) -> None:
        """The last event identifier of the caller is forwarded."""
        runner = await self.async_runner("engines", "i-1", stream(5))
        app = await self.async_gateway()
        await self.async_ready(app, 1)
        begun = await self.async_ask(app, "/review/", b"p", x_attempt_id="begun")
        self.assertEqual(_event_numbers(await begun.async_read()), [1, 2, 3, 4, 5])
        reply = await self.async_ask(app, "/review/", b"p", last_event_id="3", resumes="begun")
        self.assertEqual(_event_numbers(await reply.async_read()), [4, 5])
        self.assertEqual(runner.received[1].headers["last-event-id"], "3")


class ViewTest(PlatformTest):
    """Changes in the store are applied, also when the store drops its history or is unreachable."""

    async def test_draining_and_removed_endpoints_get_nothing(self) -> None:
        """No request is sent to an endpoint that is draining or was removed."""
        first = await self.async_runner("desk", "i-1")
        second = await self.async_runner("desk", "i-2")
        app = await self.async_gateway()
        await self.async_ready(app, 2)
        self.store.put("servers/i-1", entry(first, "desk", state="draining"))
        await self.async_until(lambda: any(_draining_flags(app)))
        for _ in range(8):
            self.assertEqual((await self.async_ask(app, "/book/", b"x")).status, 200)
        self.assertEqual((len(first.executed_ids), len(second.executed_ids)), (0, 8))
        self.store.remove("servers/i-2")
        await self.async_ready(app, 1)
        self.assertEqual((await self.async_ask(app, "/book/", b"x")).status, 503)

    async def test_evacuated_domain_gets_nothing(self) -> None:
        """No request is sent to a failure domain while it is evacuated."""
        runner = await self.async_runner("desk", "i-1")
        app = await self.async_gateway()
        await self.async_ready(app, 1)
        self.store.put("op/evacuate/a", {})
        await self.async_until(lambda: bool(app.view_cache.view.evacuated))
        self.assertEqual((await self.async_ask(app, "/book/", b"x")).status, 503)
        self.store.remove("op/evacuate/a")
        await self.async_until(lambda: not app.view_cache.view.evacuated)
        self.assertEqual((await self.async_ask(app, "/book/", b"x")).status, 200)
        self.assertEqual(len(runner.executed_ids), 1)

    async def test_invalid_entries_are_ignored(self) -> None:
        """Invalid items are ignored; the others are used."""
        await self.async_runner("desk", "i-1")
        self.store.put("servers/i-bytes", b"\xff\x00")
        self.store.put("servers/i-type", {"service": "desk", "address": 7})
        self.store.put(
            "servers/i-state",
            {"service": "desk", "address": "1.2.3.4:5", "zone": "a", "state": "asleep"},
        )
        app = await self.async_gateway()
        await self.async_ready(app, 1)
        self.store.put("op/config", b"{")
        await asyncio.sleep(0.1)
        self.assertEqual((await self.async_ask(app, "/book/", b"x")).status, 200)

    async def test_unchanged_view_is_confirmed(self) -> None:
        """While nothing changes, the view is confirmed repeatedly."""
        await self.async_runner("engines", "i-1", stream(1))
        first = await self.async_gateway(1)
        second = await self.async_gateway(2)
        for app in (first, second):
            await self.async_ready(app, 1)
        begun_ms = monotonic_ms()
        for app in (first, second):
            await self.async_until(
                lambda app=app: app.dispatcher.view.confirmed_ms > begun_ms  # type: ignore[misc]
            )

    async def test_everything_is_read_again_after_dropped_history(self) -> None:
        """Changes that the store's history no longer has are still applied."""
        first = await self.async_runner("desk", "i-1")
        app = await self.async_gateway()
        await self.async_ready(app, 1)
        self.store.put("servers/i-1", entry(first, "desk", state="draining"))
        self.store.compact_history()
        await self.async_until(lambda: any(_draining_flags(app)))

    async def test_vm_without_store_uses_its_peers_view(self) -> None:
        """A VM that can't reach the store gets changes from its peers."""
        runner = await self.async_runner("desk", "i-1")
        dead_store = f"127.0.0.1:{self.peer_port}"
        first = await self.async_gateway(1)
        second = await self.async_gateway(2, store_address=dead_store)
        await self.async_ready(first, 1)
        await self.async_ready(second, 1)
        self.store.put("servers/i-1", entry(runner, "desk", state="draining"))
        await self.async_until(lambda: any(_draining_flags(second)))
        reply = await self.client.async_request(
            second.options.directory_listen or "", "GET", "/resolve?name=shop.example"
        )
        addresses = json.loads(await reply.async_read())["addresses"]
        self.assertEqual(sorted(addresses), sorted(app.options.listen for app in self.apps))

    async def test_leaving_vm_is_no_longer_listed(self) -> None:
        """A leaving VM is not ready and not listed, but still serves requests."""
        await self.async_runner("desk", "i-1")
        first = await self.async_gateway(1)
        second = await self.async_gateway(2)
        await self.async_ready(first, 1)
        await self.async_ready(second, 1)
        await self.async_until(lambda: len(first.fleet.serving_members(monotonic_ms())) == 2)
        stopping = asyncio.ensure_future(second.async_stop())
        await self.async_until(lambda: len(first.fleet.serving_members(monotonic_ms())) == 1)
        ready = await self.client.async_request(second.options.ready_listen or "", "GET", "/ready")
        self.assertEqual(ready.status, 503)
        reply = await self.async_ask(second, "/book/", b"x")
        self.assertEqual((reply.status, reply.headers.get("connection")), (200, "close"))
        await reply.async_read()
        await stopping
        self.apps.remove(second)


def _quick_route() -> dict[str, object]:
    routes = configuration()["routes"]
    return dict(routes[0], timeout_ms=200)


def _configuration_version(app: GatewayApp) -> int:
    return app.dispatcher.routes.configuration.version if app.dispatcher.routes else 0


def _draining_flags(app: GatewayApp) -> list[bool]:
    return [endpoint.is_draining for endpoint in app.view_cache.view.endpoints.values()]


def _event_numbers(body: bytes) -> list[int]:
    events = body.decode().split("\n\n")[:-1]
    return [int(event.split("\n")[0].removeprefix("id: ")) for event in events]
