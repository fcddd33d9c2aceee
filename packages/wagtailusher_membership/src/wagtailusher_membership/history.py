"""The last contents that a node kept, to build deltas from."""

from __future__ import annotations

from collections import OrderedDict

from wagtailusher_core import Revision
from wagtailusher_membership.configuration_limits import ConfigurationLimits
from wagtailusher_membership.delta import (
    DeltaError,
    apply_delta,
    digest_content,
    make_delta,
)
from wagtailusher_wire import (
    MAX_STREAM_MESSAGE_BYTES,
    NO_REVISION,
    ContentAnswer,
    ContentRequest,
    DeltaStep,
)

_MAX_DELTAS = 8


class ContentHistory:
    """Keeps a bounded number of contents and the deltas that were asked for lately."""

    def __init__(self, limits: ConfigurationLimits) -> None:
        """Create an empty history."""
        self._limits = limits
        self._contents: OrderedDict[Revision, bytes] = OrderedDict()
        self._digests: dict[Revision, int] = {}
        self._deltas: OrderedDict[tuple[Revision, Revision], tuple[DeltaStep, ...]] = OrderedDict()

    def add(self, revision: Revision, content: bytes) -> None:
        """Keep a content; the oldest go first."""
        self._contents[revision] = content
        self._digests[revision] = digest_content(content)
        self._deltas.clear()
        while len(self._contents) > 1 and self._is_over():
            oldest, _ = self._contents.popitem(last=False)
            del self._digests[oldest]

    def digest(self, revision: Revision) -> int:
        """Return a content's digest, 0 when it isn't kept."""
        return self._digests.get(revision, 0)

    def answer(self, request: ContentRequest, revision: Revision) -> ContentAnswer:
        """Return a content, as a delta where the requester's base is kept here."""
        base = request.have
        if base not in self._contents or self._digests[base] != request.have_digest:
            base = NO_REVISION
        return ContentAnswer(
            sequence=request.sequence,
            revision=revision,
            digest=self._digests[revision],
            base=base,
            steps=self._steps(base, revision),
        )

    def build(self, answer: ContentAnswer) -> bytes | None:
        """Return the content of a peer's answer, None when it doesn't fit."""
        base = self._contents.get(answer.base, b"")
        try:
            content = apply_delta(base, answer.steps, max_bytes=MAX_STREAM_MESSAGE_BYTES)
        except DeltaError:
            return None
        return content if digest_content(content) == answer.digest else None

    def _steps(self, base: Revision, revision: Revision) -> tuple[DeltaStep, ...]:
        """Return the steps between two contents, worked out once for all who ask."""
        steps = self._deltas.get((base, revision))
        if steps is not None:
            return steps
        content = self._contents[revision]
        if base == NO_REVISION:
            steps = (DeltaStep(copy_offset_bytes=0, copy_bytes=0, insert=content),)
        else:
            steps = make_delta(self._contents[base], content)
        self._deltas[base, revision] = steps
        if len(self._deltas) > _MAX_DELTAS:
            self._deltas.popitem(last=False)
        return steps

    def _is_over(self) -> bool:
        """Return whether the history exceeds a limit."""
        total_bytes = sum(map(len, self._contents.values()))
        is_many = len(self._contents) > self._limits.history_count
        return is_many or total_bytes > self._limits.history_bytes
