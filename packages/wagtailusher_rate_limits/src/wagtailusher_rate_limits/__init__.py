"""Keeps all VMs together within the request rates that endpoints name, without sockets."""

from wagtailusher_rate_limits.decider import RateLimitDecider
from wagtailusher_rate_limits.parse import UnreadableLimitError, parse_limit
from wagtailusher_rate_limits.reports import LimitChange, LimitReport

__all__ = [
    "LimitChange",
    "LimitReport",
    "RateLimitDecider",
    "UnreadableLimitError",
    "parse_limit",
]
