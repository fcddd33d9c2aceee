"""The settings in force in one process, which only a higher revision replaces."""

from __future__ import annotations

from dataclasses import dataclass

from wagtailusher_core import ErrorCode, Revision
from wagtailusher_settings.canonical import digest
from wagtailusher_settings.errors import Problem, SettingsError
from wagtailusher_settings.parse import parse_settings
from wagtailusher_settings.settings import Settings


@dataclass(frozen=True, slots=True, kw_only=True)
class Applied:
    """The document was applied and is now in force."""

    settings: Settings
    at_ms: int


@dataclass(frozen=True, slots=True, kw_only=True)
class Rejected:
    """The document was rejected, `count` times so far; the settings in force stay."""

    code: ErrorCode
    problems: tuple[Problem, ...]
    revision: Revision | None
    at_ms: int
    count: int = 1


@dataclass(frozen=True, slots=True, kw_only=True)
class NotNewer:
    """The document is the one in force, or an older one if `stale` is set."""

    revision: Revision
    stale: bool


@dataclass(frozen=True, slots=True, kw_only=True)
class ParsedDocument:
    """A parsed document; without settings and error it was applied or rejected before."""

    digest: bytes
    settings: Settings | None = None
    error: SettingsError | None = None


class SettingsCache:
    """Accepts documents in any order and keeps the highest valid revision."""

    def __init__(self) -> None:
        self._current: Settings | None = None
        self._applied_ms: int | None = None
        self._last_rejection: Rejected | None = None
        self._rejected_digest: bytes | None = None

    @property
    def current(self) -> Settings | None:
        """Return the settings in force."""
        return self._current

    @property
    def applied_ms(self) -> int | None:
        """Return the time at which the settings in force were applied."""
        return self._applied_ms

    @property
    def last_rejection(self) -> Rejected | None:
        """Return the last rejection, or None once a newer document is applied."""
        return self._last_rejection

    def update(self, content: bytes, now_ms: int) -> Applied | Rejected | NotNewer:
        """Apply a document if it is valid and higher than the one in force."""
        return self.apply(self.prepare(content), now_ms)

    def prepare(self, content: bytes) -> ParsedDocument:
        """Parse a document without applying it; safe to call in another thread."""
        document_digest = digest(content)
        current = self._current
        is_applied = current is not None and document_digest == current.content_digest
        if is_applied or document_digest == self._rejected_digest:
            return ParsedDocument(digest=document_digest)
        try:
            return ParsedDocument(
                digest=document_digest, settings=parse_settings(content, previous=current)
            )
        except SettingsError as error:
            return ParsedDocument(digest=document_digest, error=error)

    def apply(self, parsed: ParsedDocument, now_ms: int) -> Applied | Rejected | NotNewer:
        """Apply a parsed document if it is valid and higher than the one in force."""
        current = self._current
        if current is not None and parsed.digest == current.content_digest:
            return NotNewer(revision=current.revision, stale=False)
        if self._last_rejection is not None and parsed.digest == self._rejected_digest:
            return self._count_repeated_rejection(self._last_rejection, now_ms)
        candidate, error = parsed.settings, parsed.error
        if error is not None:
            return self._reject(error.code, error.problems, None, parsed.digest, now_ms)
        if candidate is None:
            return NotNewer(revision=Revision(), stale=True)
        if current is not None and candidate.revision < current.revision:
            return NotNewer(revision=candidate.revision, stale=True)
        if current is not None and candidate.revision == current.revision:
            return self._reject_conflicting_revision(candidate, parsed.digest, now_ms)
        self._current = candidate
        self._applied_ms = now_ms
        self._last_rejection = None
        self._rejected_digest = None
        return Applied(settings=candidate, at_ms=now_ms)

    def _reject_conflicting_revision(
        self, candidate: Settings, document_digest: bytes, now_ms: int
    ) -> Rejected | NotNewer:
        """Reject a document that has the revision in force but other content."""
        current = self._current
        if current is not None and _same_tree(candidate, current):
            return NotNewer(revision=candidate.revision, stale=False)
        reason = f"revision {candidate.revision} is in force with another content"
        problem = Problem(key="revision", reason=reason)
        code = ErrorCode.SETTINGS_STALE
        return self._reject(code, (problem,), candidate.revision, document_digest, now_ms)

    def _reject(
        self,
        code: ErrorCode,
        problems: tuple[Problem, ...],
        revision: Revision | None,
        document_digest: bytes,
        now_ms: int,
    ) -> Rejected:
        """Store and return a rejection, which operators can query."""
        rejection = Rejected(code=code, problems=problems, revision=revision, at_ms=now_ms)
        self._last_rejection = rejection
        self._rejected_digest = document_digest
        return rejection

    def _count_repeated_rejection(self, rejection: Rejected, now_ms: int) -> Rejected:
        """Count a repetition of the document that was rejected last."""
        repeated = Rejected(
            code=rejection.code,
            problems=rejection.problems,
            revision=rejection.revision,
            at_ms=now_ms,
            count=rejection.count + 1,
        )
        self._last_rejection = repeated
        return repeated


def _same_tree(one: Settings, other: Settings) -> bool:
    """Return whether two documents of different form have the same settings."""
    return one.fleet_node == other.fleet_node and dict(one.workspaces) == dict(other.workspaces)
