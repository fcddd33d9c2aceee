"""Errors of the protocol between VMs."""

from __future__ import annotations

from wagtailusher_core import ErrorCode, WagtailusherError


class WireError(WagtailusherError):
    """Base class of the errors of messages between VMs."""


class MalformedMessageError(WireError):
    """The data is not a valid message or exceeds a limit."""

    code = ErrorCode.WIRE_MALFORMED


class WireVersionError(WireError):
    """The protocol version, codec or message kind is unknown."""

    code = ErrorCode.WIRE_VERSION


class UnauthenticatedPeerError(WireError):
    """The message is not from a VM of the fleet, or is a replay."""

    code = ErrorCode.PEER_UNAUTHENTICATED
