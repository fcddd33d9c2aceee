"""Options of the entry daemon, from flags and environment variables."""

from __future__ import annotations

from enum import StrEnum
from typing import Any

from pydantic import Field, ValidationError, field_validator
from pydantic_settings import BaseSettings, SettingsConfigDict

from wagtailusher_daemon.const import (
    BUFFERED_MEMORY_SHARE,
    BYTES_PER_MB,
    DEFAULT_LEASE_LIFETIME_MS,
    DEFAULT_LIST_LAG_MS,
    DEFAULT_LISTEN,
    DEFAULT_LOAD_POLL_INTERVAL_MS,
    DEFAULT_LOG_FORMAT,
    DEFAULT_LOG_LEVEL,
    DEFAULT_MEMORY_MB,
    DEFAULT_PAUSE_TOLERANCE_MS,
    DEFAULT_TICK_INTERVAL_MS,
    ENV_PREFIX,
    HELD_MEMORY_SHARE,
)
from wagtailusher_daemon.exceptions import OptionsError
from wagtailusher_http import ClientLimits, HttpLimits

MIN_SECRET_CHARS = 16
MAX_PORT = 65535


class LogFormat(StrEnum):
    """Format of log lines."""

    TEXT = "text"
    JSON = "json"


class EntryOptions(BaseSettings):
    """Validated options; a flag takes precedence over its environment variable."""

    model_config = SettingsConfigDict(env_prefix=ENV_PREFIX, extra="forbid", frozen=True)

    vm_id: str = Field(min_length=1, max_length=64, pattern=r"^[A-Za-z0-9._-]+$")
    failure_domain: str = Field(min_length=1, max_length=64)
    fleet_secret: str = Field(min_length=MIN_SECRET_CHARS)
    previous_fleet_secret: str = ""
    config_service: str
    vm_list: str
    listen: str = DEFAULT_LISTEN
    peer_listen: str = DEFAULT_LISTEN
    operator_listen: str = DEFAULT_LISTEN
    tls_certificate: str = ""
    tls_key: str = ""
    tls_ca: str = ""
    log_level: str = DEFAULT_LOG_LEVEL
    log_format: LogFormat = LogFormat(DEFAULT_LOG_FORMAT)
    trace_file: str = ""
    otlp_address: str = ""
    tick_interval_ms: int = Field(default=DEFAULT_TICK_INTERVAL_MS, ge=5, le=1000)
    lease_lifetime_ms: int = Field(default=DEFAULT_LEASE_LIFETIME_MS, ge=100, le=60_000)
    list_lag_ms: int = Field(default=DEFAULT_LIST_LAG_MS, ge=0, le=600_000)
    pause_tolerance_ms: int = Field(default=DEFAULT_PAUSE_TOLERANCE_MS, ge=50, le=60_000)
    load_poll_interval_ms: int = Field(default=DEFAULT_LOAD_POLL_INTERVAL_MS, ge=20, le=10_000)

    memory_mb: int = Field(default=DEFAULT_MEMORY_MB, ge=64, le=1_048_576)

    @field_validator("listen", "peer_listen", "operator_listen", "config_service", "vm_list")
    @classmethod
    def check_address(cls, value: str) -> str:
        """Accept `host:port` only; raise ValueError otherwise."""
        host, _, port = value.rpartition(":")
        if not host or not port.isdigit() or int(port) > MAX_PORT:
            raise ValueError("expected host:port")
        return value

    @field_validator("log_level")
    @classmethod
    def check_log_level(cls, value: str) -> str:
        """Return a known log level in lower case; raise ValueError otherwise."""
        if value.lower() not in {"debug", "info", "warning", "error"}:
            raise ValueError("expected debug, info, warning or error")
        return value.lower()

    @property
    def caller_limits(self) -> HttpLimits:
        """Return the limits of callers' connections."""
        return HttpLimits(max_held_bytes=round(self.memory_mb * BYTES_PER_MB * HELD_MEMORY_SHARE))

    @property
    def client_limits(self) -> ClientLimits:
        """Return the limits of connections to endpoints."""
        max_buffered_bytes = round(self.memory_mb * BYTES_PER_MB * BUFFERED_MEMORY_SHARE)
        return ClientLimits(max_buffered_bytes=max_buffered_bytes)

    @property
    def fleet_secrets(self) -> tuple[bytes, ...]:
        """Return the fleet's secrets, the current one first."""
        texts = (self.fleet_secret, self.previous_fleet_secret)
        return tuple(text.encode() for text in texts if text)


def read_options(flags: dict[str, Any]) -> EntryOptions:
    """Return the options from flags, environment or defaults, in this order of precedence."""
    given = {name: value for name, value in flags.items() if value is not None}
    try:
        return EntryOptions(**given)
    except ValidationError as err:
        raise OptionsError(_describe(err)) from err


def _describe(err: ValidationError) -> str:
    """Return one line that names each invalid option."""
    parts = []
    for problem in err.errors(include_url=False, include_input=False):
        name = "-".join(str(part) for part in problem["loc"]).replace("_", "-")
        parts.append(f"--{name}: {problem['msg']}")
    return "; ".join(parts)


def split_address(address: str) -> tuple[str, int]:
    """Split a validated `host:port` address."""
    host, _, port = address.rpartition(":")
    return host, int(port)
