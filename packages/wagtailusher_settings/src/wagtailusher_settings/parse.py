"""Parsing and validation of documents; all problems are reported at once."""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field
from typing import Any, TypeVar

import msgspec
from pydantic import BaseModel, ValidationError

from wagtailusher_core import Revision, WorkspaceId
from wagtailusher_settings.canonical import HEADER_KEYS, TOP_KEYS, digest, split_canonical
from wagtailusher_settings.checks import (
    ValidationFault,
    check_api_keys,
    check_fleet,
    check_workspace,
)
from wagtailusher_settings.const import MAX_DOCUMENT_BYTES, MAX_REPORTED_PROBLEMS
from wagtailusher_settings.document import (
    Path,
    format_path,
    load_document,
    load_json,
    locate,
)
from wagtailusher_settings.errors import Problem, SettingsError
from wagtailusher_settings.schema import (
    FleetModel,
    HeaderModel,
    NameModel,
    WorkspaceModel,
)
from wagtailusher_settings.settings import Settings
from wagtailusher_settings.tree import FleetNode, WorkspaceNode, build_fleet, build_workspace

ModelT = TypeVar("ModelT", bound=BaseModel)


@dataclass(slots=True, kw_only=True)
class _Sections:
    """The parts of a document; workspaces are raw JSON if the document is canonical."""

    header: dict[str, Any]
    fleet: Any
    workspaces: Mapping[str, Any]
    fleet_digest: bytes | None = None
    digests: dict[WorkspaceId, bytes] = field(default_factory=dict)
    faults: list[ValidationFault] = field(default_factory=list)
    reports_positions: bool = True


def parse_settings(content: bytes, *, previous: Settings | None = None) -> Settings:
    """Return the settings of a document; reuse unchanged workspaces of `previous`.

    Raises SettingsError with all problems found.
    """
    if len(content) > MAX_DOCUMENT_BYTES:
        raise SettingsError([Problem(key="", reason=f"larger than {MAX_DOCUMENT_BYTES} bytes")])
    sections = _split_raw(content) or _split_loaded(content)
    faults = sections.faults
    header = _validate(HeaderModel, sections.header, (), faults)
    fleet_model = _validate(FleetModel, sections.fleet, ("fleet",), faults)
    workspaces = dict(_build_workspaces(sections, previous, faults))
    fleet = FleetNode() if fleet_model is None else build_fleet(fleet_model)
    if not faults:
        faults.extend(_check_tree(fleet, workspaces, sections, previous))
    if faults or header is None:
        raise SettingsError(_report(content if sections.reports_positions else None, faults))
    return Settings(
        revision=Revision(epoch=header.epoch, number=header.revision),
        fleet=fleet,
        workspaces=workspaces,
        digests=sections.digests,
        fleet_digest=sections.fleet_digest,
        content_digest=digest(content),
    )


def _split_raw(content: bytes) -> _Sections | None:
    """Return the parts of a canonical document without decoding workspaces."""
    parts = split_canonical(content)
    if parts is None:
        return None
    try:
        header = {key: load_json(bytes(raw)) for key, raw in parts.header.items()}
        fleet = load_json(bytes(parts.fleet))
    except SettingsError:
        return None
    return _Sections(
        header=header,
        fleet=fleet,
        workspaces=parts.workspaces,
        fleet_digest=digest(bytes(parts.fleet)),
        digests={WorkspaceId(name): digest(bytes(raw)) for name, raw in parts.workspaces.items()},
    )


def _split_loaded(content: bytes) -> _Sections:
    """Return the parts of any document."""
    document = load_document(content)
    if not isinstance(document, dict):
        raise SettingsError([Problem(key="", reason="a document is a mapping")])
    faults: list[ValidationFault] = [
        ((key,), "unknown key") for key in document if key not in TOP_KEYS
    ]
    workspaces = document.get("workspaces", {})
    if not isinstance(workspaces, dict):
        faults.append((("workspaces",), "a mapping is needed"))
        workspaces = {}
    return _Sections(
        header={key: document[key] for key in HEADER_KEYS if key in document},
        fleet=document.get("fleet", {}),
        workspaces=workspaces,
        faults=faults,
    )


def _build_workspaces(
    sections: _Sections, previous: Settings | None, faults: list[ValidationFault]
) -> Iterator[tuple[WorkspaceId, WorkspaceNode]]:
    """Yield the nodes of all valid workspaces; append faults to `faults`."""
    previous_digests = {} if previous is None else previous.digests
    for name, value in sections.workspaces.items():
        workspace_id = WorkspaceId(name)
        workspace_digest = sections.digests.get(workspace_id)
        if (
            previous is not None
            and workspace_digest is not None
            and workspace_digest == previous_digests.get(workspace_id)
        ):
            yield workspace_id, previous.workspaces[workspace_id]
            continue
        path: Path = ("workspaces", name)
        _validate(NameModel, {"name": name}, path, faults)
        try:
            plain = load_json(bytes(value)) if isinstance(value, msgspec.Raw) else value
        except SettingsError as error:
            faults.extend((path, problem.reason) for problem in error.problems)
            continue
        model = _validate(WorkspaceModel, plain, path, faults)
        if model is not None:
            yield workspace_id, build_workspace(model)


def _check_tree(
    fleet: FleetNode,
    workspaces: Mapping[WorkspaceId, WorkspaceNode],
    sections: _Sections,
    previous: Settings | None,
) -> Iterator[ValidationFault]:
    """Yield the faults between values; skip what was checked with the previous revision."""
    yield from check_fleet(fleet)
    yield from check_api_keys(workspaces)
    checked: Mapping[WorkspaceId, WorkspaceNode] = {}
    same_fleet = sections.fleet_digest is not None
    if previous is not None and same_fleet and previous.fleet_digest == sections.fleet_digest:
        checked = previous.workspaces
    for workspace_id, node in workspaces.items():
        if checked.get(workspace_id) is not node:
            yield from check_workspace(workspace_id, node, fleet)


def _validate(
    model: type[ModelT], value: Any, path: Path, faults: list[ValidationFault]
) -> ModelT | None:
    """Return a validated part, or None after appending its faults to `faults`."""
    try:
        return model.model_validate(value)
    except ValidationError as error:
        for item in error.errors(include_url=False, include_context=False, include_input=False):
            reason = item["msg"].replace("Extra inputs are not permitted", "unknown key")
            faults.append(((*path, *item["loc"]), reason))
        return None


def _report(content: bytes | None, faults: list[ValidationFault]) -> Iterator[Problem]:
    """Yield the problems, bounded in number, with their positions in `content` if given."""
    shown = faults[:MAX_REPORTED_PROBLEMS]
    paths = [path for path, _ in shown]
    positions = [None] * len(paths) if content is None else list(locate(content, paths))
    for (path, reason), position in zip(shown, positions, strict=True):
        line, column = position or (None, None)
        yield Problem(key=format_path(path), reason=reason, line=line, column=column)
    if len(faults) > len(shown):
        yield Problem(key="", reason=f"{len(faults) - len(shown)} more problems")
