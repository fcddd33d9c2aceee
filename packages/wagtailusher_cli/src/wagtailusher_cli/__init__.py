"""The operators' command: checks settings and shows the state and decisions of daemons."""

from __future__ import annotations

from wagtailusher_cli.main import main, run

__all__ = ["main", "run"]
