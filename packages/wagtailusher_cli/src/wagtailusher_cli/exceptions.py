"""Errors of the operators' command, each with its exit code."""

from __future__ import annotations

from wagtailusher_cli.const import EXIT_PROBLEM, EXIT_UNREACHABLE, EXIT_USAGE
from wagtailusher_core import ErrorCode, WagtailusherError


class CommandError(WagtailusherError):
    """The command ends with a message and an exit code."""

    exit_code = EXIT_PROBLEM


class UsageError(CommandError):
    """The command was called with invalid arguments."""

    code = ErrorCode.BAD_REQUEST
    exit_code = EXIT_USAGE


class UnreachableError(CommandError):
    """None of the queried daemons returned a usable answer."""

    code = ErrorCode.PEER_UNAVAILABLE
    exit_code = EXIT_UNREACHABLE
