"""The platform's configuration service, which can only be read and watched."""

from __future__ import annotations

from wagtailusher_integrations.config_service.coordinator import ConfigServiceCoordinator
from wagtailusher_integrations.config_service.exceptions import (
    GarbledValueError,
    PlatformError,
    ThrottledError,
    TornValueError,
)
from wagtailusher_integrations.config_service.long_poll import LongPoll, backoff_ms
from wagtailusher_integrations.config_service.models import (
    LongPollLimits,
    PolledValue,
    PollStatus,
    ServiceContent,
)

__all__ = [
    "ConfigServiceCoordinator",
    "GarbledValueError",
    "LongPoll",
    "LongPollLimits",
    "PlatformError",
    "PollStatus",
    "PolledValue",
    "ServiceContent",
    "ThrottledError",
    "TornValueError",
    "backoff_ms",
]
