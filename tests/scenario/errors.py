"""Errors of scenario files."""

from __future__ import annotations


class ScenarioError(Exception):
    """A scenario file that can't be read, with its place and what was expected."""

    def __init__(self, path: str, line: int, message: str) -> None:
        """Compose `path:line: message`."""
        super().__init__(f"{path}:{line}: {message}")
        self.path = path
        self.line = line
        self.message = message
