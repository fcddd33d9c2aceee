"""Errors of the platform's list of VMs."""

from __future__ import annotations

from wagtailusher_core import ErrorCode, WagtailusherError


class VmListError(WagtailusherError):
    """A list is refused whole; the last good one stays."""

    code = ErrorCode.WIRE_MALFORMED
