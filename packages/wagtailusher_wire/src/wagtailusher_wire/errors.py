"""Errors of the protocol between VMs."""

from __future__ import annotations

from wagtailusher_core import ErrorCode, Incarnation, VmId, WagtailusherError


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


class OldIncarnationError(UnauthenticatedPeerError):
    """The message is from an older incarnation of a VM than an earlier one was."""

    def __init__(self, vm_id: VmId, newest: Incarnation) -> None:
        super().__init__("Datagram is of an older incarnation")
        self.vm_id = vm_id
        self.newest = newest
