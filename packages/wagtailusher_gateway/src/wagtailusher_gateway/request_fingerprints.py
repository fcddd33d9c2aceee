"""Fingerprints of a request and of the parts of its prompt, for the quarantine and for streams."""

from __future__ import annotations

from functools import cached_property

from xxhash import xxh3_128, xxh3_128_hexdigest

from wagtailusher_gateway.const import MAX_FINGERPRINT_PARTS, MAX_PART_ID_BYTES
from wagtailusher_gateway.models import RequestTerms
from wagtailusher_http import Request
from wagtailusher_quarantine import Suspect, part_fingerprint

_STREAM_PREFIX = "content:"
"""Tells such an identifier from those of attempts."""


class RequestFingerprints:
    """The fingerprints under which a request may be accused of crashing an endpoint.

    The last part of a prompt is the request's own, so it is accused as the request.
    """

    def __init__(self, request: Request, terms: RequestTerms, whole: str | None = None) -> None:
        """Compute the parts' fingerprints; the request's follows when it is needed.

        `whole` is the request's if the VM that handed it on has computed it.
        """
        self._known_whole = whole
        self._request = request
        self._terms = terms
        self.parts = tuple(
            part_fingerprint(_short(part.part_id))
            for part in terms.shared_parts[:MAX_FINGERPRINT_PARTS]
        )

    @cached_property
    def whole(self) -> str:
        """Return the fingerprint of the path, the caller and the content."""
        if self._known_whole is not None:
            return self._known_whole
        request = self._request
        head = "\0".join((request.method, request.target, self._terms.api_key or "", ""))
        digest = xxh3_128(head.encode())
        digest.update(request.body)
        return digest.hexdigest()

    def release_body(self) -> None:
        """Free the body of a request that is not sent again."""
        self._known_whole = self.whole
        self._request.body = b""

    @cached_property
    def stream(self) -> str:
        """Return an identifier of the stream that the request asks for, whatever its attempt.

        Callers that take a stream up repeat the request, prompt parts included.
        """
        parts = "\0".join((self.whole, *(part.part_id for part in self._terms.parts)))
        return f"{_STREAM_PREFIX}{xxh3_128_hexdigest(parts.encode())}"

    @property
    def all(self) -> tuple[str, ...]:
        """Return all fingerprints."""
        return (self.whole, *self.parts)

    def suspects(self, *, has_begun: bool) -> tuple[Suspect, ...]:
        """Return whom a crash accuses; the parts only if the answer had begun."""
        request = Suspect(fingerprint=self.whole, has_begun=has_begun)
        if not has_begun:
            return (request,)
        return (
            request,
            *(Suspect(fingerprint=part, carrier=self.whole, has_begun=True) for part in self.parts),
        )


def _short(part_id: str) -> str:
    """Return a part's identifier, or its hash if it is long; callers may send any."""
    content = part_id.encode()
    return part_id if len(content) <= MAX_PART_ID_BYTES else xxh3_128_hexdigest(content)
