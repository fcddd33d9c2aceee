"""Commands on settings files; no daemon is queried."""

from __future__ import annotations

from collections import Counter
import copy
from json import dumps
from pathlib import Path
from typing import Any

from wagtailusher_cli.const import EXIT_OK, EXIT_PROBLEM
from wagtailusher_cli.exceptions import CommandError, UsageError
from wagtailusher_cli.output import format_cell, write_json, write_line, write_table
from wagtailusher_settings import (
    Inherited,
    PolicyChange,
    Settings,
    SettingsError,
    UnknownKeyError,
    diff_policies,
    diff_settings,
    load_document,
    parse_settings,
    split_document,
)


def check(tree: Path, *, json: bool = False) -> int:
    """Check a settings tree and report every problem at once.

    :param tree: File with the tree, in YAML or JSON.
    :param json: Write one JSON object instead of lines.
    """
    try:
        settings = parse_settings(_read(tree))
    except SettingsError as error:
        if json:
            write_json(
                {"valid": False, "problems": [_plain_problem(item) for item in error.problems]}
            )
        else:
            for problem in error.problems:
                write_line(f"{tree}: {problem}")
        return EXIT_PROBLEM
    summary = {
        "valid": True,
        "revision": str(settings.revision),
        "workspaces": len(settings.workspaces),
        "routes": sorted(settings.route_ids),
        "models": sorted(settings.model_ids),
        "services": sorted(settings.service_ids),
    }
    if json:
        write_json(summary)
    else:
        count = len(settings.workspaces)
        write_line(f"{tree}: revision {settings.revision} is valid, {count} workspaces")
    return EXIT_OK


def show(tree: Path, path: str, *, json: bool = False) -> int:
    """Show the effective value of a key, and the level of the tree that sets it.

    :param tree: File with the tree, in YAML or JSON.
    :param path: Key such as workspaces.W.routes.R.classes.C.tier, or a path above keys.
    :param json: Write one JSON object instead of a table.
    """
    settings = _parse(tree)
    try:
        found = settings.explain(path)
    except UnknownKeyError as error:
        raise CommandError(f"{path}: {error.message}", code=error.code) from error
    if json:
        write_json({"path": path, "values": [_plain_inherited(item) for item in found]})
        return EXIT_OK
    rows = [
        [item.key, format_cell(item.value), item.source, "in effect" if item.effective else ""]
        for item in found
    ]
    write_table(path, ["key", "value", "set by", ""], rows)
    return EXIT_OK


def diff(old: Path, new: Path, *, json: bool = False) -> int:
    """Compare two revisions key by key.

    :param old: File with the older tree.
    :param new: File with the newer tree.
    :param json: Write one JSON object instead of a table.
    """
    before, after = _parse(old), _parse(new)
    changes = diff_settings(before, after)
    if json:
        plain = [{"key": item.key, "old": item.old, "new": item.new} for item in changes]
        revisions = {"old": str(before.revision), "new": str(after.revision)}
        write_json({"revisions": revisions, "changes": plain})
        return EXIT_OK
    title = f"revision {before.revision} to {after.revision}: {len(changes)} keys differ"
    rows = [[item.key, format_cell(item.old), format_cell(item.new)] for item in changes]
    write_table(title, ["key", "old", "new"], rows)
    return EXIT_OK


def reach(tree: Path, *change: str, new: Path | None = None, json: bool = False) -> int:
    """List the classes whose effective values a change would alter; nothing is changed.

    :param tree: File with the tree as it is.
    :param change: Changes such as fleet.tier=3; the value is read as YAML.
    :param new: File with the tree as it would be, instead of single changes.
    :param json: Write one JSON object instead of tables.
    """
    if bool(change) == (new is not None):
        raise UsageError("give either changes such as fleet.tier=3, or --new with a file")
    before = _parse(tree)
    after = _parse(new) if new is not None else _apply_changes(_read(tree), change)
    policy_changes = list(diff_policies(before, after))
    if json:
        write_json({"classes": [_plain_policy_change(item) for item in policy_changes]})
        return EXIT_OK
    _write_policy_changes(policy_changes)
    return EXIT_OK


