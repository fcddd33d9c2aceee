"""Where other VMs and endpoints are found, by membership and by the platform's list."""

from __future__ import annotations

from wagtailusher_core import EndpointId, VmId
from wagtailusher_daemon.fleet_talk import FleetTalk
from wagtailusher_daemon.fleet_view import FleetView
from wagtailusher_router import Cancel


class Directory:
    """Looks addresses up; what a member says of itself goes before the lagging list."""

    def __init__(self) -> None:
        """Start knowing nothing."""
        self._view: FleetView | None = None
        self._talk: FleetTalk | None = None

    def attach(self, view: FleetView) -> None:
        """Take the platform's lists."""
        self._view = view

    def attach_talk(self, talk: FleetTalk) -> None:
        """Take the members."""
        self._talk = talk

    def address_of(self, vm_id: VmId) -> str | None:
        """Return the address at which a VM serves callers."""
        own = self._talk.member_address(vm_id) if self._talk is not None else None
        listed = self._view.address_of_vm(vm_id) if self._view is not None else None
        return own or listed

    def peer_address_of(self, vm_id: VmId) -> str | None:
        """Return the address at which a VM's process receives datagrams."""
        own = self._talk.peer_address(vm_id) if self._talk is not None else None
        listed = self._view.peer_address_of(vm_id) if self._view is not None else None
        return own or listed

    def address_of_cancel(self, action: Cancel) -> str | None:
        """Return the address of the engine that a cancellation goes to."""
        if self._view is None:
            return None
        info = self._view.endpoints.get(EndpointId(action.endpoint_id))
        return None if info is None else info.address
