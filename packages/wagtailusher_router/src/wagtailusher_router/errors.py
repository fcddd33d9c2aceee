"""Errors of the router's decider."""

from __future__ import annotations

from wagtailusher_core import WagtailusherError


class RouterError(WagtailusherError):
    """A caller of the decider broke its contract."""


class UnknownRequestIdError(RouterError):
    """The request is not held by the decider."""
