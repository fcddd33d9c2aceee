"""Stand-in for the platform's list of live and leaving VMs."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import asdict
import json
from typing import Any

from tests.standins.config_service import ConfigService, ServiceBehaviour
from wagtailusher_core import PublishedVm
from wagtailusher_placement import EndpointInfo

KEY = "vms"
PATH = "/v1/vms"


class VmList(ConfigService):
    """Serves the VM list with the configuration service's rate limit, lag and outages."""

    def __init__(self, behaviour: ServiceBehaviour | None = None) -> None:
        """Create a service without a list that does not listen until `async_start`."""
        super().__init__(behaviour)
        self._list_version = 0

    def key_of(self, path: str) -> str | None:
        """Return the key of the list, or None for an unknown path."""
        return KEY if path == PATH else None

    def publish_vms(
        self,
        entry_vms: Iterable[PublishedVm],
        endpoints: Iterable[EndpointInfo] = (),
        *,
        version: int | None = None,
    ) -> int:
        """Write a list and return its version; `version` sets an explicit, even older, version."""
        self._list_version = self._list_version + 1 if version is None else version
        content = {
            "version": self._list_version,
            "entry_vms": [asdict(vm) for vm in entry_vms],
            "endpoints": [_to_json_object(endpoint) for endpoint in endpoints],
        }
        self.publish(KEY, json.dumps(content).encode())
        return self._list_version

    def publish_raw(self, content: bytes) -> None:
        """Write arbitrary bytes instead of a list."""
        self.publish(KEY, content)


def _to_json_object(endpoint: EndpointInfo) -> dict[str, Any]:
    """Return an endpoint in the platform's JSON form."""
    return {**asdict(endpoint), "pool_ids": sorted(endpoint.pool_ids)}
