"""Tests of a request's log line.

They guard against a preempted request whose line does not tell how it was ranked, and on whose
reports its endpoint was chosen.
"""

from __future__ import annotations

import unittest

from tests.wagtailusher_gateway.builders import (
    ENGINES,
    VM_IDS,
    endpoint,
    new_placement,
    route,
    terms,
    view,
)
from wagtailusher_core import EndpointId, WorkspaceId
from wagtailusher_gateway.endpoint_registry import Load
from wagtailusher_gateway.metrics import GatewayMetrics
from wagtailusher_gateway.models import Workspace
from wagtailusher_gateway.request_record import RequestRecord

NOW_MS = 1_000


class RequestRecordTest(unittest.TestCase):
    """The line has the rank, the workspace and what was known of the endpoint's load."""

    def test_line_tells_rank_and_age_of_the_assumed_load(self) -> None:
        current = view(endpoint(1, software_version="v2"))
        placement = new_placement(current)
        for number, received_ms in ((1, 300), (2, 900)):
            placement.registry.set_peer_loads(
                VM_IDS[number], [(EndpointId("i-1"), Load(requests=2))], received_ms
            )
        placement.try_reserve(ENGINES, terms(1), current, VM_IDS, NOW_MS, rank=0)
        reservation = placement.try_reserve(ENGINES, terms(2), current, VM_IDS, NOW_MS, rank=0)
        assert reservation is not None
        record = RequestRecord(terms(2), current, GatewayMetrics(), lambda: NOW_MS)
        record.record_route(route(), "engines", Workspace(workspace_id=WorkspaceId("members")), 3)
        record.record_reservation(reservation, NOW_MS)
        with self.assertLogs("wagtailusher_gateway", "INFO") as caught:
            record.record_answer(200)
        line = caught.records[0].__dict__
        self.assertEqual((line["workspace"], line["rank"]), ("members", 3))
        self.assertEqual((line["running"], line["own_running"]), (5, 1))
        self.assertEqual(line["load_age_ms"], 700)
        self.assertEqual(line["software_version"], "v2")


if __name__ == "__main__":
    unittest.main()
