"""Passes on what the elected reader read from the store, within its failure domain.

Of a new configuration it sends what differs from the one before, line by line.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
import logging

from wagtailusher_core import Revision
from wagtailusher_gateway.configuration_lines import decode_lines, encode_lines
from wagtailusher_gateway.exceptions import ViewError
from wagtailusher_gateway.fleet import FleetDecider
from wagtailusher_gateway.models import (
    Configuration,
    Endpoint,
    EntryChange,
    ReadChanges,
)
from wagtailusher_gateway.view_cache import ViewCache
from wagtailusher_wire import (
    MAX_PAYLOAD_BYTES,
    MAX_STREAM_MESSAGE_BYTES,
    EntryUpdate,
    Message,
    ViewChanges,
    encode,
)
from wagtailusher_wire.delta import DeltaError, apply_delta, digest_content, make_delta

_LOGGER = logging.getLogger(__name__)


class ViewSpread:
    """Sends changes of entries to peers in the failure domain, and applies those of the reader."""

    def __init__(
        self,
        *,
        fleet: FleetDecider,
        view_cache: ViewCache,
        send: Callable[[str, Message], None],
        require_read: Callable[[Revision], None],
        count_event: Callable[[str], None] = lambda event: None,
    ) -> None:
        """`require_read` gets a revision up to which this VM has to read the store itself.

        `count_event` gets "told" by the reader, and "applied" or "unusable" by the others.
        """
        self._fleet = fleet
        self._view_cache = view_cache
        self._send = send
        self._require_read = require_read
        self._count_event = count_event

    def spread(self, changes: ReadChanges, now_ms: int) -> None:
        """Send what was read to the peers in this failure domain, if this VM is its reader.

        Changes that don't fit into a datagram are only announced.
        """
        if not self._fleet.is_reader(now_ms):
            return
        message = _new_message(changes, now_ms - self._view_cache.view.confirmed_ms, now_ms)
        if not message.is_complete or len(encode(message)) > MAX_PAYLOAD_BYTES:
            message = replace(message, is_complete=False, updates=(), configuration_steps=())
        self._count_event("told")
        for member in self._fleet.local_members(now_ms):
            self._send(member.peer_address, message)

    def receive(self, message: Message, now_ms: int) -> None:
        """Apply what a reader read; other messages are ignored."""
        if not isinstance(message, ViewChanges):
            return
        try:
            configuration = self._new_configuration(message)
        except (ViewError, DeltaError) as err:
            _LOGGER.info("View: can't apply the reader's changes: %s", err)
            self._refuse(message)
            return
        changes = ReadChanges(
            after_revision=Revision(epoch=message.after_epoch, number=message.after_revision),
            revision=_revision_of(message),
            is_complete=message.is_complete,
            entries=tuple(_entry_change(update, now_ms) for update in message.updates),
            configuration=configuration,
        )
        if self._view_cache.apply_changes(changes, now_ms - message.view_age_ms, now_ms):
            self._count_event("applied")
        else:
            self._refuse(message)

    def _refuse(self, message: ViewChanges) -> None:
        """Read the store, as this VM lacks what was before the changes, or what they are."""
        self._count_event("unusable")
        self._require_read(_revision_of(message))

    def _new_configuration(self, message: ViewChanges) -> Configuration | None:
        """Return the configuration after the changes, or None if it is the same.

        Raises DeltaError or ViewError if it can't be built from this VM's.
        """
        view = self._view_cache.view
        if not message.configuration_steps or view.store_revision >= _revision_of(message):
            return None
        if view.configuration is None:
            raise ViewError("there is no configuration to change")
        base = encode_lines(view.configuration)
        content = apply_delta(base, message.configuration_steps, max_bytes=MAX_STREAM_MESSAGE_BYTES)
        if digest_content(content) != message.digest:
            raise ViewError("the configuration before the changes was another one")
        return decode_lines(content)


def _revision_of(message: ViewChanges) -> Revision:
    """Return the state of the store after the changes."""
    return Revision(epoch=message.epoch, number=message.revision)


def _new_message(changes: ReadChanges, view_age_ms: int, now_ms: int) -> ViewChanges:
    message = ViewChanges(
        after_revision=changes.after_revision.number,
        revision=changes.revision.number,
        after_epoch=changes.after_revision.epoch,
        epoch=changes.revision.epoch,
        view_age_ms=max(0, view_age_ms),
        is_complete=changes.is_complete,
        updates=tuple(_entry_update(change, now_ms) for change in changes.entries),
    )
    previous, current = changes.previous_configuration, changes.configuration
    if previous is None or current is None:
        return message
    base, content = encode_lines(previous), encode_lines(current)
    return replace(
        message,
        digest=digest_content(content),
        configuration_steps=make_delta(base, content),
    )


def _entry_update(change: EntryChange, now_ms: int) -> EntryUpdate:
    endpoint = change.endpoint
    if endpoint is None:
        expires_in_ms = max(0, (change.expires_ms or now_ms) - now_ms)
        return EntryUpdate(
            endpoint_id=change.endpoint_id, is_removed=True, expires_in_ms=expires_in_ms
        )
    return EntryUpdate(
        endpoint_id=endpoint.endpoint_id,
        is_removed=False,
        service=endpoint.service,
        address=endpoint.address,
        failure_domain_id=endpoint.failure_domain_id,
        slots=endpoint.slots,
        is_draining=endpoint.is_draining,
        born_ms=endpoint.born_ms,
        cold_left_ms=max(0, endpoint.cold_until_ms - now_ms),
        software_version=endpoint.software_version,
    )


def _entry_change(update: EntryUpdate, now_ms: int) -> EntryChange:
    if update.is_removed:
        expires_ms = now_ms + update.expires_in_ms if update.expires_in_ms else None
        return EntryChange(endpoint_id=update.endpoint_id, endpoint=None, expires_ms=expires_ms)
    endpoint = Endpoint(
        endpoint_id=update.endpoint_id,
        service=update.service,
        address=update.address,
        failure_domain_id=update.failure_domain_id,
        slots=update.slots,
        is_draining=update.is_draining,
        born_ms=update.born_ms,
        cold_until_ms=now_ms + update.cold_left_ms if update.cold_left_ms else 0,
        software_version=update.software_version,
    )
    return EntryChange(endpoint_id=update.endpoint_id, endpoint=endpoint)
