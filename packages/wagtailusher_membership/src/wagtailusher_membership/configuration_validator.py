"""Validation of configurations; each refusal or conflict is reported once."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable

from wagtailusher_core import Revision, VmId
from wagtailusher_membership.configuration_effects import (
    ConfigurationConflict,
    ConfigurationRefused,
    ServiceBehind,
)

Validate = Callable[[Revision, bytes], str | None]
"""Returns why a configuration isn't valid, or None."""


class ConfigurationValidator:
    """Validates contents and stores a bounded number of refusals and conflicts."""

    def __init__(self, validate: Validate, *, max_entries: int) -> None:
        self._validate = validate
        self._max_entries = max_entries
        self._refusal_reasons: OrderedDict[Revision, str] = OrderedDict()
        self._reported_conflicts: set[Revision] = set()
        self._reported_behind: Revision | None = None

    @property
    def refused_revisions(self) -> frozenset[Revision]:
        """Return the revisions that failed validation."""
        return frozenset(self._refusal_reasons)

    def validate(self, revision: Revision, content: bytes) -> ConfigurationRefused | None:
        """Validate a content; return the refusal, None when it is valid."""
        reason = self._validate(revision, content)
        if reason is None:
            return None
        self._refusal_reasons[revision] = reason
        if len(self._refusal_reasons) > self._max_entries:
            self._refusal_reasons.popitem(last=False)
        return ConfigurationRefused(revision=revision, reason=reason)

    def record_conflict(
        self, revision: Revision, source: VmId | None
    ) -> ConfigurationConflict | None:
        """Return a conflict of two contents of one revision, None if already reported."""
        if (
            revision in self._reported_conflicts
            or len(self._reported_conflicts) >= self._max_entries
        ):
            return None
        self._reported_conflicts.add(revision)
        return ConfigurationConflict(revision=revision, source=source)

    def record_service_behind(self, offered: Revision, held: Revision) -> ServiceBehind | None:
        """Return that the service serves a lower revision, None if already reported."""
        if offered == self._reported_behind:
            return None
        self._reported_behind = offered
        return ServiceBehind(offered=offered, held=held)

    def clear_service_behind(self) -> None:
        """Record that the service no longer serves a lower revision."""
        self._reported_behind = None