def pack(tree: Path, folder: Path, *, key: str = "settings", json: bool = False) -> int:
    """Write a tree as a manifest and chunks, one file for each key of the configuration service.

    :param tree: File with the tree, in YAML or JSON.
    :param folder: Folder that receives the files; publish the manifest last.
    :param key: Key of the manifest, and prefix of the chunks' keys.
    :param json: Write one JSON object instead of a table.
    """
    _parse(tree)
    bundle = split_document(_read(tree), prefix=key)
    values = {**bundle.chunks, key: bundle.manifest}
    for name, content in values.items():
        target = folder / f"{name}.json"
        target.parent.mkdir(parents=True, exist_ok=True)
        target.write_bytes(content)
    if json:
        write_json({"keys": {name: len(content) for name, content in values.items()}})
        return EXIT_OK
    rows = [[name, len(content)] for name, content in values.items()]
    write_table("in the order of publication", ["key", "bytes"], rows)
    return EXIT_OK


def _read(path: Path) -> bytes:
    """Return a file's content."""
    try:
        return path.read_bytes()
    except OSError as error:
        raise UsageError(f"{path}: {error.strerror}") from error


def _parse(path: Path) -> Settings:
    """Return the settings in a file."""
    try:
        return parse_settings(_read(path))
    except SettingsError as error:
        lines = "\n".join(f"{path}: {problem}" for problem in error.problems)
        raise CommandError(lines, code=error.code) from error


def _apply_changes(content: bytes, changes: tuple[str, ...]) -> Settings:
    """Return the settings of a document after setting single keys."""
    document = copy.deepcopy(load_document(content))
    for change in changes:
        path, separator, text = change.partition("=")
        if not separator:
            raise UsageError(f"{change}: KEY=VALUE is needed")
        _set_value(document, path.split("."), _read_value(text))
    try:
        return parse_settings(dumps(document).encode())
    except SettingsError as error:
        lines = "\n".join(f"{problem.key}: {problem.reason}" for problem in error.problems)
        raise CommandError(lines, code=error.code) from error


def _read_value(text: str) -> Any:
    """Return a value given on the command line."""
    try:
        return load_document(f"value: {text}".encode())["value"]
    except SettingsError as error:
        raise UsageError(f"{text}: not a YAML value") from error


def _set_value(document: dict[str, Any], parts: list[str], value: Any) -> None:
    """Set a key of a document; create missing mappings on its path."""
    node = document
    for part in parts[:-1]:
        child = node.setdefault(part, {})
        if not isinstance(child, dict):
            raise UsageError(f"{'.'.join(parts)}: {part} is not a mapping")
        node = child
    node[parts[-1]] = value


def _write_policy_changes(policy_changes: list[PolicyChange]) -> None:
    """Write a summary of policy changes, and the classes."""
    workspaces = {item.key.workspace_id for item in policy_changes}
    write_line(f"{len(policy_changes)} classes of {len(workspaces)} workspaces change")
    counts = Counter(change.key for item in policy_changes for change in item.changes)
    write_table("keys", ["key", "classes"], sorted(counts.items()))
    rows = []
    for item in policy_changes:
        values = [
            f"{change.key}: {format_cell(change.old)} to {format_cell(change.new)}"
            for change in item.changes
        ]
        description = _describe_change(item, values)
        rows.append([item.key.workspace_id, item.route_id, item.key.class_id, description])
    write_table("classes", ["workspace", "route", "class", "change"], rows)


def _describe_change(item: PolicyChange, values: list[str]) -> str:
    """Return the description of a class's change."""
    if item.old is None:
        return "added"
    if item.new is None:
        return "removed"
    return "; ".join(values)


def _plain_policy_change(item: PolicyChange) -> dict[str, Any]:
    """Return a policy change for JSON."""
    return {
        "workspace_id": item.key.workspace_id,
        "route_id": item.route_id,
        "class_id": item.key.class_id,
        "added": item.old is None,
        "removed": item.new is None,
        "changes": [{"key": c.key, "old": c.old, "new": c.new} for c in item.changes],
    }


def _plain_inherited(item: Inherited) -> dict[str, Any]:
    """Return a value and its source for JSON."""
    return {
        "key": item.key,
        "value": item.value,
        "source": item.source,
        "effective": item.effective,
    }


def _plain_problem(problem: Any) -> dict[str, Any]:
    """Return a problem for JSON."""
    return {
        "key": problem.key,
        "reason": problem.reason,
        "line": problem.line,
        "column": problem.column,
    }
