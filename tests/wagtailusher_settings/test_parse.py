"""Parsing of documents.

Guards against a faulty document that is applied in part, and against problems that are not
reported or have the wrong key or line.
"""

from __future__ import annotations

from hashlib import sha256
import json
from pathlib import Path
from typing import Any
import unittest

from hypothesis import given
from hypothesis import strategies as st

from wagtailusher_core import ClassId, ErrorCode, PoolId, WorkspaceId
from wagtailusher_settings import SettingsError, UnknownKeyError, canonical_bytes, parse_settings

EXAMPLE = Path(__file__).parents[2] / "examples" / "settings.yaml"

SYNTAX_FRAGMENTS = [
    b"{",
    b"[",
    b": ",
    b"- ",
    b"&a ",
    b"*a",
    b"!!set ",
    b"null",
    b"1e999",
    b"<<: ",
    b"\n",
    b"? ",
]

FAULTY = b"""revision: 3
fleet:
  tier: 7
  tyer: 1
  routes:
    chat:
      models: [small]
      service: desk
      classes:
        advice:
          first_token_target_ms: 1.5
workspaces:
  bad name: {}
  tartu:
    api_key_sha256: [nonsense]
    repeatable: "no"
"""


def parse_problems(content: bytes) -> list[tuple[str, int | None]]:
    """Return the key and line of each problem of a document."""
    try:
        parse_settings(content)
    except SettingsError as error:
        return [(problem.key, problem.line) for problem in error.problems]
    return []


