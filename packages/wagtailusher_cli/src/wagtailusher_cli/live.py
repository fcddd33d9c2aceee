"""Commands that query running entry daemons."""

from __future__ import annotations

from collections import Counter
from collections.abc import Sequence
from urllib.parse import quote

from wagtailusher_cli.advice import advise_removals
from wagtailusher_cli.const import (
    EXIT_OK,
    EXIT_PROBLEM,
)
from wagtailusher_cli.output import write_json, write_table
from wagtailusher_cli.queries import query_daemons
from wagtailusher_cli.tables import format_state, write_fleet, write_request, write_settings
from wagtailusher_operator.const import (
    PATH_BOOKS,
    PATH_ENDPOINTS,
    PATH_FLEET,
    PATH_QUARANTINE,
    PATH_REFUSALS,
    PATH_REQUEST,
    PATH_SETTINGS,
)
from wagtailusher_operator.models import (
    Answer,
    BooksAnswer,
    EndpointsAnswer,
    FleetAnswer,
    QuarantineAnswer,
    RefusalsAnswer,
    RequestAnswer,
    SettingsAnswer,
)


def fleet(*, address: str | None = None, json: bool = False) -> int:
    """Show the entry VMs as the queried ones see them, and their settings.

    :param address: Operator addresses of entry VMs, separated by commas.
    :param json: Write one JSON object instead of tables.
    """
    answers = query_daemons(address, PATH_FLEET, FleetAnswer)
    settings = query_daemons(address, PATH_SETTINGS, SettingsAnswer)
    if json:
        write_json({"fleet": _to_json_objects(answers), "settings": _to_json_objects(settings)})
    else:
        write_fleet(answers)
        write_settings(settings)
    revisions = {answer.revision for answer in settings}
    is_healthy = len(revisions) == 1 and not any(answer.refusal for answer in settings)
    return EXIT_OK if is_healthy and all(item.ready for item in answers) else EXIT_PROBLEM


def stewards(*, address: str | None = None, json: bool = False) -> int:
    """Show which entry VM is each endpoint's steward, and the leases held.

    :param address: Operator addresses of entry VMs, separated by commas.
    :param json: Write one JSON object instead of tables.
    """
    answers = query_daemons(address, PATH_ENDPOINTS, EndpointsAnswer)
    if json:
        write_json({"endpoints": _to_json_objects(answers)})
        return EXIT_OK
    for answer in answers:
        rows = [
            [
                item.endpoint_id,
                item.failure_domain_id,
                format_state(item.state, item.cold, item.drained, item.ejected),
                item.steward_id,
                f"{item.in_flight}/{item.allowed}",
                item.lease_credits,
                item.lease_expires_in_ms,
                item.report_age_ms,
                item.slowness,
                "never" if item.opens_in_ms is None else item.opens_in_ms or "now",
            ]
            for item in answer.endpoints
        ]
        columns = ["endpoint", "failure domain", "state", "steward", "in flight/allowed"]
        columns += ["credits", "expires in ms", "report age ms", "slowness", "wants more in ms"]
        write_table(f"endpoints as {answer.vm_id} sees them", columns, rows)
    return EXIT_OK


def drains(*, address: str | None = None, json: bool = False) -> int:
    """Show the failure domains being drained, and the work still running there.

    :param address: Operator addresses of entry VMs, separated by commas.
    :param json: Write one JSON object instead of a table.
    """
    settings = query_daemons(address, PATH_SETTINGS, SettingsAnswer)
    endpoints = query_daemons(address, PATH_ENDPOINTS, EndpointsAnswer)
    in_flight: Counter[str] = Counter()
    for answer in endpoints:
        for item in answer.endpoints:
            in_flight[item.failure_domain_id] += item.in_flight
    domains = sorted({domain for answer in settings for domain in answer.drained_domains})
    rows = [
        [
            domain,
            f"{sum(domain in answer.drained_domains for answer in settings)}/{len(settings)}",
            in_flight[domain],
        ]
        for domain in domains
    ]
    if json:
        keys = ("failure_domain_id", "known_by", "in_flight")
        write_json({"drains": [dict(zip(keys, row, strict=True)) for row in rows]})
    else:
        write_table("drains", ["failure domain", "in force on", "in flight"], rows)
    return EXIT_OK


