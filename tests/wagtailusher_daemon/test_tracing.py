"""Tests of the spans of a request and their link to the caller's trace."""

from __future__ import annotations

import json
from pathlib import Path
import tempfile
import unittest

from tests.wagtailusher_daemon.fleet import MODEL, Fleet

TRACE_ID = "0af7651916cd43dd8448eb211c80319c"
CALLER_SPAN_ID = "b7ad6b7169203331"
CHAT = {"model": MODEL, "messages": [{"role": "user", "content": "x"}]}


class TracingTest(unittest.IsolatedAsyncioTestCase):
    """A sampled request writes its spans to the trace file, an unsampled one writes none."""

    async def test_spans_of_sampled_requests(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "spans.jsonl"
            fleet = Fleet(vm_count=1, options={"trace_file": str(path)})
            await fleet.async_start()
            sampled = {"traceparent": f"00-{TRACE_ID}-{CALLER_SPAN_ID}-01"}
            for headers in (sampled, {"traceparent": f"00-{'1' * 32}-{CALLER_SPAN_ID}-00"}):
                answer = await fleet.async_post("/v1/chat/completions", CHAT, headers=headers)
                await answer.async_read()
            await fleet.async_stop()
            lines = path.read_text(encoding="utf-8").splitlines()
        spans = {span["name"]: span for span in map(json.loads, lines)}
        self.assertEqual(set(spans), {"caller", "queue", "decision", "endpoint"})
        self.assertEqual(len(lines), 4)
        root = spans["caller"]
        self.assertEqual(root["parent_id"], f"0x{CALLER_SPAN_ID}")
        for name, span in spans.items():
            self.assertEqual(span["context"]["trace_id"], f"0x{TRACE_ID}")
            if name != "caller":
                self.assertEqual(span["parent_id"], root["context"]["span_id"])


if __name__ == "__main__":
    unittest.main()
