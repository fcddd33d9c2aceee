"""Converts heartbeats to what is known of their VMs."""

from __future__ import annotations

from wagtailusher_core import VmId
from wagtailusher_gateway.models import Member
from wagtailusher_wire import Beat


def new_member(vm_id: VmId, incarnation: int, heartbeat: Beat, source: str) -> Member:
    """Return what a heartbeat that came from `source` tells of its VM."""
    return Member(
        vm_id=vm_id,
        incarnation=incarnation,
        address=heartbeat.address,
        peer_address=source,
        view_address=heartbeat.view_address,
        failure_domain_id=heartbeat.failure_domain_id,
        weight=heartbeat.weight,
        is_leaving=heartbeat.is_leaving,
        is_ready=heartbeat.is_ready,
        relays=heartbeat.relays,
        takes_forwarded=heartbeat.takes_forwarded,
        unreached_services=heartbeat.unreached_services,
        configuration_version=heartbeat.configuration_version,
    )
