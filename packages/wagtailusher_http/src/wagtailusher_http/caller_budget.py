"""A budget of memory shared by the connections of callers, for requests and answers alike."""

from __future__ import annotations

from enum import StrEnum
import logging
from typing import Protocol

from wagtailusher_core import callback
from wagtailusher_http.const import (
    CONNECTION_BYTES,
    LOG_INTERVAL_MS,
    MAX_HELD_PIPELINED_BYTES,
    MIN_PACE_BYTES_PER_S,
    MS_PER_S,
    PACE_WINDOW_MS,
    SLOW_WEIGHT,
    SMALL_BYTES,
    SMALL_SHARE,
)

_LOGGER = logging.getLogger(__name__)


class Phase(StrEnum):
    """What a caller's connection does."""

    IDLE = "idle"
    RECEIVING = "receiving"
    """A part of a request has arrived."""
    SERVING = "serving"
    """A complete request is served; its answer has not begun."""
    SENDING = "sending"
    """The answer is on its way."""


class Holder(Protocol):
    """A caller's connection, as its budget sees it."""

    @property
    def phase(self) -> Phase:
        """Return what the connection does."""

    @property
    def held_bytes(self) -> int:
        """Return all bytes that the process holds for the connection."""

    @property
    def input_bytes(self) -> int:
        """Return how many of them have been received and are not yet part of a request."""

    @property
    def output_bytes(self) -> int:
        """Return how many of them have been written and not yet sent."""

    @property
    def moved_bytes(self) -> int:
        """Return the bytes that were received or sent since the connection was opened."""

    def give_way(self, phase: Phase) -> None:
        """Free what is held: refuse a request that is not complete, else close the connection."""


class HeldShare:
    """What one connection holds, and its pace."""

    __slots__ = (
        "_last_bytes",
        "_last_ms",
        "_mark_bytes",
        "_mark_ms",
        "_phase",
        "has_given_way",
        "held_bytes",
        "holder",
        "is_slow",
    )

    def __init__(self, holder: Holder, now_ms: int) -> None:
        self.holder = holder
        self.held_bytes = 0
        self.is_slow = False
        self.has_given_way = False
        self._mark_ms = self._last_ms = now_ms
        self._mark_bytes = self._last_bytes = 0
        self._phase = Phase.IDLE

    @callback
    def observe_pace(self, now_ms: int) -> None:
        """Find whether the caller moved too few bytes for PACE_WINDOW_MS, or none."""
        moved_bytes = self.holder.moved_bytes
        phase = self.holder.phase
        if phase is not self._phase:
            self._phase, self.is_slow = phase, False
            self._mark_ms, self._mark_bytes = now_ms, moved_bytes
            self._last_ms = now_ms
        if moved_bytes != self._last_bytes:
            self._last_ms, self._last_bytes = now_ms, moved_bytes
        elapsed_ms = now_ms - self._mark_ms
        if elapsed_ms >= PACE_WINDOW_MS:
            moved_now = moved_bytes - self._mark_bytes
            self.is_slow = moved_now * MS_PER_S < MIN_PACE_BYTES_PER_S * elapsed_ms
            self._mark_ms, self._mark_bytes = now_ms, moved_bytes
        self.is_slow = self.is_slow or now_ms - self._last_ms >= PACE_WINDOW_MS

    @property
    def weight(self) -> int:
        """Return how early the connection gives way; 0 if it does not."""
        holder = self.holder
        phase = holder.phase
        if self.has_given_way or phase not in (Phase.RECEIVING, Phase.SENDING):
            return 0
        if phase is Phase.SENDING and not holder.output_bytes:
            return 0
        if self.is_slow:
            return self.held_bytes * SLOW_WEIGHT
        return self.held_bytes if self.held_bytes > CONNECTION_BYTES + SMALL_BYTES else 0


