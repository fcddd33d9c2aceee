"""Looks up addresses of VMs and endpoints in the membership and the platform's list."""

from __future__ import annotations

from wagtailusher_core import EndpointId, VmId
from wagtailusher_daemon.fleet_sync import FleetSync
from wagtailusher_daemon.fleet_view import FleetView
from wagtailusher_router import Cancel
from wagtailusher_wire import MemberState


class Directory:
    """Looks up addresses; a member's own address takes precedence over the list, which may lag."""

    def __init__(self) -> None:
        self._view: FleetView | None = None
        self._fleet_sync: FleetSync | None = None

    def attach_view(self, view: FleetView) -> None:
        """Set the fleet view from which listed addresses are read."""
        self._view = view

    def attach_fleet_sync(self, fleet_sync: FleetSync) -> None:
        """Set the fleet sync from which members' addresses are read."""
        self._fleet_sync = fleet_sync

    def address_of(self, vm_id: VmId) -> str | None:
        """Return the address at which a VM serves callers, or None when it is unknown."""
        current = self._fleet_sync.member_address(vm_id) if self._fleet_sync is not None else None
        listed = self._view.address_of_vm(vm_id) if self._view is not None else None
        return current or listed

    def peer_address_of(self, vm_id: VmId) -> str | None:
        """Return the address at which a VM receives datagrams, or None when it is unknown."""
        current = self._fleet_sync.peer_address(vm_id) if self._fleet_sync is not None else None
        listed = self._view.peer_address_of(vm_id) if self._view is not None else None
        return current or listed

    def address_of_cancel(self, action: Cancel) -> str | None:
        """Return the address of the engine to send a cancellation to, or None if unlisted."""
        return self.endpoint_address_of(EndpointId(action.endpoint_id))

    def endpoint_address_of(self, endpoint_id: EndpointId) -> str | None:
        """Return the address of an endpoint, or None if it is unlisted."""
        info = self._view.endpoints.get(endpoint_id) if self._view is not None else None
        return None if info is None else info.address

    def member_count(self) -> int:
        """Return the number of members that have not left, this VM included."""
        if self._fleet_sync is None:
            return 1
        return sum(member.state is not MemberState.LEFT for member in self._fleet_sync.members())

    def live_peer_ids(self) -> tuple[VmId, ...]:
        """Return the members that are not gone, without this VM."""
        peers = self._fleet_sync.live_peers() if self._fleet_sync is not None else ()
        return tuple(peer.vm_id for peer in peers)

    def live_peer_addresses(self) -> tuple[str, ...]:
        """Return where the members that are not gone, without this VM, receive datagrams."""
        peers = self._fleet_sync.live_peers() if self._fleet_sync is not None else ()
        return tuple(peer.peer_address for peer in peers)
