"""Model engines, met through their OpenAI-compatible HTTP interface."""

from __future__ import annotations

from wagtailusher_integrations.engine.coordinator import EngineCoordinator
from wagtailusher_integrations.engine.event_stream import EventStream
from wagtailusher_integrations.engine.exceptions import CrossedAnswerError, EngineError
from wagtailusher_integrations.engine.models import ChatCall

__all__ = ["ChatCall", "CrossedAnswerError", "EngineCoordinator", "EngineError", "EventStream"]
