"""Runs the operators' command as a module."""

from __future__ import annotations

from wagtailusher_cli.main import main

if __name__ == "__main__":
    main()
