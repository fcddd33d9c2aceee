"""Replay detection with bounded memory."""

from __future__ import annotations

from collections import OrderedDict

from wagtailusher_core import Incarnation, VmId
from wagtailusher_wire.const import MAX_REPLAY_SENDERS, REPLAY_WINDOW_MESSAGES


class _Window:
    """Sliding window of the sequence numbers received from one incarnation of a sender."""

    __slots__ = ("highest", "incarnation", "seen")

    def __init__(self, incarnation: Incarnation) -> None:
        self.incarnation = incarnation
        self.highest = 0
        self.seen = 0

    def check_and_record(self, sequence: int) -> bool:
        """Record a sequence number; return whether it is new and within the window."""
        if sequence > self.highest:
            shift = min(sequence - self.highest, REPLAY_WINDOW_MESSAGES)
            mask = (1 << REPLAY_WINDOW_MESSAGES) - 1
            self.seen = ((self.seen << shift) | 1) & mask
            self.highest = sequence
            return True
        behind = self.highest - sequence
        if behind >= REPLAY_WINDOW_MESSAGES or self.seen >> behind & 1:
            return False
        self.seen |= 1 << behind
        return True


class ReplayGuard:
    """Sliding windows of a limited number of senders; the least recently used is evicted."""

    def __init__(self, max_senders: int = MAX_REPLAY_SENDERS) -> None:
        self._max_senders = max_senders
        self._windows: OrderedDict[VmId, _Window] = OrderedDict()

    def newest(self, vm_id: VmId) -> Incarnation | None:
        """Return the newest incarnation of a sender, or None if it is unknown."""
        window = self._windows.get(vm_id)
        return None if window is None else window.incarnation

    def check_and_record(self, vm_id: VmId, incarnation: Incarnation, sequence: int) -> bool:
        """Record a message; return whether it is new. Older incarnations are rejected."""
        window = self._windows.get(vm_id)
        if window is not None and incarnation < window.incarnation:
            return False
        if window is None or incarnation > window.incarnation:
            window = self._windows[vm_id] = _Window(incarnation)
        self._windows.move_to_end(vm_id)
        if len(self._windows) > self._max_senders:
            self._windows.popitem(last=False)
        return window.check_and_record(sequence)
