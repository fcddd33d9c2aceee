"""Configures logging as text or as one JSON object per line."""

from __future__ import annotations

import logging
import sys

from pythonjsonlogger.json import JsonFormatter

from wagtailusher_daemon.options import LogFormat

_TEXT_FORMAT = "%(asctime)s %(levelname)s %(name)s: %(message)s"
_JSON_FIELDS = "%(asctime)s %(levelname)s %(name)s %(message)s"


def set_up_logs(level: str, log_format: LogFormat) -> None:
    """Write all logs of at least the given level to standard error."""
    handler = logging.StreamHandler(sys.stderr)
    if log_format is LogFormat.JSON:
        handler.setFormatter(JsonFormatter(_JSON_FIELDS))
    else:
        handler.setFormatter(logging.Formatter(_TEXT_FORMAT))
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level.upper())
