"""Routes by host and path, without tickets: deciders, relay and a fleet found by beats."""

from __future__ import annotations

from wagtailusher_gateway.app import GatewayApp, Reader
from wagtailusher_gateway.dialect import AddressAnswer, Dialect, Sending
from wagtailusher_gateway.exceptions import GatewayError, RefusedError
from wagtailusher_gateway.logs import set_up_structured_logs
from wagtailusher_gateway.metrics import GatewayMetrics
from wagtailusher_gateway.models import (
    AnswerTerms,
    CallerLimits,
    Configuration,
    Endpoint,
    Engine,
    FleetView,
    PromptPart,
    Repeat,
    RequestTerms,
    Route,
    Service,
    Split,
    Workspace,
)
from wagtailusher_gateway.options import FleetBounds, GatewayOptions
from wagtailusher_gateway.reading import Reading
from wagtailusher_gateway.view_keeper import ViewKeeper

__all__ = [
    "AddressAnswer",
    "AnswerTerms",
    "CallerLimits",
    "Configuration",
    "Dialect",
    "Endpoint",
    "Engine",
    "FleetBounds",
    "FleetView",
    "GatewayApp",
    "GatewayError",
    "GatewayMetrics",
    "GatewayOptions",
    "PromptPart",
    "Reader",
    "Reading",
    "RefusedError",
    "Repeat",
    "RequestTerms",
    "Route",
    "Sending",
    "Service",
    "Split",
    "ViewKeeper",
    "Workspace",
    "set_up_structured_logs",
]
