"""Recent configuration contents of a node, the bases of deltas."""

from __future__ import annotations

from collections import OrderedDict

from wagtailusher_core import Revision
from wagtailusher_membership.configuration_limits import ConfigurationLimits
from wagtailusher_wire import (
    MAX_STREAM_MESSAGE_BYTES,
    NO_REVISION,
    ContentAnswer,
    ContentRequest,
    DeltaStep,
)
from wagtailusher_wire.delta import (
    DeltaError,
    apply_delta,
    digest_content,
    make_delta,
)

_MAX_DELTAS = 8


class ContentHistory:
    """Stores a bounded number of contents and a cache of recently requested deltas."""

    def __init__(self, limits: ConfigurationLimits) -> None:
        self._limits = limits
        self._contents: OrderedDict[Revision, bytes] = OrderedDict()
        self._digests: dict[Revision, int] = {}
        self._deltas: OrderedDict[tuple[Revision, Revision], tuple[DeltaStep, ...]] = OrderedDict()

    def add(self, revision: Revision, content: bytes) -> None:
        """Store a content; above the limits the oldest are evicted."""
        self._contents[revision] = content
        self._digests[revision] = digest_content(content)
        self._deltas.clear()
        while len(self._contents) > 1 and self._exceeds_limit():
            oldest, _ = self._contents.popitem(last=False)
            del self._digests[oldest]

    def digest(self, revision: Revision) -> int:
        """Return a content's digest, 0 when it isn't stored."""
        return self._digests.get(revision, 0)

    def make_answer(self, request: ContentRequest, revision: Revision) -> ContentAnswer:
        """Return a content, as a delta when the requester's base is stored here."""
        base = request.have
        if base not in self._contents or self._digests[base] != request.have_digest:
            base = NO_REVISION
        return ContentAnswer(
            sequence=request.sequence,
            revision=revision,
            digest=self._digests[revision],
            base=base,
            steps=self._delta_steps(base, revision),
        )

    def rebuild_content(self, answer: ContentAnswer) -> bytes | None:
        """Return the content of a peer's answer, None when it can't be rebuilt or verified."""
        base = self._contents.get(answer.base, b"")
        try:
            content = apply_delta(base, answer.steps, max_bytes=MAX_STREAM_MESSAGE_BYTES)
        except DeltaError:
            return None
        return content if digest_content(content) == answer.digest else None

    def _delta_steps(self, base: Revision, revision: Revision) -> tuple[DeltaStep, ...]:
        """Return the delta between two contents, cached for further requests."""
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

    def _exceeds_limit(self) -> bool:
        total_bytes = sum(map(len, self._contents.values()))
        is_many = len(self._contents) > self._limits.history_count
        return is_many or total_bytes > self._limits.history_bytes
