"""The accepted settings of one process, which never go back."""

from __future__ import annotations

from dataclasses import dataclass

from wagtailusher_core import ErrorCode, Revision
from wagtailusher_settings.canonical import digest
from wagtailusher_settings.errors import Problem, SettingsError
from wagtailusher_settings.parse import parse_settings
from wagtailusher_settings.settings import Settings


@dataclass(frozen=True, slots=True, kw_only=True)
class Applied:
    """The document is in force."""

    settings: Settings
    at_ms: int


@dataclass(frozen=True, slots=True, kw_only=True)
class Rejected:
    """The document is not in force; the last good one stays."""

    code: ErrorCode
    problems: tuple[Problem, ...]
    revision: Revision | None
    at_ms: int
    count: int = 1


@dataclass(frozen=True, slots=True, kw_only=True)
class NotNewer:
    """The document is what is in force already, or older; `stale` tells which."""

    revision: Revision
    stale: bool


@dataclass(frozen=True, slots=True, kw_only=True)
class ParsedDocument:
    """A document after parsing; without settings and error it was known already."""

    digest: bytes
    settings: Settings | None = None
    error: SettingsError | None = None


class SettingsCache:
    """Takes documents in any order and keeps the highest valid revision."""

    def __init__(self) -> None:
        """Start without settings."""
        self._current: Settings | None = None
        self._applied_ms: int | None = None
        self._refusal: Rejected | None = None
        self._refused_digest: bytes | None = None

    @property
    def current(self) -> Settings | None:
        """Return the settings in force."""
        return self._current

    @property
    def applied_ms(self) -> int | None:
        """Return when the settings in force were applied."""
        return self._applied_ms

    @property
    def last_rejection(self) -> Rejected | None:
        """Return the last refusal, until a newer document is applied."""
        return self._refusal

    def offer(self, content: bytes, now_ms: int) -> Applied | Rejected | NotNewer:
        """Apply a document if it is valid and higher than the one in force."""
        return self.apply(self.prepare(content), now_ms)

    def prepare(self, content: bytes) -> ParsedDocument:
        """Parse a document without taking it; safe to call in another thread."""
        own_digest = digest(content)
        current = self._current
        is_known = current is not None and own_digest == current.content_digest
        if is_known or own_digest == self._refused_digest:
            return ParsedDocument(digest=own_digest)
        try:
            return ParsedDocument(
                digest=own_digest, settings=parse_settings(content, previous=current)
            )
        except SettingsError as error:
            return ParsedDocument(digest=own_digest, error=error)

    def apply(self, prepared: ParsedDocument, now_ms: int) -> Applied | Rejected | NotNewer:
        """Apply a parsed document if it is valid and higher than the one in force."""
        current = self._current
        if current is not None and prepared.digest == current.content_digest:
            return NotNewer(revision=current.revision, stale=False)
        if self._refusal is not None and prepared.digest == self._refused_digest:
            return self._refuse_again(self._refusal, now_ms)
        offered, error = prepared.settings, prepared.error
        if error is not None:
            return self._refuse(error.code, error.problems, None, prepared.digest, now_ms)
        if offered is None:
            return NotNewer(revision=Revision(), stale=True)
        if current is not None and offered.revision < current.revision:
            return NotNewer(revision=offered.revision, stale=True)
        if current is not None and offered.revision == current.revision:
            return self._refuse_twin(offered, prepared.digest, now_ms)
        self._current = offered
        self._applied_ms = now_ms
        self._refusal = None
        self._refused_digest = None
        return Applied(settings=offered, at_ms=now_ms)

    def _refuse_twin(
        self, offered: Settings, own_digest: bytes, now_ms: int
    ) -> Rejected | NotNewer:
        """Refuse a document that has the revision in force and another content."""
        current = self._current
        if current is not None and _same_tree(offered, current):
            return NotNewer(revision=offered.revision, stale=False)
        reason = f"revision {offered.revision} is in force with another content"
        problem = Problem(key="revision", reason=reason)
        code = ErrorCode.SETTINGS_STALE
        return self._refuse(code, (problem,), offered.revision, own_digest, now_ms)

    def _refuse(
        self,
        code: ErrorCode,
        problems: tuple[Problem, ...],
        revision: Revision | None,
        own_digest: bytes,
        now_ms: int,
    ) -> Rejected:
        """Keep a refusal for operators."""
        refusal = Rejected(code=code, problems=problems, revision=revision, at_ms=now_ms)
        self._refusal = refusal
        self._refused_digest = own_digest
        return refusal

    def _refuse_again(self, refusal: Rejected, now_ms: int) -> Rejected:
        """Count one more offer of the document that was refused last."""
        again = Rejected(
            code=refusal.code,
            problems=refusal.problems,
            revision=refusal.revision,
            at_ms=now_ms,
            count=refusal.count + 1,
        )
        self._refusal = again
        return again


def _same_tree(one: Settings, other: Settings) -> bool:
    """Return whether two documents of unlike form say the same."""
    return one.fleet_node == other.fleet_node and dict(one.workspaces) == dict(other.workspaces)
