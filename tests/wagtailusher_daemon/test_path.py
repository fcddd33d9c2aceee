"""End-to-end tests: callers, entry apps, engine stand-ins and a booking service."""

from __future__ import annotations

import asyncio
import json
import unittest
from unittest.mock import patch

from tests.standins.config_service import async_wait_until
from tests.wagtailusher_daemon.fleet import FLEET_SECRET, MODEL, Fleet, settings_document
from wagtailusher_core import Revision

END_MARKER = b"data: [DONE]\n\n"


class PathTest(unittest.IsolatedAsyncioTestCase):
    """Guards against wrong, duplicate or incomplete answers, with and without endpoint failures."""

    async def asyncSetUp(self) -> None:
        self.fleet = Fleet()
        await self.fleet.async_start()

    async def asyncTearDown(self) -> None:
        await self.fleet.async_stop()

    async def test_chat_with_and_without_streaming(self) -> None:
        status, body = await self.fleet.async_chat()
        self.assertEqual((status, body.count(b"data: ")), (200, 9))
        self.assertTrue(body.endswith(END_MARKER))
        status, body = await self.fleet.async_chat(vm=1, stream=False)
        self.assertEqual(status, 200)
        self.assertEqual(json.loads(body)["usage"]["completion_tokens"], 8)

    async def test_concurrent_chats_are_all_complete(self) -> None:
        answers = await asyncio.gather(
            *(self.fleet.async_chat(vm=number % 2) for number in range(40))
        )
        bad = [item for item in answers if item[0] != 200 or not item[1].endswith(END_MARKER)]
        self.assertEqual(bad, [])

    async def test_bad_requests_get_codes(self) -> None:
        chat = {"model": MODEL, "messages": [{"role": "user", "content": "x"}]}
        cases = [
            (b"{broken", {}, 400, "bad_request"),
            (chat | {"messages": []}, {}, 400, "bad_request"),
            (chat | {"max_tokens": -5}, {}, 400, "bad_request"),
            (chat | {"max_completion_tokens": 0}, {}, 400, "bad_request"),
            (chat | {"model": "none"}, {}, 404, "unknown_model"),
            (chat, {"authorization": "Bearer wrong"}, 401, "unauthorized"),
            (chat, {"x-wagtailusher-class": "none"}, 400, "unknown_class"),
            (chat, {"x-wagtailusher-route": "none"}, 404, "unknown_route"),
            (chat, {"x-wagtailusher-forwarded": "Zm9yZ2Vk.AAAA"}, 403, "peer_unauthenticated"),
        ]
        for value, headers, status, code in cases:
            with self.subTest(code=code):
                answer = await self.fleet.async_post("/v1/chat/completions", value, headers=headers)
                error = json.loads(await answer.async_read())["error"]
                self.assertEqual((answer.status, error["code"]), (status, code))
                self.assertEqual(error["outcome"], "not_run")
        self.assertEqual(sum(engine.counters.started for engine in self.fleet.engines), 0)

    async def test_models_are_listed_for_known_keys_only(self) -> None:
        for headers, status in (({}, 200), ({"authorization": "Bearer wrong"}, 401)):
            answer = await self.fleet.client.async_request(
                self.fleet.apps[0].address, "GET", "/v1/models", self.fleet.headers(headers)
            )
            self.assertEqual(answer.status, status)

    async def test_fleet_wide_settings_are_applied(self) -> None:
        document = settings_document(2, max_body_bytes=200, ticket_lifetime_ms=1)
        self.fleet.config_service.publish("settings", document)
        second = Revision(epoch=0, number=2)
        await async_wait_until(
            lambda: all(
                app.view.settings is not None and app.view.settings.revision == second
                for app in self.fleet.apps
            )
        )
        status, body = await self.fleet.async_chat(padding="x" * 300)
        self.assertEqual((status, json.loads(body)["error"]["code"]), (413, "body_too_large"))
        ticket = await self.fleet.async_ticket()
        await asyncio.sleep(0.01)
        status, value = await self.fleet.async_book("b9", ticket)
        self.assertEqual((status, value["error"]["code"]), (410, "ticket_expired"))
        self.assertEqual(self.fleet.booking.executions["b9"], 0)

    async def test_booking_sent_repeatedly_runs_once(self) -> None:
        ticket = await self.fleet.async_ticket(vm=0)
        answers = await asyncio.gather(
            *(self.fleet.async_book("b1", ticket, vm=number % 2) for number in range(6))
        )
        self.assertEqual([status for status, _ in answers], [200] * 6)
        self.assertEqual(self.fleet.booking.executions["b1"], 1)

    async def test_booking_without_ticket_or_with_a_forged_one_is_not_run(self) -> None:
        answer = await self.fleet.async_post("/services/bookings/new", {"booking_id": "b2"})
        self.assertEqual(answer.status, 428)
        await answer.async_read()
        ticket = await self.fleet.async_ticket()
        status, value = await self.fleet.async_book("b2", ticket[:-2] + "xx")
        self.assertEqual((status, value["error"]["code"]), (403, "ticket_invalid"))
        self.assertEqual(self.fleet.booking.executions["b2"], 0)

    async def test_replaced_home_never_runs_the_booking_again(self) -> None:
        ticket = await self.fleet.async_ticket(vm=0)
        status, _ = await self.fleet.async_book("b3", ticket, vm=1)
        self.assertEqual(status, 200)
        await self.fleet.async_replace(0)
        for vm in (0, 1):
            _, value = await self.fleet.async_book("b3", ticket, vm=vm)
            self.assertEqual(value["error"]["outcome"], "unknown")
        self.assertEqual(self.fleet.booking.executions["b3"], 1)

    async def test_refusal_before_the_lookup_is_unknown_for_a_ticket_that_ran(self) -> None:
        ticket = await self.fleet.async_ticket(vm=0)
        await self.fleet.async_book("b4", ticket, vm=0)
        with patch.object(self.fleet.apps[1].view.settings_cache, "_current", None):
            _, value = await self.fleet.async_book("b4", ticket, vm=1)
        self.assertEqual(value["error"]["code"], "not_ready")
        self.assertEqual(value["error"]["outcome"], "unknown")

    async def test_refusal_of_an_unread_body_is_unknown_for_a_ticket(self) -> None:
        body = b"x" * (5 * 1024 * 1024)
        for headers, outcome in (({}, "not_run"), ({"x-wagtailusher-ticket": "t"}, "unknown")):
            with self.subTest(outcome=outcome):
                answer = await self.fleet.async_post(
                    "/services/bookings/new", body, headers=headers
                )
                error = json.loads(await answer.async_read())["error"]
                self.assertEqual((error["code"], error["outcome"]), ("body_too_large", outcome))

    async def test_stream_that_times_out_is_resumed_over_a_new_connection(self) -> None:
        for engine in self.fleet.engines:
            engine.behaviour.silent_after_tokens = 3
        status, body = await self.fleet.async_chat()
        self.assertEqual((status, body.count(b"data: ")), (200, 9))
        texts = [f"t{number} ".encode() for number in range(8)]
        self.assertEqual([body.count(text) for text in texts], [1] * 8)

    async def test_stream_that_ends_early_is_reported_truncated(self) -> None:
        for engine in self.fleet.engines:
            engine.behaviour.stop_after_tokens = 3
        with self.assertRaises(Exception) as caught:
            await self.fleet.async_chat()
        self.assertEqual(getattr(caught.exception, "code", None), "answer_truncated")

    async def test_malformed_and_mismatched_answers_are_not_relayed(self) -> None:
        first, second = self.fleet.engines
        first.behaviour.wrong_request_id = True
        second.behaviour.wrong_request_id = True
        status, body = await self.fleet.async_chat()
        self.assertEqual((status, json.loads(body)["error"]["code"]), (502, "endpoint_failed"))
        first.behaviour.wrong_request_id = second.behaviour.wrong_request_id = False
        first.behaviour.malformed_response = second.behaviour.malformed_response = True
        for stream in (True, False):
            status, body = await self.fleet.async_chat(stream=stream)
            self.assertEqual((status, json.loads(body)["error"]["code"]), (502, "endpoint_failed"))
        second.behaviour.malformed_response = False
        status, body = await self.fleet.async_chat()
        self.assertTrue(body.endswith(END_MARKER))

    async def test_caller_disconnect_cancels_the_engine_request(self) -> None:
        task = asyncio.create_task(self.fleet.async_chat(max_tokens=1000))
        await self._async_until("started")
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        await self._async_until("cancelled")
        self.assertEqual(self.fleet.apps[0].node.decider.in_flight_count, 0)

    async def _async_until(self, counter: str) -> None:
        """Wait until a counter of any engine is above zero."""
        for _ in range(1000):
            if any(getattr(engine.counters, counter) for engine in self.fleet.engines):
                return
            await asyncio.sleep(0.01)
        self.fail(f"no engine counted {counter}")


