"""Parses scenario files into typed steps."""

from __future__ import annotations

from collections.abc import Iterator
from functools import cache
from pathlib import Path
from typing import Any, TypeVar

from lark import Lark, Token, Tree
from lark.exceptions import UnexpectedCharacters, UnexpectedEOF, UnexpectedInput, UnexpectedToken
from lark.lexer import PatternStr

from tests.scenario.errors import ScenarioError
from tests.scenario.step_transformer import StepTransformer
from tests.scenario.steps import (
    Claim,
    ClassSpec,
    Disturbance,
    DomainPlace,
    EndpointPlace,
    EndpointSpec,
    NodePlace,
    Place,
    Scenario,
    SendStep,
    TimedEvent,
)

_GRAMMAR = Path(__file__).with_name("grammar.lark")
_DESCRIPTIONS = {
    "COUNT": "a count such as x5",
    "INT": "a number",
    "NAME": "a name",
    "UNIT": "ms, s or min",
    "_NEWLINE": "the end of the line",
    "$END": "the end of the line",
}
SpecT = TypeVar("SpecT")


@cache
def _load_grammar() -> Lark:
    """Return the parser of the language."""
    return Lark(
        _GRAMMAR.read_text(encoding="utf-8"),
        parser="lalr",
        propagate_positions=True,
        maybe_placeholders=False,
    )


def parse_scenario(text: str, path: str = "scenario") -> Scenario:
    """Parse a scenario; raise ScenarioError with file, line and what was expected."""
    try:
        tree = _load_grammar().parse(text)
    except UnexpectedInput as err:
        raise ScenarioError(path, _line_of(err, text), _describe(err)) from err
    return _Assembler(path).assemble(tree)


def read_scenario(path: Path) -> Scenario:
    """Read and parse a scenario file."""
    return parse_scenario(path.read_text(encoding="utf-8"), path.name)


def _line_of(err: UnexpectedInput, text: str) -> int:
    """Return the line of an error; at the end of the text, its last line."""
    at_end = isinstance(err, UnexpectedEOF) or err.line < 1
    return len(text.rstrip().splitlines()) if at_end else err.line


def _describe(err: UnexpectedInput) -> str:
    """Return what was found and what was expected."""
    names: Iterator[str] = iter(())
    found = "the end of the file"
    if isinstance(err, UnexpectedToken):
        names = iter(err.accepts or err.expected)
        if err.token.type not in ("$END", "_NEWLINE"):
            found = repr(str(err.token))
        elif err.token.type == "_NEWLINE":
            found = "the end of the line"
    elif isinstance(err, UnexpectedCharacters):
        names = iter(err.allowed or ())
        found = repr(err.char)
    expected = sorted({_describe_terminal(name) for name in names})
    return f"found {found}, expected {' or '.join(expected)}"


def _describe_terminal(name: str) -> str:
    """Return a terminal's description for error messages."""
    if name in _DESCRIPTIONS:
        return _DESCRIPTIONS[name]
    pattern = _load_grammar().get_terminal(name).pattern
    return f'"{pattern.value}"' if isinstance(pattern, PatternStr) else name


class _Assembler:
    """Collects the steps of one file and checks the names in them."""

    def __init__(self, path: str) -> None:
        self._path = path
        self._transformer = StepTransformer()
        self._seed = 0
        self._node_count = 1
        self._domains: tuple[str, ...] = ("a",)
        self._endpoints: list[EndpointSpec] = []
        self._classes: list[ClassSpec] = []
        self._events: list[TimedEvent] = []
        self._claims: list[Claim] = []
        self._duration_ms: int | None = None

    def assemble(self, tree: Tree[Token]) -> Scenario:
        """Return the scenario of a parsed file."""
        for child in tree.children:
            assert isinstance(child, Tree)
            self._add_step(self._transformer.transform(child), child.meta.line)
        if not self._classes or not self._endpoints:
            raise ScenarioError(self._path, 1, "expected an endpoint and a class")
        return Scenario(
            path=self._path,
            seed=self._seed,
            node_count=self._node_count,
            domains=self._domains,
            endpoints=tuple(self._endpoints),
            classes=tuple(self._classes),
            events=tuple(sorted(self._events, key=lambda timed: timed.at_ms)),
            claims=tuple(self._claims),
            duration_ms=self._duration_ms,
        )

    def _add_step(self, step: Any, line: int) -> None:
        """Check a step's names and add it."""
        if isinstance(step, EndpointSpec):
            self._check_name(step.domain, self._domains, "domain", line)
            self._endpoints.append(step)
        elif isinstance(step, ClassSpec):
            self._check_name(step.pool, [spec.pool for spec in self._endpoints], "pool", line)
            self._classes.append(step)
        elif isinstance(step, TimedEvent):
            self._check_event(step.event, line)
            self._events.append(step)
        elif isinstance(step, Claim):
            self._check_claim(step, line)
            self._claims.append(step)
        else:
            self._store_setting(*step)

    def _store_setting(self, setting: str, *values: Any) -> None:
        """Store a setting of the whole scenario."""
        if setting == "seed":
            (self._seed,) = values
        elif setting == "nodes":
            self._node_count, self._domains = values
        else:
            (self._duration_ms,) = values

    def _check_event(self, event: SendStep | Disturbance, line: int) -> None:
        """Check the names in an event."""
        if isinstance(event, SendStep):
            self._check_class(event.class_name, line)
            if event.node is not None:
                self._check_place(NodePlace(event.node), line)
            return
        for place in (event.place, event.other_place):
            if place is not None:
                self._check_place(place, line)

    def _check_claim(self, claim: Claim, line: int) -> None:
        """Check the names in an expectation."""
        for name in (claim.class_name, claim.other_class):
            if name:
                self._check_class(name, line)
        if claim.place is not None:
            self._check_place(claim.place, line)

    def _check_class(self, name: str, line: int) -> None:
        """Check that a class was defined before."""
        self._check_name(name, [spec.name for spec in self._classes], "class", line)

    def _check_place(self, place: Place, line: int) -> None:
        """Check that a place exists."""
        if isinstance(place, DomainPlace):
            self._check_name(place.name, self._domains, "domain", line)
        elif isinstance(place, EndpointPlace):
            self._check_name(place.name, [spec.name for spec in self._endpoints], "endpoint", line)
        elif not 1 <= place.number <= self._node_count:
            raise ScenarioError(
                self._path, line, f"no node {place.number}, expected 1 to {self._node_count}"
            )

    def _check_name(
        self, name: str, defined_names: list[str] | tuple[str, ...], description: str, line: int
    ) -> None:
        """Check that a name was defined before."""
        if name not in defined_names:
            expected = " or ".join(dict.fromkeys(defined_names)) or "one that was introduced before"
            raise ScenarioError(
                self._path, line, f"unknown {description} {name!r}, expected {expected}"
            )
