"""Extraction of one request's events from captured logs.

Guards against missing lines, and against state lines of other VMs or from after the request.
"""

from __future__ import annotations

import contextlib
import io
import json
from pathlib import Path
from tempfile import TemporaryDirectory
import unittest

from wagtailusher_cli.main import run
from wagtailusher_cli.request_log import read_lines, select_lines


def line(vm: str, at_ms: int, event: str, **fields: object) -> str:
    """Return a log line with something before it, as collectors write it."""
    value = {"message": event, "event": event, "vm": vm, "at_ms": at_ms} | fields
    return f"12.5 {vm} {json.dumps(value)}"


LOG = [
    line("vm-1", 10, "configuration", version=3),
    line("vm-1", 11, "configuration", version=4),
    line("vm-2", 12, "configuration", version=9),
    line("vm-1", 13, "endpoint", endpoint="i-1", state="ready"),
    line("vm-1", 14, "endpoint", endpoint="i-2", state="draining"),
    "no log line {",
    line("vm-1", 20, "attempt_failed", request="r1", endpoint="i-1", state="may_have_run"),
    line("vm-1", 25, "request", request="r1", endpoint="i-1", status=502),
    line("vm-1", 30, "configuration", version=5),
    line("vm-1", 31, "request", request="r2", endpoint="i-2", status=200),
]


class RequestLogTest(unittest.TestCase):
    """The lines of one request, and the state of its VM before."""

    def test_request_with_the_state_of_its_vm(self) -> None:
        """The latest state of each kind is shown, of this VM and these endpoints only."""
        selected = select_lines(read_lines(LOG), "r1")
        self.assertEqual([item["at_ms"] for item in selected], [11, 13, 20, 25])

    def test_refused_request_with_what_it_is_accused_of(self) -> None:
        """The quarantine of its fingerprint is shown, others are not."""
        log = [
            line("vm-1", 10, "quarantined", fingerprint="part:a", told_by=["vm-2"]),
            line("vm-1", 11, "quarantined", fingerprint="part:b"),
            line("vm-1", 20, "request", request="r1", quarantined="part:a", code="quarantined"),
        ]
        self.assertEqual([item["at_ms"] for item in select_lines(read_lines(log), "r1")], [10, 20])

    def test_request_with_the_liveness_of_its_endpoint(self) -> None:
        """Who found its endpoint silent is shown, and nothing of others."""
        log = [
            line("vm-1", 9, "endpoint_suspected", endpoint="i-1", told_by="vm-2"),
            line("vm-1", 10, "endpoint_unresponsive", endpoint="i-1", told_by="vm-2"),
            line("vm-1", 11, "endpoint_unresponsive", endpoint="i-2"),
            line("vm-1", 20, "request", request="r1", endpoint="i-1"),
        ]
        self.assertEqual([item["at_ms"] for item in select_lines(read_lines(log), "r1")], [10, 20])

    def test_command(self) -> None:
        """The command ends with 1 for an unknown request and 2 for a missing file."""
        with TemporaryDirectory() as folder:
            path = Path(folder) / "log"
            path.write_text("\n".join(LOG), encoding="utf-8")
            for arguments, code, text in (
                ([str(path), "r1"], 0, "status=502"),
                ([str(path), "r9"], 1, "not in"),
                ([str(path) + "x", "r1"], 2, ""),
            ):
                out = io.StringIO()
                with contextlib.redirect_stdout(out), contextlib.redirect_stderr(io.StringIO()):
                    self.assertEqual(run(["story", *arguments]), code)
                self.assertIn(text, out.getvalue())


if __name__ == "__main__":
    unittest.main()
