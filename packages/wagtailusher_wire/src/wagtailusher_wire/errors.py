"""Errors of the protocol between the system's processes."""

from __future__ import annotations

from wagtailusher_core import ErrorCode, WagtailusherError


class WireError(WagtailusherError):
    """A message between processes can't be used."""


class MalformedMessageError(WireError):
    """The bytes aren't a message, or exceed a limit."""

    code = ErrorCode.WIRE_MALFORMED


class WireVersionError(WireError):
    """The sender speaks another version of the protocol or an unknown codec."""

    code = ErrorCode.WIRE_VERSION


class UnauthenticatedPeerError(WireError):
    """The message isn't from a process of the fleet, or was seen before."""

    code = ErrorCode.PEER_UNAUTHENTICATED
