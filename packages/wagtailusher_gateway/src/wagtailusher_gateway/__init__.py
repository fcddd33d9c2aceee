"""Routes by host and path, without tickets: deciders, relay and a fleet found by beats."""

from __future__ import annotations

from wagtailusher_gateway.app import GatewayApp, Reader
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
from wagtailusher_gateway.platform_reads import ReaderContext
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
    "PromptPart",
    "Reader",
    "ReaderContext",
    "RefusedError",
    "Repeat",
    "RequestTerms",
    "Route",
    "Service",
    "Split",
    "ViewCache",
    "Workspace",
    "set_up_structured_logs",
]
