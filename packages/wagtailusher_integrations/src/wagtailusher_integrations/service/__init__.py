"""Client of plain HTTP services, which are not model engines."""

from __future__ import annotations

from wagtailusher_integrations.service.coordinator import ServiceCoordinator
from wagtailusher_integrations.service.exceptions import ServiceError
from wagtailusher_integrations.service.models import ServiceCall

__all__ = ["ServiceCall", "ServiceCoordinator", "ServiceError"]
