"""What was found wrong with configurations, each told once."""

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


class Verdicts:
    """Validates contents and remembers a bounded number of refusals and conflicts."""

    def __init__(self, validate: Validate, *, max_kept: int) -> None:
        """Create an empty record."""
        self._validate = validate
        self._max_kept = max_kept
        self._refused: OrderedDict[Revision, str] = OrderedDict()
        self._conflicts: set[Revision] = set()
        self._behind: Revision | None = None

    @property
    def refused(self) -> frozenset[Revision]:
        """Return the revisions that were refused."""
        return frozenset(self._refused)

    def refuse(self, revision: Revision, content: bytes) -> ConfigurationRefused | None:
        """Return a new refusal, None when the content is valid."""
        reason = self._validate(revision, content)
        if reason is None:
            return None
        self._refused[revision] = reason
        if len(self._refused) > self._max_kept:
            self._refused.popitem(last=False)
        return ConfigurationRefused(revision=revision, reason=reason)

    def conflict(self, revision: Revision, source: VmId | None) -> ConfigurationConflict | None:
        """Return a conflict of two contents of one revision, unless it was told."""
        if revision in self._conflicts or len(self._conflicts) >= self._max_kept:
            return None
        self._conflicts.add(revision)
        return ConfigurationConflict(revision=revision, source=source)

    def behind(self, offered: Revision, held: Revision) -> ServiceBehind | None:
        """Return that the service serves a lower revision, unless it was told."""
        if offered == self._behind:
            return None
        self._behind = offered
        return ServiceBehind(offered=offered, held=held)

    def service_caught_up(self) -> None:
        """Note that the service serves no lower revision any more."""
        self._behind = None
