"""Tests of a request's way from the caller to an endpoint and back, over real sockets."""

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
    """What endpoints get and what callers get back."""

    async def _async_one(
        self, service: str, *behaviours: object
    ) -> tuple[GatewayApp, RunnerStandin]:
        runner = await self.async_runner(service, "i-1", *behaviours)
        app = await self.async_gateway()
        await self.async_ready(app, 1)
        return app, runner

    async def test_request_arrives_unchanged_with_own_fields(self) -> None:
        """Method, path, query, body and identifier stay; the key does not pass."""
        app, runner = await self._async_one("desk")
        reply = await self.async_ask(
            app,
            "/book/x%20y?a=1&b",
            b"order",
            x_tenant="forged",
            x_hold="h",
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
        """Own refusals have codes and reach no endpoint."""
        app, runner = await self._async_one("desk")
        reply = await self.async_ask(app, "/book/", authorization="Bearer other")
        self.assertEqual(reply.status, HTTPStatus.UNAUTHORIZED)
        self.assertEqual(json.loads(await reply.async_read())["error"]["code"], "unauthorized")
        reply = await self.async_ask(app, "/nothing/")
        self.assertEqual(reply.status, HTTPStatus.NOT_FOUND)
        self.assertEqual(runner.received, [])

    async def test_no_configuration_is_not_ready(self) -> None:
        """A VM that knows no configuration answers 503 and not 404."""
        self.store.status = HTTPStatus.SERVICE_UNAVAILABLE
        app = await self.async_gateway()
        reply = await self.async_ask(app, "/book/")
        self.assertEqual(reply.status, HTTPStatus.SERVICE_UNAVAILABLE)
        self.assertIsNotNone(reply.headers.get("retry-after"))
        ready = await self.client.async_request(app.options.ready_listen or "", "GET", "/ready")
        self.assertEqual(ready.status, HTTPStatus.SERVICE_UNAVAILABLE)

    async def test_endpoint_error_passes_unchanged(self) -> None:
        """A request that runs at most once gets the endpoint's own error."""
        app, runner = await self._async_one("desk", answer(b"no", "500 Internal Server Error"))
        reply = await self.async_ask(app, "/book/", b"order")
        self.assertEqual((reply.status, await reply.async_read()), (500, b"no"))
        self.assertEqual(len(runner.executed_ids), 1)

    async def test_once_request_is_not_repeated_after_reset(self) -> None:
        """What may have run is answered 502, never with a status that promises it did not."""
        runner = await self.async_runner("desk", "i-1", reset_after_run())
        other = await self.async_runner("desk", "i-2", reset_after_run())
        app = await self.async_gateway()
        await self.async_ready(app, 2)
        reply = await self.async_ask(app, "/book/", b"order")
        self.assertEqual(reply.status, HTTPStatus.BAD_GATEWAY)
        self.assertEqual(len(runner.executed_ids) + len(other.executed_ids), 1)

    async def test_safe_request_goes_elsewhere(self) -> None:
        """A request that may be repeated is, within its route's attempts."""
        for number in (1, 2):
            await self.async_runner("desk", f"i-{number}", reset_after_run(), answer())
        app = await self.async_gateway()
        await self.async_ready(app, 2)
        for _ in range(4):
            reply = await self.async_ask(app, "/look/")
            self.assertIn(reply.status, (HTTPStatus.OK, HTTPStatus.BAD_GATEWAY))
        ran = [attempt for runner in self.runners for attempt in runner.executed_ids]
        self.assertLessEqual(max(ran.count(attempt) for attempt in ran), 2)

    async def test_refusal_after_an_error_is_no_promise(self) -> None:
        """A request that ran and failed is not said to have not run when a second one refuses."""
        error = answer(b"no", "500 Internal Server Error")
        near = await self.async_runner("desk", "i-1", error)
        await self.async_runner("desk", "i-2", refuse(), zone="b")
        for number in range(EJECT_FAILURES):
            # A VM that nobody names as a seed; one that saw a failure asks the other first.
            app = await self.async_gateway(3 + number)
            await self.async_ready(app, 2)
            await self.async_settled(app)
            reply = await self.async_ask(app, "/look/")
            self.assertEqual(reply.status, HTTPStatus.BAD_GATEWAY)
            self.assertEqual(len(near.executed_ids), number + 1)

    async def test_refusal_by_endpoint_is_a_true_503(self) -> None:
        """An endpoint without room makes a refusal that says when to come back."""
        app, runner = await self._async_one("desk", refuse())
        reply = await self.async_ask(app, "/book/", b"order")
        self.assertEqual(reply.status, HTTPStatus.SERVICE_UNAVAILABLE)
        self.assertGreater(float(reply.headers.get("retry-after") or 0), 0)
        self.assertEqual(runner.executed_ids, [])

    async def test_other_incarnation_costs_no_attempt(self) -> None:
        """A reused address answers 421; the request then runs at the right endpoint."""
        impostor = await self.async_runner("desk", "i-gone")
        impostor.instance_id = "i-of-another-service"
        right = await self.async_runner("desk", "i-2", answer())
        app = await self.async_gateway()
        await self.async_ready(app, 2)
        await self.async_settled(app)
        for _ in range(6):
            reply = await self.async_ask(app, "/book/", b"order")
            self.assertEqual(reply.status, HTTPStatus.OK)
        self.assertEqual(impostor.executed_ids, [])
        self.assertEqual(len(right.executed_ids), 6)

    async def test_unsigned_success_is_a_failure(self) -> None:
        """A success without a signature is not the endpoint's."""
        app, _ = await self._async_one("desk", unsigned())
        self.assertEqual((await self.async_ask(app, "/book/", b"x")).status, 502)

    async def test_encoded_body_is_a_failure(self) -> None:
        """A body with an encoding is not the endpoint's."""
        app, _ = await self._async_one("desk", answer(b"zip", "200 OK", "Content-Encoding: gzip"))
        self.assertEqual((await self.async_ask(app, "/book/", b"x")).status, 502)

    async def test_truncated_answer_is_a_failure(self) -> None:
        """An answer that ends early is not passed on."""
        app, _ = await self._async_one("desk", truncated())
        self.assertEqual((await self.async_ask(app, "/book/", b"x")).status, 502)

    async def test_extra_answer_reaches_nobody(self) -> None:
        """Bytes after a whole answer belong to no request."""
        app, runner = await self._async_one("desk", extra_answer())
        for _ in range(5):
            reply = await self.async_ask(app, "/book/", b"x")
            self.assertEqual((reply.status, await reply.async_read()), (200, b"done"))
            await asyncio.sleep(0.02)
        self.assertEqual(len(runner.executed_ids), 5)

    async def test_stray_answer_before_the_own_is_skipped(self) -> None:
        """An answer that names another request is dropped and the own one is awaited."""
        app, runner = await self._async_one("desk", mismatched_then_answer(b"mine"))
        for _ in range(3):
            reply = await self.async_ask(app, "/book/", b"x")
            self.assertEqual((reply.status, await reply.async_read()), (200, b"mine"))
        self.assertEqual(len(runner.executed_ids), 3)

    async def test_answer_without_length(self) -> None:
        """The end of the connection ends an answer; a reset breaks it."""
        app, runner = await self._async_one("desk", unframed(b"all"))
        reply = await self.async_ask(app, "/book/", b"x")
        self.assertEqual((reply.status, await reply.async_read()), (200, b"all"))
        runner.behaviours = [unframed(b"part", reset=True)]
        self.assertEqual((await self.async_ask(app, "/book/", b"x")).status, 502)

    async def test_time_over_is_answered_at_the_routes_bound(self) -> None:
        """A silent endpoint ends in 504 once the request may have run."""
        self.store.put("op/config", configuration(2, routes=[_quick_route()]))
        app, runner = await self._async_one("desk", silent())
        await self.async_until(lambda: _version(app) == 2)
        reply = await self.async_ask(app, "/book/", b"x")
        self.assertEqual(reply.status, HTTPStatus.GATEWAY_TIMEOUT)
        await self.async_until(lambda: runner.aborted_connections == 1)

    async def test_caller_that_leaves_frees_the_endpoint(self) -> None:
        """The endpoint's connection is closed once the caller has gone."""
        app, runner = await self._async_one("desk", silent())
        asking = asyncio.ensure_future(self.async_ask(app, "/look/"))
        await self.async_until(lambda: len(runner.executed_ids) == 1)
        asking.cancel()
        await self.async_until(lambda: runner.aborted_connections == 1)
        self.assertEqual(app.dispatcher.in_flight, 0)
        endpoint = app.dispatcher.placement.registry.get(next(iter(app.view_cache.view.endpoints)))
        assert endpoint is not None
        self.assertEqual(endpoint.own_load.requests, 0)

    async def test_key_is_checked_on_each_request(self) -> None:
        """A key that is taken away ends on open connections as well."""
        app, _ = await self._async_one("desk")
        self.assertEqual((await self.async_ask(app, "/book/", b"x")).status, 200)
        tenants = [{"name": WORKSPACE, "api_keys": ["new"], "priority": 1}]
        self.store.put("op/config", configuration(2, tenants=tenants))
        await self.async_until(lambda: _version(app) == 2)
        self.assertEqual((await self.async_ask(app, "/book/", b"x")).status, 401)
        reply = await self.async_ask(app, "/book/", b"x", authorization="Bearer new")
        self.assertEqual(reply.status, 200)
        self.assertNotEqual(KEY, "new")


class StreamTest(PlatformTest):
    """Streams of events."""

    async def test_stream_is_passed_on_whole(self) -> None:
        """All events arrive, and one more request runs on the same connection."""
        runner = await self.async_runner("engines", "i-1", stream(20))
        app = await self.async_gateway()
        await self.async_ready(app, 1)
        for _ in range(2):
            reply = await self.async_ask(app, "/chat/", b"p")
            self.assertEqual(_numbers(await reply.async_read()), list(range(1, 21)))
        self.assertEqual(runner.connections, 1)

    async def test_stream_of_one_part(self) -> None:
        """A stream whose end comes with its first event has its endpoint's fields."""
        await self.async_runner("engines", "i-1", stream(1))
        app = await self.async_gateway()
        await self.async_ready(app, 1)
        reply = await self.async_ask(app, "/chat/", b"p")
        self.assertEqual(_numbers(await reply.async_read()), [1])
        self.assertIsNotNone(reply.headers.get("x-server-stamp"))

    async def test_broken_stream_goes_on_elsewhere(self) -> None:
        """A resumable stream has each event once, though its endpoint stopped within one."""
        for number in (1, 2):
            behaviours = (stream(10, cut_after=4, within_event=True), stream(10))
            await self.async_runner("engines", f"i-{number}", *behaviours)
        app = await self.async_gateway()
        await self.async_ready(app, 2)
        await self.async_settled(app)
        reply = await self.async_ask(app, "/review/", b"p")
        self.assertEqual(_numbers(await reply.async_read()), list(range(1, 11)))
        resumed = [item for runner in self.runners for item in runner.received[:]]
        self.assertIn("4", [item.headers.get("last-event-id") for item in resumed])

    async def test_broken_stream_that_may_not_resume_is_broken(self) -> None:
        """The caller sees a broken answer, never a short one that looks whole."""
        for number in (1, 2):
            await self.async_runner("engines", f"i-{number}", stream(10, cut_after=4))
        app = await self.async_gateway()
        await self.async_ready(app, 2)
        reply = await self.async_ask(app, "/chat/", b"p")
        with self.assertRaises(AnswerTruncatedError):
            await reply.async_read()
        self.assertEqual(sum(len(runner.executed_ids) for runner in self.runners), 1)

    async def test_caller_resumes(self) -> None:
        """A caller's own place in the stream is handed on."""
        runner = await self.async_runner("engines", "i-1", stream(5))
        app = await self.async_gateway()
        await self.async_ready(app, 1)
        reply = await self.async_ask(app, "/review/", b"p", last_event_id="3")
        self.assertEqual(_numbers(await reply.async_read()), [4, 5])
        self.assertEqual(runner.received[0].headers["last-event-id"], "3")


class ViewTest(PlatformTest):
    """What the store says is in force, whatever happens to the store."""

    async def test_draining_and_removed_endpoints_get_nothing(self) -> None:
        """No request goes to an endpoint that leaves."""
        first = await self.async_runner("desk", "i-1")
        second = await self.async_runner("desk", "i-2")
        app = await self.async_gateway()
        await self.async_ready(app, 2)
        self.store.put("servers/i-1", entry(first, "desk", state="draining"))
        await self.async_until(lambda: any(_drains(app)))
        for _ in range(8):
            self.assertEqual((await self.async_ask(app, "/book/", b"x")).status, 200)
        self.assertEqual((len(first.executed_ids), len(second.executed_ids)), (0, 8))
        self.store.remove("servers/i-2")
        await self.async_ready(app, 1)
        self.assertEqual((await self.async_ask(app, "/book/", b"x")).status, 503)

    async def test_evacuated_domain_gets_nothing(self) -> None:
        """No request goes to an evacuated failure domain until it is taken back."""
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

    async def test_unreadable_entries_are_left_out(self) -> None:
        """Bad items name no endpoint; the others hold."""
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

    async def test_quiet_view_stays_fresh(self) -> None:
        """While nothing changes, what is decided on is confirmed again and again."""
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

    async def test_dropped_history_is_read_anew(self) -> None:
        """Changes within a gap of the history are found."""
        first = await self.async_runner("desk", "i-1")
        app = await self.async_gateway()
        await self.async_ready(app, 1)
        self.store.put("servers/i-1", entry(first, "desk", state="draining"))
        self.store.compact_history()
        await self.async_until(lambda: any(_drains(app)))

    async def test_refused_vm_takes_its_peers_view(self) -> None:
        """A VM that the store turns away learns of changes through its peers."""
        runner = await self.async_runner("desk", "i-1")
        dead_store = f"127.0.0.1:{self.peer_port}"
        first = await self.async_gateway(1)
        second = await self.async_gateway(2, store_address=dead_store)
        await self.async_ready(first, 1)
        await self.async_ready(second, 1)
        self.store.put("servers/i-1", entry(runner, "desk", state="draining"))
        await self.async_until(lambda: any(_drains(second)))
        reply = await self.client.async_request(
            second.options.directory_listen or "", "GET", "/resolve?name=shop.example"
        )
        addresses = json.loads(await reply.async_read())["addresses"]
        self.assertEqual(sorted(addresses), sorted(app.options.listen for app in self.apps))

    async def test_leaving_vm_is_named_no_more(self) -> None:
        """A leaving VM is not ready, is not named, and still serves."""
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
    """Return a route with little time."""
    routes = configuration()["routes"]
    return dict(routes[0], timeout_ms=200)


def _version(app: GatewayApp) -> int:
    """Return the version in force."""
    return app.dispatcher.routes.configuration.version if app.dispatcher.routes else 0


def _drains(app: GatewayApp) -> list[bool]:
    """Return which endpoints are draining."""
    return [endpoint.is_draining for endpoint in app.view_cache.view.endpoints.values()]


def _numbers(body: bytes) -> list[int]:
    """Return the identifiers of a stream's events."""
    events = body.decode().split("\n\n")[:-1]
    return [int(event.split("\n")[0].removeprefix("id: ")) for event in events]
