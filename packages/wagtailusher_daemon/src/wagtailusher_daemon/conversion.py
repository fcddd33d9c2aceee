"""Converts between the deciders' messages and the wire messages."""

from __future__ import annotations

from wagtailusher_daemon.const import PERMILLE
from wagtailusher_placement import LoadReport
from wagtailusher_router import PoolLoad
from wagtailusher_wire import ClassDemand, EndpointLoad, PoolDemand


def pool_demand(load: PoolLoad) -> PoolDemand:
    """Return the wire message of a pool's load."""
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
    """Return the wire message of a load report, with its age instead of its time."""
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
    """Return the load report of a wire message, with its time on the receiver's clock."""
    return LoadReport(
        endpoint_id=message.endpoint_id,
        reported_at_ms=now_ms - message.age_ms,
        running=message.running,
        waiting=message.waiting,
        kv_used_share=message.kv_used_permille / PERMILLE,
        cold=message.cold,
        incarnation=message.incarnation,
    )
