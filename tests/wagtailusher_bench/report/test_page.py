"""Tests of reports.

A page with external parts or unescaped text, or an error without its line, can't be used.
"""

from __future__ import annotations

import json
import unittest

from wagtailusher_bench.report import ReportError, read_cases, read_run, render_page

REQUEST = {"kind": "request", "at_ms": 1500, "class_id": "advice", "result": "on_target"}
MARK = {"kind": "mark", "at_ms": 900, "text": "domain <b> is out"}
CASE = {
    "mix": "treeningkoda",
    "policy": "wagtailusher",
    "load": 0.7,
    "fault": "none",
    "goodput": 0.69,
    "wasted_work_share": 0.0,
    "attainment_by_class": {"booking": 1.0},
}


class ReportTest(unittest.TestCase):
    """The page contains its plots and escaped marks, and errors name file and line."""

    def test_page_is_self_contained(self) -> None:
        run = read_run(map(json.dumps, (REQUEST, MARK)), "demo.jsonl")
        page = render_page(run, read_cases([json.dumps(CASE)], "decisions.jsonl"))
        self.assertEqual(page.count("<svg"), 4)
        self.assertIn("domain &lt;b&gt; is out", page)
        self.assertNotIn("src=", page)

    def test_error_names_the_invalid_line(self) -> None:
        for lines, place in ((["", "{"], "demo.jsonl:2"), ([], "demo.jsonl")):
            with self.subTest(place=place), self.assertRaises(ReportError) as caught:
                read_run(lines, "demo.jsonl")
            self.assertTrue(caught.exception.message.startswith(place))


if __name__ == "__main__":
    unittest.main()
