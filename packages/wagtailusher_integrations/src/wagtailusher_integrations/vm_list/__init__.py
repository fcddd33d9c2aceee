"""The platform's list of live and leaving VMs, which lags."""

from __future__ import annotations

from wagtailusher_integrations.vm_list.coordinator import VmListCoordinator
from wagtailusher_integrations.vm_list.exceptions import VmListError
from wagtailusher_integrations.vm_list.keeper import VmListKeeper
from wagtailusher_integrations.vm_list.models import VmList, parse_vm_list

__all__ = ["VmList", "VmListCoordinator", "VmListError", "VmListKeeper", "parse_vm_list"]
