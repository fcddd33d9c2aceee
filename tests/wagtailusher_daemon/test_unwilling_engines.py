"""Tests of the requests, besides chats, that a VM sends to an engine that wants none.

They guard against polls, resumes and cancellations that reach such an engine all the same.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any
import unittest
from unittest import mock

from tests.wagtailusher_placement.test_decider import endpoint
from wagtailusher_core import EndpointId, RequestId, VmId
from wagtailusher_daemon.load_poll import LoadPoll
from wagtailusher_daemon.load_reports import LoadReportCache
from wagtailusher_daemon.upstream import Upstream
from wagtailusher_integrations.engine import ChatCall, EngineError
from wagtailusher_placement import EndpointInfo
from wagtailusher_router import Cancel

WILLING = EndpointId("e1")
UNWILLING = EndpointId("e2")


class UnwillingEnginesTest(unittest.IsolatedAsyncioTestCase):
    """One engine that takes requests and one that wants none."""

    async def test_only_the_willing_engine_is_polled(self) -> None:
        node, engines = mock.Mock(), mock.Mock()
        node.decider.tracked_endpoints = (endpoint(WILLING), endpoint(UNWILLING))
        node.decider.steward_id.return_value = VmId("vm-1")
        polled: list[EndpointInfo] = []

        async def async_poll_load(infos: Iterable[EndpointInfo], *_: Any, **__: Any) -> list[Any]:
            polled.extend(infos)
            return []

        engines.async_poll_load = async_poll_load
        poll = LoadPoll(node, engines, LoadReportCache(VmId("vm-1")), lambda key: key != UNWILLING)
        await poll.async_poll_due()
        self.assertEqual([info.endpoint_id for info in polled], [WILLING])

    async def test_stream_is_not_resumed_and_nothing_cancelled_at_the_unwilling_engine(
        self,
    ) -> None:
        upstream = Upstream(
            mock.Mock(),
            lambda action: "127.0.0.1:1",
            may_send_extra=lambda endpoint_id: endpoint_id != UNWILLING,
        )
        upstream.engines = mock.Mock()
        dispatch = mock.Mock(endpoint_id=UNWILLING, address="127.0.0.1:1", resume_from=3)
        call = ChatCall(request_id=RequestId("r"), tier=0, body=b"", streams=True)
        with self.assertRaises(EngineError):
            await upstream.async_open(dispatch, call, traceparent="", may_send=lambda: True)
        upstream.cancel(Cancel(request_id=RequestId("r"), endpoint_id=UNWILLING))
        upstream.engines.async_resume.assert_not_called()
        upstream.engines.cancel.assert_not_called()
        upstream.cancel(Cancel(request_id=RequestId("r"), endpoint_id=WILLING))
        upstream.engines.cancel.assert_called_once()


if __name__ == "__main__":
    unittest.main()
