"""Client of the platform's list of live and leaving VMs, which lags behind."""

from __future__ import annotations

from wagtailusher_integrations.vm_list.coordinator import VmListCoordinator
from wagtailusher_integrations.vm_list.exceptions import VmListError
from wagtailusher_integrations.vm_list.models import VmList, parse_vm_list
from wagtailusher_integrations.vm_list.vm_list_cache import VmListCache

__all__ = ["VmList", "VmListCoordinator", "VmListError", "VmListCache", "parse_vm_list"]
