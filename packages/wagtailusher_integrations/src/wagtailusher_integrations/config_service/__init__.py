"""Client of the platform's configuration service, which is read-only."""

from __future__ import annotations

from wagtailusher_integrations.config_service.coordinator import ConfigServiceCoordinator
from wagtailusher_integrations.config_service.exceptions import (
    ChunkMismatchError,
    MalformedValueError,
    PlatformError,
    ThrottledError,
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
    "MalformedValueError",
    "LongPoll",
    "LongPollLimits",
    "PlatformError",
    "PollStatus",
    "PolledValue",
    "ServiceContent",
    "ThrottledError",
    "ChunkMismatchError",
    "backoff_ms",
]
