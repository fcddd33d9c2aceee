"""Tables of the daemons' answers."""

from __future__ import annotations

from collections import Counter

from wagtailusher_cli.output import write_line, write_table
from wagtailusher_operator.models import FleetAnswer, RequestAnswer, SettingsAnswer


def write_fleet(answers: list[FleetAnswer]) -> None:
    """Write the members that each queried VM sees."""
    rows: list[list[object]] = []
    for answer in answers:
        states = Counter(member.state for member in answer.members)
        seen = ", ".join(f"{number} {state}" for state, number in sorted(states.items()))
        rows.append([answer.vm_id, answer.failure_domain_id, answer.ready, answer.revision, seen])
    write_table("asked", ["vm", "failure domain", "ready", "revision", "sees"], rows)
    first = answers[0]
    members: list[list[object]] = [
        [
            item.vm_id,
            item.failure_domain_id,
            item.state,
            item.address,
            item.revision,
            item.heard_age_ms,
        ]
        for item in first.members
    ]
    columns = ["vm", "failure domain", "state", "address", "revision", "heard ms ago"]
    write_table(f"members as {first.vm_id} sees them", columns, members)


def write_settings(answers: list[SettingsAnswer]) -> None:
    """Write the settings in force and the problems of rejected ones."""
    rows: list[list[object]] = [
        [
            answer.vm_id,
            answer.revision,
            answer.applied_age_ms,
            ", ".join(answer.drained_domains),
            answer.service_problem,
        ]
        for answer in answers
    ]
    columns = ["vm", "revision", "in force for ms", "drained", "configuration service"]
    write_table("settings", columns, rows)
    for answer in answers:
        for problem in answer.refusal.problems if answer.refusal else []:
            write_line(f"{answer.vm_id}: refused: {problem.key}: {problem.reason}")


def write_request(answer: RequestAnswer) -> None:
    """Write one request, its attempts and their candidates."""
    rows: list[list[object]] = [
        ["request", answer.request_id],
        ["class", f"{answer.workspace_id}/{answer.route_id}/{answer.class_id}"],
        ["tier", answer.tier],
        ["pool", answer.pool_id],
        ["state", answer.state],
        ["outcome", answer.outcome],
        ["code", answer.code],
        ["queued ms", answer.queued_ms],
        ["first token ms", answer.first_token_ms],
        ["total ms", answer.total_ms],
        ["target met", answer.target_met],
        ["forwarded to", answer.forwarded_to],
    ]
    write_table(f"{answer.trace_id} at {answer.vm_id}", ["", ""], rows)
    for number, attempt in enumerate(answer.attempts, start=1):
        title = f"attempt {number} after {attempt.started_after_ms} ms: {attempt.endpoint_id}"
        candidates = [
            [
                "chosen" if item.endpoint_id == attempt.endpoint_id else "",
                item.endpoint_id,
                item.score,
                item.own_tokens,
                item.reported_tokens,
                item.prompt_tokens,
                item.cached_tokens,
                item.slowness,
            ]
            for item in attempt.candidates
        ]
        columns = ["", "candidate", "score", "own tokens", "reported tokens"]
        columns += ["prompt tokens", "cached tokens", "slowness"]
        write_table(f"{title}, {attempt.end or 'in progress'}", columns, candidates)


def format_state(state: str, cold: bool, drained: bool, ejected: bool) -> str:
    """Return an endpoint's state with its marks, separated by commas."""
    marks = {"cold": cold, "drained": drained, "ejected": ejected}
    return ", ".join([state, *(mark for mark, is_set in marks.items() if is_set)])
