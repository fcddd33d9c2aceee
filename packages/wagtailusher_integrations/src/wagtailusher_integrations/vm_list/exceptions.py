"""Errors of the platform's list of VMs."""

from __future__ import annotations

from wagtailusher_core import ErrorCode, WagtailusherError


class VmListError(WagtailusherError):
    """The list is not valid and is rejected; the list in use stays."""

    code = ErrorCode.WIRE_MALFORMED
