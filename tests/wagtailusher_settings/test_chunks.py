"""Chunked documents and differences.

Guards against a document assembled from chunks of two revisions, as when the key is written
between two reads, and against changes that a comparison of revisions misses.
"""

from __future__ import annotations

from hashlib import sha256
import json
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from wagtailusher_settings import (
    ChunkAssembler,
    SettingsError,
    canonical_bytes,
    diff_policies,
    diff_settings,
    parse_manifest,
    parse_settings,
    split_document,
)
from wagtailusher_settings.measure import build_document


def build_content(revision: int, weights: dict[int, float]) -> bytes:
    """Return a canonical document of forty workspaces; `weights` overrides some by index."""
    document = build_document(40, revision)
    for index, weight in weights.items():
        document["workspaces"][f"workspace-{index:05d}"]["weight"] = weight
    return canonical_bytes(json.dumps(document).encode())


WEIGHTS = st.dictionaries(st.integers(0, 39), st.floats(0.5, 9.0), max_size=4)


class ChunksTest(unittest.TestCase):
    """Manifests, chunks and differences."""

    @settings(max_examples=25)
    @given(st.lists(WEIGHTS, min_size=2, max_size=4), st.data())
    def test_chunks_of_several_revisions_are_never_combined(
        self, revisions: list[dict[int, float]], data: st.DataObject
    ) -> None:
        contents = [build_content(index + 1, item) for index, item in enumerate(revisions)]
        bundles = [split_document(content, chunk_bytes=2_000) for content in contents]
        chunks = [chunk for bundle in bundles for chunk in bundle.chunks.values()]
        assembler = ChunkAssembler()
        for _ in range(3):
            index = data.draw(st.integers(0, len(bundles) - 1))
            manifest = parse_manifest(bundles[index].manifest)
            assert manifest is not None
            assembler.set_manifest(manifest)
            for chunk in data.draw(st.permutations(chunks))[: len(chunks) // 2]:
                assembler.add_chunk(chunk)
                assembled = assembler.assemble()
                self.assertIn(assembled, (None, contents[index]))
            for chunk in chunks:
                assembler.add_chunk(chunk)
            self.assertEqual(assembler.assemble(), contents[index])

    def test_a_new_root_is_checked_against_unchanged_workspaces(self) -> None:
        document = build_document(2)
        own = document["workspaces"]["workspace-00001"]["routes"]["chat-0"]
        own["default_class"] = "lookup"
        previous = parse_settings(canonical_bytes(json.dumps(document).encode()))
        document["revision"] = 2
        del document["fleet"]["routes"]["chat-0"]["classes"]["lookup"]
        content = canonical_bytes(json.dumps(document).encode())
        for previous_or_none in (None, previous):
            with self.assertRaises(SettingsError) as caught:
                parse_settings(content, previous=previous_or_none)
            keys = [problem.key for problem in caught.exception.problems]
            self.assertEqual(keys, ["workspaces.workspace-00001.routes.chat-0.default_class"])

    def test_a_chunk_of_another_revision_is_not_kept(self) -> None:
        manifest = parse_manifest(split_document(build_content(1, {})).manifest)
        assert manifest is not None
        assembler = ChunkAssembler()
        assembler.set_manifest(manifest)
        other = split_document(build_content(2, {3: 8.0}))
        added = [assembler.add_chunk(chunk) for chunk in other.chunks.values()]
        self.assertEqual(added, [True, False])

    def test_one_change_rewrites_one_chunk(self) -> None:
        old = split_document(build_content(1, {}), chunk_bytes=2_000)
        new = split_document(build_content(2, {3: 8.0}), chunk_bytes=2_000)
        self.assertGreater(len(old.chunks), 3)
        self.assertEqual(len(new.chunks.keys() - old.chunks.keys()), 1)

    def test_faulty_manifests_and_chunks_are_refused(self) -> None:
        self.assertIsNone(parse_manifest(b"revision: 1"))
        for content in (b"chunks: 3", b"revision: 1\nchunks: []", b'{"chunks": [{"key": "../x"}]}'):
            with self.subTest(content=content), self.assertRaises(SettingsError):
                parse_manifest(content)
        for parts in ((b"{]", b"{}"), (b'{"workspaces":{"a":{}}}',) * 2, (b'{"epoch":1}', b"{}")):
            with self.subTest(parts=parts), self.assertRaises(SettingsError):
                self._assemble(parts)

    def test_one_change_alters_two_lines_of_the_canonical_form(self) -> None:
        old, new = build_content(1, {}).splitlines(), build_content(2, {3: 8.0}).splitlines()
        differing = [pair for pair in zip(old, new, strict=True) if pair[0] != pair[1]]
        self.assertEqual(len(differing), 2)
        self.assertEqual(differing[0], (b'"revision":1,', b'"revision":2,'))
        self.assertTrue(differing[1][1].startswith(b'"workspace-00003":'))

    @settings(max_examples=25)
    @given(WEIGHTS)
    def test_reuse_of_the_previous_revision_changes_nothing(
        self, weights: dict[int, float]
    ) -> None:
        previous = parse_settings(build_content(1, {}))
        content = build_content(2, weights)
        reused = parse_settings(content, previous=previous)
        fresh = parse_settings(content)
        self.assertEqual(list(reused.policies()), list(fresh.policies()))
        found = {change.key for change in diff_settings(previous, reused)}
        changed = {index for index, weight in weights.items() if weight != 1.0 + index % 3}
        self.assertEqual(found, {f"workspaces.workspace-{index:05d}.weight" for index in changed})

    def test_diff_policies_reports_classes_affected_by_a_fleet_change(self) -> None:
        document = build_document(3)
        old = parse_settings(json.dumps(document).encode())
        document["fleet"]["routes"]["chat-0"]["classes"]["advice"]["first_token_target_ms"] = 500
        document["fleet"]["routes"]["chat-1"]["classes"]["advice"]["tier"] = 4
        document["workspaces"].pop("workspace-00002")
        policy_changes = list(diff_policies(old, parse_settings(json.dumps(document).encode())))
        kept = [(item.key, item.route_id) for item in policy_changes if item.new is not None]
        expected = [((f"workspace-0000{i}", "advice"), "chat-1") for i in range(2)]
        self.assertEqual(kept, expected)
        self.assertEqual(
            {item.key.workspace_id for item in policy_changes if item.new is None},
            {"workspace-00002"},
        )

    def _assemble(self, parts: tuple[bytes, ...]) -> bytes | None:
        """Return the document assembled from chunks under a manifest that lists them."""
        bundle = split_document(build_content(1, {}))
        template = json.loads(bundle.manifest)
        assembler = ChunkAssembler()
        template["chunks"] = [
            {"key": f"k{index}", "sha256": sha256(part).hexdigest(), "size_bytes": len(part)}
            for index, part in enumerate(parts)
        ]
        manifest = parse_manifest(json.dumps(template).encode())
        assert manifest is not None
        assembler.set_manifest(manifest)
        for part in parts:
            assembler.add_chunk(part)
        return assembler.assemble()
