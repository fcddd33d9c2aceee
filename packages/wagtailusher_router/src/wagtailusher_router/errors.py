"""Errors of the router's decider."""

from __future__ import annotations

from wagtailusher_core import WagtailusherError


class RouterError(WagtailusherError):
    """A call that violates the decider's contract."""


class UnknownRequestIdError(RouterError):
    """The request is not held by the decider."""
