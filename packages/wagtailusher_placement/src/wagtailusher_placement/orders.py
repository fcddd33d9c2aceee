"""Orders to endpoints, with fencing numbers or of kinds that are safe when they arrive late."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from enum import StrEnum

from wagtailusher_core import EndpointId, ErrorCode, WagtailusherError
from wagtailusher_placement.const import FENCING_COUNTER_BITS
from wagtailusher_placement.endpoints import EndpointInfo, EndpointState


class OrderKind(StrEnum):
    """What an endpoint is ordered to do."""

    LOAD_MODEL = "load_model"
    LOAD_ADAPTER = "load_adapter"
    LOAD_VERSION = "load_version"
    UNLOAD_MODEL = "unload_model"
    CHANGE_ROLE = "change_role"


class OrderError(WagtailusherError):
    """An order that this VM may not issue."""

    code = ErrorCode.LEASE_REFUSED


@dataclass(frozen=True, slots=True, kw_only=True)
class FencingNumber:
    """A number that grows with each order to an endpoint, also across stewards."""

    epoch: int
    counter: int

    def __int__(self) -> int:
        return (self.epoch << FENCING_COUNTER_BITS) | self.counter


@dataclass(frozen=True, slots=True, kw_only=True)
class OrderRequest:
    """An order requested by operators or policy; `target` names a model, version or role.

    `expected` is the state from which the endpoint may act, if the order depends on it.
    """

    order_id: str
    endpoint_id: EndpointId
    kind: OrderKind
    target: str
    expected: str | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class Order:
    """An order to send.

    With `additive`, the endpoint adds the target only if it has capacity and removes nothing. With
    `expected`, it acts only from that state.
    """

    order_id: str
    endpoint_id: EndpointId
    kind: OrderKind
    target: str
    expected: str | None
    fencing: FencingNumber
    additive: bool
    expires_at_ms: int


ADDITIVE_KINDS = frozenset({OrderKind.LOAD_MODEL, OrderKind.LOAD_ADAPTER, OrderKind.LOAD_VERSION})


class OrderDecider:
    """Issues orders as the endpoint's steward, one at a time for each endpoint."""

    def __init__(self, *, lifetime_ms: int) -> None:
        """Abandon an order that gets no answer within `lifetime_ms`."""
        self._lifetime_ms = lifetime_ms
        self._counters: dict[EndpointId, tuple[int, int]] = {}
        self._open: dict[EndpointId, Order] = {}

    def issue(
        self,
        request: OrderRequest,
        info: EndpointInfo,
        epochs: Mapping[EndpointId, int],
        now_ms: int,
    ) -> Order:
        """Return the order to send, given the epochs of the endpoints that this VM stewards.

        Raises OrderError when this VM is not the settled steward, another order is open, or the
        endpoint doesn't check fencing numbers and the order could do harm when it arrives late.
        """
        epoch = epochs.get(info.endpoint_id)
        if epoch is None:
            raise OrderError(f"not the steward of {info.endpoint_id}", code=ErrorCode.NOT_READY)
        open_order = self._open.get(info.endpoint_id)
        if open_order is not None and now_ms < open_order.expires_at_ms:
            raise OrderError(
                f"order {open_order.order_id} to this endpoint is still open",
                code=ErrorCode.IN_PROGRESS,
            )
        if not info.checks_fencing and not is_harmless_late(request, info):
            raise OrderError(f"{request.kind} requires an endpoint that checks fencing numbers")
        last_epoch, counter = self._counters.get(info.endpoint_id, (epoch, 0))
        counter = counter + 1 if last_epoch == epoch else 1
        self._counters[info.endpoint_id] = (epoch, counter)
        order = Order(
            order_id=request.order_id,
            endpoint_id=info.endpoint_id,
            kind=request.kind,
            target=request.target,
            expected=request.expected,
            fencing=FencingNumber(epoch=epoch, counter=counter),
            additive=request.kind in ADDITIVE_KINDS,
            expires_at_ms=now_ms + self._lifetime_ms,
        )
        self._open[info.endpoint_id] = order
        return order

    def may_send(self, order: Order, epochs: Mapping[EndpointId, int], now_ms: int) -> bool:
        """Return whether an order may still be sent; call right before its first byte."""
        is_open = self._open.get(order.endpoint_id) == order and now_ms < order.expires_at_ms
        return is_open and epochs.get(order.endpoint_id) == order.fencing.epoch

    def close_order(self, order: Order) -> None:
        """Close an order that the endpoint answered, whatever the answer was."""
        if self._open.get(order.endpoint_id) == order:
            del self._open[order.endpoint_id]


def is_harmless_late(request: OrderRequest, info: EndpointInfo) -> bool:
    """Return whether a late order does no harm at an endpoint that ignores fencing numbers.

    Loads only add, and versions are loaded side by side, so a late load at most wastes memory.
    Unloading a model or changing the role could undo a newer decision when the order is late; it
    is allowed only at a leaving endpoint, to which no node sends requests.
    """
    if request.kind in ADDITIVE_KINDS:
        return True
    return info.state is EndpointState.LEAVING and request.expected is not None


class WeightStoreBudget:
    """This VM's part of the weight store's rate limit, for the loads that it orders.

    The part is proportional to the endpoints that this VM stewards by the published lists. Nothing
    accumulates before it is a settled steward, so that restarts and moves create no extra loads.
    """

    def __init__(self, *, loads_per_minute: float, window_ms: int) -> None:
        """Start with no budget; `window_ms` is the settling time of leases."""
        self._loads_per_ms = loads_per_minute / 60_000
        self._window_ms = window_ms
        self._counts: list[tuple[int, int]] = []
        self._tokens = 0.0
        self._refilled_at_ms: int | None = None
        self._share = 0.0

    def update(self, *, settled_count: int, endpoint_count: int, now_ms: int) -> None:
        """Set how many endpoints this VM is settled steward of, and how many there are."""
        self._refill(now_ms)
        if not self._counts or self._counts[-1][1] != endpoint_count:
            self._counts.append((now_ms, endpoint_count))
        while len(self._counts) > 1 and self._counts[1][0] <= now_ms - self._window_ms:
            self._counts.pop(0)
        max_count = max(count for _, count in self._counts)
        self._share = settled_count / max_count if max_count else 0.0

    def try_spend(self, now_ms: int) -> bool:
        """Spend one load, or return False when it has to wait."""
        self._refill(now_ms)
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    def _refill(self, now_ms: int) -> None:
        """Refill the budget for the time since the last call, up to a single load."""
        if self._refilled_at_ms is not None:
            earned = (now_ms - self._refilled_at_ms) * self._loads_per_ms * self._share
            self._tokens = min(1.0, self._tokens + earned)
        self._refilled_at_ms = now_ms
