"""The operators' command: checks settings, and shows what running daemons do and why."""

from __future__ import annotations

from wagtailusher_cli.main import main, run

__all__ = ["main", "run"]
