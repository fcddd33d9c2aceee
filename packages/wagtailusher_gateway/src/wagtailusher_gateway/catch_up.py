"""Waits until this VM knows what a peer knew that handed a request on."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import replace
from http import HTTPStatus

from wagtailusher_core import ErrorCode, Revision
from wagtailusher_gateway.const import CATCH_UP_MS, CATCH_UP_STEP_MS, MS_PER_S, RETRY_AFTER_MIN_MS
from wagtailusher_gateway.exceptions import RefusedError
from wagtailusher_gateway.forward_terms import ForwardTerms
from wagtailusher_gateway.view_cache import ViewCache


class CatchUp:
    """Keeps a request from being decided by an older state than the one it was handed on with."""

    def __init__(
        self,
        view_cache: ViewCache,
        require_read: Callable[[Revision], None],
        clock_ms: Callable[[], int],
    ) -> None:
        """`require_read` gets a revision up to which this VM has to read the store."""
        self._view_cache = view_cache
        self._require_read = require_read
        self._clock_ms = clock_ms

    async def async_wait(self, terms: ForwardTerms) -> ForwardTerms:
        """Return the terms once the configuration and the view are as new as the peer's.

        Their time left is that after the wait. Raises RefusedError if the wait takes `CATCH_UP_MS`,
        or half of that time.
        """
        if self._is_as_new(terms):
            return terms
        self._require_read(terms.store_revision)
        began_ms = self._clock_ms()
        ends_ms = began_ms + min(CATCH_UP_MS, terms.left_ms // 2)
        while (now_ms := self._clock_ms()) < ends_ms:
            if self._is_as_new(terms):
                return replace(terms, left_ms=max(1, terms.left_ms - (now_ms - began_ms)))
            await asyncio.sleep(CATCH_UP_STEP_MS / MS_PER_S)
        raise RefusedError(
            "this VM knows an older state than the one that handed the request on",
            code=ErrorCode.PEER_BEHIND,
            status=HTTPStatus.SERVICE_UNAVAILABLE,
            retry_after_ms=RETRY_AFTER_MIN_MS,
        )

    def _is_as_new(self, terms: ForwardTerms) -> bool:
        cache = self._view_cache
        return (
            cache.configuration_version >= terms.configuration_version
            and cache.view.store_revision >= terms.store_revision
        )
