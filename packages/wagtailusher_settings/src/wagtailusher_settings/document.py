"""Parsing of YAML and JSON into plain values, with the line of each key."""

from __future__ import annotations

from collections.abc import Iterator
import json
import re
from typing import Any, Final, NoReturn

import yaml

from wagtailusher_settings.const import MAX_DOCUMENT_BYTES, MAX_DOCUMENT_DEPTH
from wagtailusher_settings.errors import Problem, SettingsError

Path = tuple[str | int, ...]

_TAG: Final = "tag:yaml.org,2002:"


class _Loader(yaml.CSafeLoader):
    """A YAML loader that resolves only JSON's scalars: no octal numbers, no `yes`, no dates."""

    yaml_implicit_resolvers: dict[str, list[tuple[str, re.Pattern[str]]]] = {}


_Loader.add_implicit_resolver(_TAG + "bool", re.compile(r"^(?:true|false)$"), list("tf"))
_Loader.add_implicit_resolver(_TAG + "null", re.compile(r"^(?:null|~|)$"), ["n", "~", ""])
_Loader.add_implicit_resolver(
    _TAG + "int", re.compile(r"^-?(?:0|[1-9][0-9]{0,17})$"), list("-0123456789")
)
_Loader.add_implicit_resolver(
    _TAG + "float",
    re.compile(r"^-?(?:0|[1-9][0-9]*)(?:\.[0-9]+)?(?:[eE][-+]?[0-9]{1,3})?$"),
    list("-0123456789"),
)


def load_json(content: bytes) -> Any:
    """Return the value of a JSON text; raise SettingsError also for a duplicate key."""
    try:
        return json.loads(
            content.decode(), object_pairs_hook=_to_unique_mapping, parse_constant=_reject_constant
        )
    except json.JSONDecodeError as error:
        raise SettingsError(
            [Problem(key="", reason=error.msg, line=error.lineno, column=error.colno)]
        ) from error
    except (ValueError, RecursionError) as error:
        raise SettingsError([Problem(key="", reason=_shorten(error))]) from error


def load_yaml(content: bytes) -> Any:
    """Return the value of a YAML text; raise SettingsError also for duplicate keys and aliases."""
    node = _compose(content)
    problems: list[Problem] = []
    value = _construct(node, (), problems, set())
    if problems:
        raise SettingsError(problems)
    return value


def load_document(content: bytes) -> Any:
    """Return the value of a JSON or YAML document."""
    if len(content) > MAX_DOCUMENT_BYTES:
        raise SettingsError([Problem(key="", reason=f"larger than {MAX_DOCUMENT_BYTES} bytes")])
    if not is_json(content):
        return load_yaml(content)
    try:
        return load_json(content)
    except SettingsError as error:
        if any(problem.line is not None for problem in error.problems):
            raise
        load_yaml(content)
        raise


def is_json(content: bytes) -> bool:
    """Return whether a document begins like a JSON object."""
    return content[:64].lstrip().startswith(b"{")


def locate(content: bytes, paths: list[Path]) -> Iterator[tuple[int, int] | None]:
    """Yield the line and column of each path's key, or of its nearest parent."""
    try:
        root = _compose(content)
    except SettingsError:
        yield from (None for _ in paths)
        return
    for path in paths:
        yield _locate(root, path)


def format_path(path: Path) -> str:
    """Return a path in dotted form, as operators write it."""
    return ".".join(str(part) for part in path if part != "[key]")


def _compose(content: bytes) -> yaml.Node:
    """Return the root node of a YAML text."""
    try:
        node: yaml.Node | None = yaml.compose(content.decode(), Loader=_Loader)
    except UnicodeDecodeError as error:
        reason = f"not UTF-8 at byte {error.start}"
        raise SettingsError([Problem(key="", reason=reason)]) from error
    except yaml.MarkedYAMLError as error:
        mark = error.problem_mark or error.context_mark
        line, column = (None, None) if mark is None else (mark.line + 1, mark.column + 1)
        reason = error.problem or "not valid YAML"
        raise SettingsError([Problem(key="", reason=reason, line=line, column=column)]) from error
    except (yaml.YAMLError, RecursionError) as error:
        raise SettingsError([Problem(key="", reason=_shorten(error))]) from error
    if node is None:
        raise SettingsError([Problem(key="", reason="the document is empty")])
    return node


def _construct(node: yaml.Node, path: Path, problems: list[Problem], seen: set[int]) -> Any:
    """Return a node's value; append faults to `problems`."""
    if isinstance(node, yaml.ScalarNode):
        return _construct_scalar(node, path, problems)
    if id(node) in seen or len(path) > MAX_DOCUMENT_DEPTH:
        reason = "aliases are not allowed" if id(node) in seen else "nested too deeply"
        problems.append(_problem_at(node, path, reason))
        return None
    seen.add(id(node))
    if node.tag not in (_TAG + "seq", _TAG + "map"):
        problems.append(_problem_at(node, path, f"the tag {node.tag} is not allowed"))
    if isinstance(node, yaml.SequenceNode):
        children = enumerate(node.value)
        return [_construct(child, (*path, index), problems, seen) for index, child in children]
    values: dict[str, Any] = {}
    for key_node, child in node.value:
        key = key_node.value
        if not isinstance(key_node, yaml.ScalarNode):
            problems.append(_problem_at(key_node, path, "a key must be a word"))
            continue
        if key in values:
            problems.append(_problem_at(key_node, (*path, key), "the key is given twice"))
        values[key] = _construct(child, (*path, key), problems, seen)
    return values


def _construct_scalar(node: yaml.ScalarNode, path: Path, problems: list[Problem]) -> Any:
    """Return a scalar's value by its tag."""
    match node.tag.removeprefix(_TAG):
        case "str":
            return node.value
        case "int":
            return int(node.value)
        case "float":
            return float(node.value)
        case "bool":
            return node.value == "true"
        case "null":
            return None
    problems.append(_problem_at(node, path, f"the tag {node.tag} is not allowed"))
    return None


def _locate(root: yaml.Node, path: Path) -> tuple[int, int]:
    """Return the position of the deepest key of a path that the document has."""
    node = root
    mark = root.start_mark
    for part in path:
        found = _find_child(node, part)
        if found is None:
            break
        mark, node = found
    return mark.line + 1, mark.column + 1


def _find_child(node: yaml.Node, part: str | int) -> tuple[Any, yaml.Node] | None:
    """Return the position and node of a child, or None if there is no such child."""
    if isinstance(node, yaml.SequenceNode) and isinstance(part, int) and part < len(node.value):
        child = node.value[part]
        return child.start_mark, child
    if isinstance(node, yaml.MappingNode):
        for key_node, child in node.value:
            if key_node.value == part:
                return key_node.start_mark, child
    return None


def _problem_at(node: yaml.Node, path: Path, reason: str) -> Problem:
    """Return a problem with a node's position."""
    mark = node.start_mark
    return Problem(key=format_path(path), reason=reason, line=mark.line + 1, column=mark.column + 1)


def _to_unique_mapping(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    """Return the pairs as a mapping; raise ValueError for a duplicate key."""
    values = dict(pairs)
    if len(values) != len(pairs):
        raise ValueError("a key is given twice")
    return values


def _reject_constant(name: str) -> NoReturn:
    """Reject NaN and the infinities, which JSON doesn't have."""
    raise ValueError(f"{name} is not a number")


def _shorten(error: BaseException) -> str:
    """Return an error's text, bounded in length."""
    return str(error)[:200] or type(error).__name__
