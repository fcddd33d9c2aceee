"""Runs the entry daemon."""

from __future__ import annotations

from wagtailusher_daemon.entry import main

if __name__ == "__main__":
    main()
