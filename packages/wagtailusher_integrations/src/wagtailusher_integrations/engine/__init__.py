"""Client of model engines with an OpenAI-compatible HTTP interface."""

from __future__ import annotations

from wagtailusher_integrations.engine.coordinator import EngineCoordinator
from wagtailusher_integrations.engine.event_stream import EventStream
from wagtailusher_integrations.engine.exceptions import BrokenStreamError, EngineError
from wagtailusher_integrations.engine.models import ChatCall

__all__ = ["BrokenStreamError", "ChatCall", "EngineCoordinator", "EngineError", "EventStream"]