class CallerBudget:
    """Limits the bytes held for all callers.

    Above the limit, the one whose request or answer is the largest gives way; slow ones count
    several times. A request that was received completely is served, whatever it holds. The last
    part of the budget is left to small requests.
    """

    def __init__(self, max_bytes: int) -> None:
        """Hold at most `max_bytes`, unless requests that are served need more."""
        self.max_bytes = max_bytes
        self._max_large_bytes = round(max_bytes * (1 - SMALL_SHARE))
        self._shares: set[HeldShare] = set()
        self.held_bytes = 0
        self.peak_bytes = 0
        self.gave_way_counts = dict.fromkeys(Phase, 0)
        self._last_log_ms: int | None = None

    @callback
    def open_share(self, holder: Holder, now_ms: int) -> HeldShare:
        """Return the share of a new connection; `release` ends it."""
        share = HeldShare(holder, now_ms)
        self._shares.add(share)
        self._set(share, CONNECTION_BYTES)
        return share

    @callback
    def release(self, share: HeldShare) -> None:
        """Remove a connection that has ended."""
        self._shares.discard(share)
        self._set(share, 0)

    @callback
    def update(self, share: HeldShare, now_ms: int) -> None:
        """Take over what a connection holds now; let others, or itself, give way."""
        if share not in self._shares:
            return
        before_bytes = share.held_bytes
        self._set(share, share.holder.held_bytes)
        share.observe_pace(now_ms)
        if self.held_bytes > self._max_large_bytes and share.held_bytes > before_bytes:
            self._make_room(share, now_ms)

    def _set(self, share: HeldShare, held_bytes: int) -> None:
        self.held_bytes += held_bytes - share.held_bytes
        share.held_bytes = held_bytes
        self.peak_bytes = max(self.peak_bytes, self.held_bytes)

    def _make_room(self, growing: HeldShare, now_ms: int) -> None:
        """Let connections give way until the growing one has room."""
        is_small = growing.held_bytes <= CONNECTION_BYTES + SMALL_BYTES
        max_bytes = self.max_bytes if is_small else self._max_large_bytes
        if self.held_bytes <= max_bytes:
            return
        for share in self._shares:
            self._set(share, share.holder.held_bytes)
            share.observe_pace(now_ms)
        while self.held_bytes > max_bytes:
            chosen = self._choose(growing)
            if chosen is None:
                return
            self._give_way(chosen, now_ms)

    def _choose(self, growing: HeldShare) -> HeldShare | None:
        """Return the connection that gives way, if any may."""
        heaviest = max(self._shares, key=lambda share: share.weight)
        if heaviest.weight:
            return heaviest
        ahead = max(self._shares, key=_sent_ahead_bytes)
        if _sent_ahead_bytes(ahead) > MAX_HELD_PIPELINED_BYTES:
            return ahead
        is_arriving = growing.holder.phase is Phase.RECEIVING and not growing.has_given_way
        return growing if is_arriving else None

    def _give_way(self, share: HeldShare, now_ms: int) -> None:
        """Free what a connection holds."""
        phase = share.holder.phase
        freed_bytes = share.held_bytes
        share.has_given_way = True
        self.gave_way_counts[phase] += 1
        if self._last_log_ms is None or now_ms - self._last_log_ms >= LOG_INTERVAL_MS:
            self._last_log_ms = now_ms
            _LOGGER.warning(
                "HTTP server: a caller with %s bytes gives way while %s, as all callers hold %s"
                " of %s bytes",
                freed_bytes,
                phase,
                self.held_bytes,
                self.max_bytes,
                extra={"event": "caller_gave_way", "phase": str(phase)},
            )
        share.holder.give_way(phase)
        self._set(share, CONNECTION_BYTES)


def _sent_ahead_bytes(share: HeldShare) -> int:
    """Return what a caller sent ahead while its request is served."""
    if share.has_given_way or share.holder.phase is not Phase.SERVING:
        return 0
    return share.holder.input_bytes
