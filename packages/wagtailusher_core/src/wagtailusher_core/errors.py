"""Base class of the errors of all packages and their stable error codes."""

from __future__ import annotations

from enum import StrEnum


class ErrorCode(StrEnum):
    """Stable error codes reported to callers and operators."""

    BAD_REQUEST = "bad_request"
    BODY_TOO_LARGE = "body_too_large"
    HEADERS_TOO_LARGE = "headers_too_large"
    UNKNOWN_WORKSPACE = "unknown_workspace"
    UNKNOWN_ROUTE = "unknown_route"
    UNKNOWN_CLASS = "unknown_class"
    UNKNOWN_MODEL = "unknown_model"
    UNAUTHORIZED = "unauthorized"
    QUEUE_FULL = "queue_full"
    SHED = "shed"
    QUOTA_EXCEEDED = "quota_exceeded"
    DEADLINE_UNREACHABLE = "deadline_unreachable"
    NO_ENDPOINT = "no_endpoint"
    VERSION_UNKNOWN = "version_unknown"
    QUARANTINED = "quarantined"
    DRAINING = "draining"
    NOT_READY = "not_ready"
    TICKET_INVALID = "ticket_invalid"
    TICKET_EXPIRED = "ticket_expired"
    TICKET_REQUIRED = "ticket_required"
    HOME_GONE = "home_gone"
    KEY_CONFLICT = "key_conflict"
    IN_PROGRESS = "in_progress"
    ANSWER_NOT_KEPT = "answer_not_kept"
    KEY_NOT_SETTLED = "key_not_settled"
    ENDPOINT_FAILED = "endpoint_failed"
    ENDPOINT_PROTOCOL = "endpoint_protocol"
    ANSWER_TRUNCATED = "answer_truncated"
    CALLER_LEFT = "caller_left"
    SETTINGS_INVALID = "settings_invalid"
    SETTINGS_STALE = "settings_stale"
    PLATFORM_UNAVAILABLE = "platform_unavailable"
    PEER_UNAVAILABLE = "peer_unavailable"
    PEER_BEHIND = "peer_behind"
    PEER_UNAUTHENTICATED = "peer_unauthenticated"
    WIRE_VERSION = "wire_version"
    WIRE_MALFORMED = "wire_malformed"
    LEASE_REFUSED = "lease_refused"
    INTERNAL = "internal"


class WagtailusherError(Exception):
    """Base class of errors with a code; each package derives its own and converts others."""

    code: ErrorCode = ErrorCode.INTERNAL

    def __init__(self, message: str, *, code: ErrorCode | None = None) -> None:
        """Store the message and, where given, a code other than the class's own."""
        super().__init__(message)
        self.message = message
        if code is not None:
            self.code = code
