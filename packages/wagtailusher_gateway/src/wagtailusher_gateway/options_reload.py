"""Applies changed options to a running process."""

from __future__ import annotations

from dataclasses import fields, replace
import logging

from wagtailusher_daemon.clock import monotonic_ms
from wagtailusher_gateway.app import GatewayApp
from wagtailusher_gateway.options import GatewayOptions

_LOGGER = logging.getLogger(__name__)


def apply_options(app: GatewayApp, options: GatewayOptions) -> None:
    """Apply the options that may change at run time, and log which others need a restart."""
    current = app.options
    lifetime_s = options.bounds.address_lifetime_s
    applied = replace(
        current,
        seeds=options.seeds,
        log_level=options.log_level,
        grace_ms=options.grace_ms,
        bounds=replace(current.bounds, address_lifetime_s=lifetime_s),
    )
    if applied != current:
        app.options = applied
        logging.getLogger().setLevel(options.log_level.upper())
    if options.seeds != current.seeds:
        app.fleet.set_seeds(options.seeds, monotonic_ms())
    _LOGGER.info(
        "Gateway: settings reloaded",
        extra={
            "event": "reload",
            "outcome": "applied",
            "changed": _differences(current, applied),
            "need_restart": _differences(applied, options),
        },
    )


def _differences(first: GatewayOptions, second: GatewayOptions) -> list[str]:
    """Return the names of the options that differ."""
    names = [item.name for item in fields(GatewayOptions)]
    return [name for name in names if getattr(first, name) != getattr(second, name)]