class RotationTest(unittest.IsolatedAsyncioTestCase):
    """Guards against rejected messages while VMs use the old and the new secret in a rotation."""

    async def asyncSetUp(self) -> None:
        new = "another-secret-of-the-fleet"
        self.fleet = Fleet(
            options_by_number={
                0: {"previous_fleet_secret": new},
                1: {"fleet_secret": new, "previous_fleet_secret": FLEET_SECRET},
            }
        )
        await self.fleet.async_start()

    async def asyncTearDown(self) -> None:
        await self.fleet.async_stop()

    async def test_bookings_are_forwarded_in_both_directions(self) -> None:
        for home, other in ((0, 1), (1, 0)):
            ticket = await self.fleet.async_ticket(vm=home)
            status, _ = await self.fleet.async_book(f"b{home}", ticket, vm=other)
            self.assertEqual(status, 200)
        self.assertEqual(dict(self.fleet.booking.executions), {"b0": 1, "b1": 1})


class IsolationTest(unittest.IsolatedAsyncioTestCase):
    """Guards against a VM that accepts requests without contact to the service and its peers."""

    async def asyncSetUp(self) -> None:
        self.fleet = Fleet(vm_count=3)
        await self.fleet.async_start()

    async def asyncTearDown(self) -> None:
        await self.fleet.async_stop()

    async def test_isolated_vm_refuses_and_recovers(self) -> None:
        status, _ = await self.fleet.async_chat()
        self.assertEqual(status, 200)
        self.fleet.config_service.behaviour.down = True
        with patch.object(self.fleet.apps[0].link, "datagram_received"):
            await async_wait_until(lambda: not self.fleet.apps[0].is_ready)
            status, body = await self.fleet.async_chat()
        error = json.loads(body)["error"]
        self.assertEqual((status, error["code"]), (503, "not_ready"))
        self.assertEqual(error["outcome"], "not_run")
        await async_wait_until(lambda: self.fleet.apps[0].is_ready)


class ColdServiceTest(unittest.IsolatedAsyncioTestCase):
    """A home without credits at a cold service hands over the right to run to the steward."""

    async def asyncSetUp(self) -> None:
        self.fleet = Fleet(booking_cold_limit=1)
        await self.fleet.async_start()

    async def asyncTearDown(self) -> None:
        await self.fleet.async_stop()

    async def test_booking_is_handed_over_and_runs_once(self) -> None:
        ticket = await self.fleet.async_ticket(vm=1)
        answers = [await self.fleet.async_book("b1", ticket, vm=vm) for vm in (1, 0, 1)]
        self.assertEqual(answers, [(200, {"booked": "b1"})] * 3)
        self.assertEqual(self.fleet.booking.executions["b1"], 1)


if __name__ == "__main__":
    unittest.main()
