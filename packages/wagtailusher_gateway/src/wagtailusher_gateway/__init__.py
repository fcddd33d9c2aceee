"""Gateway that routes requests by host and path; VMs find each other through heartbeats."""

from __future__ import annotations

from wagtailusher_gateway.app import GatewayApp
from wagtailusher_gateway.exceptions import GatewayError, RefusedError
from wagtailusher_gateway.http_mapping import AddressAnswer, ForwardContext, HttpMapping
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
from wagtailusher_gateway.options_reload import apply_options
from wagtailusher_gateway.platform_reads import PlatformReader, ReaderContext
from wagtailusher_gateway.view_cache import ViewCache

__all__ = [
    "AddressAnswer",
    "AnswerTerms",
    "CallerLimits",
    "Configuration",
    "Endpoint",
    "Engine",
    "FleetBounds",
    "FleetView",
    "ForwardContext",
    "GatewayApp",
    "GatewayError",
    "GatewayMetrics",
    "GatewayOptions",
    "HttpMapping",
    "PlatformReader",
    "PromptPart",
    "ReaderContext",
    "RefusedError",
    "Repeat",
    "RequestTerms",
    "Route",
    "Service",
    "Split",
    "ViewCache",
    "Workspace",
    "apply_options",
    "set_up_structured_logs",
]
