"""Errors of scenario files."""

from __future__ import annotations


class ScenarioError(Exception):
    """A syntax or name error in a scenario file, with its line and what was expected."""

    def __init__(self, path: str, line: int, message: str) -> None:
        """Compose `path:line: message`."""
        super().__init__(f"{path}:{line}: {message}")
        self.path = path
        self.line = line
        self.message = message