def quarantine(*, address: str | None = None, json: bool = False) -> int:
    """Show the requests that crashed endpoints.

    :param address: Operator addresses of entry VMs, separated by commas.
    :param json: Write one JSON object instead of a table.
    """
    answers = query_daemons(address, PATH_QUARANTINE, QuarantineAnswer)
    if json:
        write_json({"quarantine": _to_json_objects(answers)})
        return EXIT_OK
    rows = [
        [
            answer.vm_id,
            item.fingerprint,
            item.quarantined,
            ", ".join(item.endpoint_ids),
            item.age_ms,
            item.expires_in_ms,
        ]
        for answer in answers
        for item in answer.fingerprints
    ]
    columns = ["known to", "fingerprint", "refused", "crashed", "age ms", "expires in ms"]
    write_table("quarantine", columns, rows)
    return EXIT_OK


def refusals(*, address: str | None = None, json: bool = False) -> int:
    """Show recent refusals and their reasons.

    :param address: Operator addresses of entry VMs, separated by commas.
    :param json: Write one JSON object instead of tables.
    """
    answers = query_daemons(address, PATH_REFUSALS, RefusalsAnswer)
    if json:
        write_json({"refusals": _to_json_objects(answers)})
        return EXIT_OK
    counts: Counter[tuple[str, int | None]] = Counter()
    for answer in answers:
        for count in answer.counts:
            counts[count.code, count.tier] += count.count
    count_rows = [[code, tier, number] for (code, tier), number in counts.most_common()]
    write_table("since the daemons started", ["code", "tier", "refusals"], count_rows)
    rows = [
        [
            answer.vm_id,
            item.age_ms,
            item.code,
            item.outcome,
            item.tier,
            item.workspace_id,
            item.class_id,
            item.trace_id,
        ]
        for answer in answers
        for item in answer.refusals
    ]
    columns = ["at", "age ms", "code", "outcome", "tier", "workspace", "class", "trace"]
    write_table("lately", columns, rows)
    return EXIT_OK


def explain(trace_id: str, *, address: str | None = None, json: bool = False) -> int:
    """Show where one request was sent and why.

    :param trace_id: Trace identifier, as in the caller's traceparent header.
    :param address: Operator addresses of entry VMs, separated by commas.
    :param json: Write one JSON object instead of tables.
    """
    path = PATH_REQUEST.format(trace_id=quote(trace_id, safe=""))
    answers = query_daemons(address, path, RequestAnswer)
    if json:
        write_json({"requests": _to_json_objects(answers)})
        return EXIT_OK
    for answer in answers:
        write_request(answer)
    return EXIT_OK


def advise(*, address: str | None = None, json: bool = False) -> int:
    """Show which endpoints could be removed with every target still met; nothing is changed.

    :param address: Operator addresses of all entry VMs, separated by commas.
    :param json: Write one JSON object instead of a table.
    """
    advice = advise_removals(query_daemons(address, PATH_BOOKS, BooksAnswer))
    if json:
        write_json({"advice": list(advice)})
        return EXIT_OK
    rows = [
        [
            item.endpoint_id,
            item.can_go,
            item.margin,
            item.used_share,
            "; ".join(item.reasons),
            ", ".join(item.classes_at_risk),
        ]
        for item in advice
    ]
    columns = ["endpoint", "could go", "margin", "used share", "against it", "classes at risk"]
    write_table("advice", columns, rows)
    return EXIT_OK


def _to_json_objects(answers: Sequence[Answer]) -> list[dict[str, object]]:
    """Return answers as JSON objects."""
    return [answer.model_dump(mode="json") for answer in answers]
