"""Builds the dispatcher of a VM from its options and what it knows of its fleet."""

from __future__ import annotations

from collections.abc import Callable
from random import Random

from wagtailusher_daemon.clock import monotonic_ms
from wagtailusher_gateway.admission import Admission
from wagtailusher_gateway.budget import RetryBudget, new_slack_permission
from wagtailusher_gateway.cold_start_limiter import ColdStartLimiter
from wagtailusher_gateway.contention import PlaceContention
from wagtailusher_gateway.dispatcher import Dispatcher
from wagtailusher_gateway.endpoint_findings import EndpointFindings
from wagtailusher_gateway.endpoint_registry import EndpointRegistry
from wagtailusher_gateway.fleet import FleetDecider
from wagtailusher_gateway.options import GatewayOptions
from wagtailusher_gateway.placement import Placement


def new_dispatcher(
    options: GatewayOptions,
    *,
    fleet: FleetDecider,
    findings: EndpointFindings,
    generator: Random,
    on_long_prompt: Callable[[int], None],
) -> Dispatcher:
    """Return the dispatcher of a VM; `on_long_prompt` gets the time at which one was placed."""
    bounds = options.bounds
    placement = Placement(
        registry=_new_registry(findings),
        cold_limiter=ColdStartLimiter(
            options.vm_id,
            overage=bounds.cold_overage,
            slack=bounds.cold_slack,
            is_fleet_settled=fleet.is_settled,
        ),
        contention=PlaceContention(options.vm_id, lambda: fleet.knows_fleet),
        rate_limits=findings.limits.decider,
        failure_domain_id=options.failure_domain_id,
        seed=generator.randrange(1 << 32),
        remote_interval_ms=lambda: fleet.remote_interval_ms,
        on_long_prompt=on_long_prompt,
        unreaching_ids=lambda: fleet.unreaching_ids,
    )
    return Dispatcher(
        placement=placement,
        admission=Admission(generator.randrange(1 << 32)),
        budget=_new_budget(options, fleet),
        clock_ms=monotonic_ms,
        vm_ids=fleet.all_vm_ids,
        read_answer=findings.read_answer,
    )


def _new_budget(options: GatewayOptions, fleet: FleetDecider) -> RetryBudget:
    """Return this VM's part of the fleet's budget for retries."""
    bounds = options.bounds
    return RetryBudget(
        ratio=bounds.retry_ratio,
        slack=bounds.retry_slack,
        window_ms=bounds.retry_window_ms,
        may_use_slack=new_slack_permission(
            window_ms=bounds.retry_window_ms,
            started_ms=monotonic_ms(),
            is_fleet_settled=fleet.is_settled,
            is_first_start=lambda: options.is_first_start and fleet.is_oldest(),
        ),
    )


def _new_registry(findings: EndpointFindings) -> EndpointRegistry:
    """Return a registry that learns what the VMs find out about endpoints."""
    registry = EndpointRegistry(findings.liveness.decider, findings.availability.decider)
    findings.on_liveness = registry.record_liveness
    return registry
