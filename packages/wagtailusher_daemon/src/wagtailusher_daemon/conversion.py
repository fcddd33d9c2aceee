"""Turns the deciders' messages into those on the wire and back."""

from __future__ import annotations

from dataclasses import fields
from typing import Any, TypeVar

from wagtailusher_daemon.const import PERMILLE
from wagtailusher_once import QuarantineEntry, QuarantineSummary
from wagtailusher_placement import LoadReport
from wagtailusher_router import PoolLoad
from wagtailusher_wire import ClassDemand, EndpointLoad, PoolDemand
from wagtailusher_wire import QuarantineEntry as QuarantineEntryMessage
from wagtailusher_wire import QuarantineSummary as QuarantineSummaryMessage

ConvertedT = TypeVar("ConvertedT")


def convert(message: Any, cls: type[ConvertedT]) -> ConvertedT:
    """Return a message as the class with the same fields on the other side of the wire."""
    return cls(**{field.name: getattr(message, field.name) for field in fields(message)})


def quarantine_message(summary: QuarantineSummary) -> QuarantineSummaryMessage:
    """Return a quarantine summary as it goes on the wire."""
    return QuarantineSummaryMessage(
        entries=tuple(convert(entry, QuarantineEntryMessage) for entry in summary.entries)
    )


def quarantine_summary(message: QuarantineSummaryMessage) -> QuarantineSummary:
    """Return a quarantine summary as the decider knows it."""
    return QuarantineSummary(
        entries=tuple(convert(entry, QuarantineEntry) for entry in message.entries)
    )


def pool_demand(load: PoolLoad) -> PoolDemand:
    """Return a pool's load as it goes on the wire."""
    return PoolDemand(
        pool_id=load.pool_id,
        queued_by_tier=load.queued_by_tier,
        in_flight_by_tier=load.in_flight_by_tier,
        classes=tuple(
            ClassDemand(
                workspace_id=item.key.workspace_id,
                class_id=item.key.class_id,
                queued=item.queued,
                in_flight=item.in_flight,
            )
            for item in load.classes
        ),
    )


def load_message(report: LoadReport, now_ms: int) -> EndpointLoad:
    """Return a load report as it goes on the wire, with its age."""
    return EndpointLoad(
        endpoint_id=report.endpoint_id,
        age_ms=max(0, now_ms - report.reported_at_ms),
        running=report.running,
        waiting=report.waiting,
        kv_used_permille=int(report.kv_used_share * PERMILLE),
        cold=report.cold,
        incarnation=report.incarnation,
    )


def load_report(message: EndpointLoad, now_ms: int) -> LoadReport:
    """Return a load report on the receiver's clock."""
    return LoadReport(
        endpoint_id=message.endpoint_id,
        reported_at_ms=now_ms - message.age_ms,
        running=message.running,
        waiting=message.waiting,
        kv_used_share=message.kv_used_permille / PERMILLE,
        cold=message.cold,
        incarnation=message.incarnation,
    )
