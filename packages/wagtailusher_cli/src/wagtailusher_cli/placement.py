"""The command that asks where a request would go now."""

from __future__ import annotations

from collections.abc import Sequence
from pathlib import Path
from urllib.parse import urlencode

from wagtailusher_cli.const import EXIT_OK, EXIT_PROBLEM
from wagtailusher_cli.exceptions import UsageError
from wagtailusher_cli.output import write_json, write_table
from wagtailusher_cli.queries import query_daemons
from wagtailusher_http import Headers
from wagtailusher_operator.const import HEADER_KEY, PATH_PLACEMENT
from wagtailusher_operator.models import Answer
from wagtailusher_operator.placement import PlacementAnswer

_Fields = dict[str, str | int | None]

_CANDIDATE_FIELDS = (
    *("endpoint_id", "failure_domain_id", "total_ms", "delay_ms", "queue_ms", "running_requests"),
    *("missing_tokens", "missing_ms", "partition_ms", "failure_ms", "cold_ms", "domain_ms"),
    "load_age_ms",
)
_BARRIER_FIELDS = (
    *("endpoint_id", "failure_domain_id", "reason", "queued_tokens", "running_requests"),
    "load_age_ms",
)


def placement(
    host: str,
    path: str,
    *,
    address: str | None = None,
    parts: str = "",
    prompt_tokens: int = 0,
    output_tokens: int = 0,
    deadline_ms: int | None = None,
    key_file: Path | None = None,
    workspace_id: str | None = None,
    attempt_id: str | None = None,
    software_version: str | None = None,
    json: bool = False,
) -> int:
    """Show where a request would go now and why; nothing is sent or reserved.

    :param host: Host of the route.
    :param path: Path of the request.
    :param address: Metrics addresses of entry VMs, separated by commas.
    :param parts: Parts of the prompt as ID:TOKENS,ID:TOKENS; the last is the request's own.
    :param prompt_tokens: Tokens of the whole prompt.
    :param output_tokens: Most tokens of the answer.
    :param deadline_ms: The caller's deadline.
    :param key_file: File with the caller's API key, which is not shown.
    :param workspace_id: Workspace of the caller, instead of a key.
    :param attempt_id: Identifier by which a route with several services chooses, without parts.
    :param software_version: Version that began the stream which the request resumes.
    :param json: Write one JSON object instead of tables.
    """
    fields: _Fields = {
        "host": host,
        "path": path,
        "parts": parts or None,
        "prompt_tokens": prompt_tokens,
    }
    fields |= {"output_tokens": output_tokens, "deadline_ms": deadline_ms}
    fields |= {"workspace_id": workspace_id, "attempt_id": attempt_id}
    answers = _ask(address, fields | {"software_version": software_version}, key_file)
    return _report(answers, json)


def _report(answers: list[PlacementAnswer], json: bool) -> int:
    """Write the answers; return a problem's exit code if any of them is a refusal."""
    if json:
        write_json({"placements": answers})
    else:
        for answer in answers:
            _write_answer(answer)
    return EXIT_PROBLEM if any(answer.refusal for answer in answers) else EXIT_OK


def _ask(address: str | None, fields: _Fields, key_file: Path | None) -> list[PlacementAnswer]:
    query = urlencode({name: value for name, value in fields.items() if value is not None})
    headers = None if key_file is None else Headers([(HEADER_KEY, _read_key(key_file))])
    return query_daemons(address, f"{PATH_PLACEMENT}?{query}", PlacementAnswer, headers)


def _read_key(path: Path) -> str:
    """Return the key in a file; raise UsageError without naming it."""
    try:
        key = path.read_text(encoding="ascii").strip()
    except (OSError, ValueError) as error:
        raise UsageError(f"{path}: the key can't be read") from error
    if not key or not key.isprintable():
        raise UsageError(f"{path}: one line with a key is needed")
    return key


def _write_answer(answer: PlacementAnswer) -> None:
    """Write where a request goes, and all endpoints of its service."""
    refusal = answer.refusal
    rows: list[list[object]] = [
        ["verdict", answer.verdict],
        ["endpoint", answer.endpoint_id],
        ["chance decides among", answer.tied_ids if len(answer.tied_ids) > 1 else None],
        ["refusal", f"{refusal.status} {refusal.code}: {refusal.message}" if refusal else None],
        ["retry after ms", refusal.retry_after_ms if refusal else None],
        ["route, service", f"{answer.route}, {answer.service}"],
        ["workspace, rank", f"{answer.workspace_id or '-'}, {answer.rank}"],
        ["queue", answer.queue],
        ["queued, ahead", f"{answer.queued_requests}, {answer.ahead_requests}"],
        ["expected, allowed wait ms", f"{answer.expected_wait_ms:.0f}, {answer.allowed_wait_ms}"],
        ["within the share", answer.pass_chance],
        ["more urgent wait elsewhere", answer.is_outranked],
        ["view age ms", answer.view_age_ms],
    ]
    write_table(f"placement by {answer.vm_id}", ["", ""], rows)
    _write_endpoints("candidates", _CANDIDATE_FIELDS, answer.candidates)
    _write_endpoints("left out", _BARRIER_FIELDS, answer.others)


def _write_endpoints(title: str, names: tuple[str, ...], items: Sequence[Answer]) -> None:
    columns = [name.removesuffix("_id").replace("_", " ") for name in names]
    write_table(title, columns, [[getattr(item, name) for name in names] for item in items])