class ParseTest(unittest.TestCase):
    """Valid and faulty documents."""

    def test_example_resolves_through_its_ancestors(self) -> None:
        settings = parse_settings(EXAMPLE.read_bytes())
        jelgava = WorkspaceId("ziemelu-jelgava")
        policy = settings.resolve(workspace_id=jelgava, route_id="chat")
        self.assertEqual(policy.key, (jelgava, "advice"))
        self.assertEqual((policy.tier, policy.first_token_target_ms), (2, 900))
        self.assertEqual(policy.answer_target_ms, 20_000)
        self.assertEqual(policy.pool_ids, (PoolId("advisor-small"),))
        tartu = settings.workspace_by_api_key("tartu-demo-key")
        booking = settings.resolve(workspace_id=tartu, route_id="bookings")
        self.assertEqual((booking.tier, booking.repeatable, booking.weight), (0, False, 2.0))
        self.assertEqual(booking.pool_ids, (PoolId("booking-desk"),))

    def test_explain_names_the_ancestor_in_effect(self) -> None:
        settings = parse_settings(EXAMPLE.read_bytes())
        path = "workspaces.ziemelu-jelgava.routes.chat.classes.advice.tier"
        found = [(item.source, item.value, item.effective) for item in settings.explain(path)]
        leaf = ("fleet.routes.chat.classes.advice", 2, True)
        self.assertEqual(found, [("default", 3, False), ("fleet", 4, False), leaf])

    def test_unknown_keys_have_error_codes(self) -> None:
        settings = parse_settings(EXAMPLE.read_bytes())
        tartu = "treeningkoda-tartu"
        for names, code in (
            (("nobody", "chat", None), ErrorCode.UNKNOWN_WORKSPACE),
            ((tartu, "nowhere", None), ErrorCode.UNKNOWN_ROUTE),
            ((tartu, "chat", "nothing"), ErrorCode.UNKNOWN_CLASS),
        ):
            with self.subTest(names=names), self.assertRaises(UnknownKeyError) as caught:
                settings.resolve(
                    workspace_id=WorkspaceId(names[0]),
                    route_id=names[1],
                    class_id=None if names[2] is None else ClassId(names[2]),
                )
            self.assertEqual(caught.exception.code, code)
        with self.assertRaises(UnknownKeyError):
            settings.workspace_by_api_key("guess")

    def test_all_problems_are_reported_with_their_lines(self) -> None:
        self.assertEqual(
            parse_problems(FAULTY),
            [
                ("fleet.tier", 3),
                ("fleet.routes.chat.classes.advice.first_token_target_ms", 11),
                ("fleet.tyer", 4),
                ("workspaces.bad name.name", 13),
                ("workspaces.tartu.repeatable", 16),
                ("workspaces.tartu.api_key_sha256.0", 15),
            ],
        )

    def test_faults_between_values_are_reported(self) -> None:
        digest = sha256(b"same").hexdigest()
        document: dict[str, Any] = {
            "revision": 1,
            "fleet": {
                "routes": {
                    "chat": {
                        "models": ["m"],
                        "classes": {"a": {"share": 0.6}, "b": {"share": 0.6}},
                    },
                    "desk": {"service": "s", "default_class": "x", "classes": {"y": {}}},
                    "bare": {},
                }
            },
            "workspaces": {
                "one": {"api_key_sha256": [digest], "routes": {"desk": {"models": ["m"]}}},
                "two": {"api_key_sha256": [digest], "first_token_target_ms": 60_000},
            },
        }
        keys = {key for key, _ in parse_problems(json.dumps(document).encode())}
        expected = {
            "fleet.routes.chat",
            "fleet.routes.chat.classes",
            "fleet.routes.desk.default_class",
            "fleet.routes.bare",
            "workspaces.one.routes.desk",
            "workspaces.two.api_key_sha256.0",
            "workspaces.two.routes.chat.classes.a.first_token_target_ms",
        }
        self.assertLessEqual(expected, keys)

    @given(st.data())
    def test_damaged_documents_are_rejected_or_valid(self, data: st.DataObject) -> None:
        text = EXAMPLE.read_bytes()
        source = data.draw(st.sampled_from([text, canonical_bytes(text)]))
        start = data.draw(st.integers(0, len(source)))
        end = data.draw(st.integers(start, min(len(source), start + 40)))
        inserted = data.draw(st.binary(max_size=8) | st.sampled_from(SYNTAX_FRAGMENTS))
        damaged = source[:start] + inserted + source[end:]
        try:
            settings = parse_settings(damaged)
        except SettingsError as error:
            self.assertTrue(error.problems)
        else:
            self.assertTrue(all(0 <= policy.tier <= 6 for policy in settings.policies()))

    def test_hostile_documents_are_refused(self) -> None:
        for content, reason in (
            (b"", "the document is empty"),
            (b"\xff\xfe", "not UTF-8"),
            (b"revision: [", "did not find expected node content"),
            (b'{"revision": 1, "revision": 2}', "given twice"),
            (b'{"revision":1,"workspaces":{"a":{},"a":{}}}', "given twice"),
            (b'{"revision":1,"workspaces":{"a":{"tier":1,"tier":2}}}', "given twice"),
            (
                b'{"revision":1,\n"fleet":{},\n"workspaces":{\n"a":{"tier":1,"tier":2}\n}}\n',
                "twice",
            ),
            (b'{"revision":1,\n"fleet":{},\n"workspaces":{\n"a":{},\n"a":{}\n}}\n', "twice"),
            (b'{"revision":1,\n"fleet":{"tier":1,"tier":2},\n"workspaces":{\n\n}}\n', "twice"),
            (b"revision: 1\nrevision: 2\n", "given twice"),
            (b'{"revision": NaN}', "not a number"),
            (b"revision: 010", "valid integer"),
            (b"revision: 1\nfleet: &a {routes: *a}", "alias"),
            (b"revision: 1\nfleet: !!python/object:os.system {}", "is not allowed"),
            (b"[" * 100_000, "nest"),
            (b"- " * 100_000, "nest"),
            (b'{"a":' * 100_000, ""),
            (b"revision: 1\nworkspaces: 3", "a mapping is needed"),
            (b"3", "a document is a mapping"),
        ):
            with self.subTest(content=content[:60]):
                with self.assertRaises(SettingsError) as caught:
                    parse_settings(content)
                self.assertIn(reason, str(caught.exception))
                self.assertEqual(caught.exception.code, ErrorCode.SETTINGS_INVALID)
