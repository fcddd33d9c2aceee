"""Tests of orders, fencing numbers and the weight store's rate limit.

A late order of a former steward must not undo a newer one; moves of stewards must not add loads.
"""

from __future__ import annotations

from random import Random
import unittest

from tests.wagtailusher_placement.test_decider import endpoint
from wagtailusher_core import EndpointId, Incarnation
from wagtailusher_placement import (
    EndpointState,
    Order,
    OrderDecider,
    OrderError,
    OrderKind,
    OrderRequest,
    WeightStoreBudget,
    steward_epoch,
)

ENDPOINT_ID = EndpointId("a")


def order_request(kind: OrderKind, expected: str | None = None) -> OrderRequest:
    """Return a request for an order."""
    return OrderRequest(
        order_id="o1", endpoint_id=ENDPOINT_ID, kind=kind, target="m@2", expected=expected
    )


class OrderTest(unittest.TestCase):
    """Which orders a VM may issue and send, and their fencing numbers."""

    def test_fencing_numbers_grow_over_orders_restarts_and_moves(self) -> None:
        terms = [
            (3, 1_700_000_000_000),
            (3, 1_700_000_000_500),
            (4, 1_600_000_000_000),
            (5, 1_700_000_000_500),
        ]
        numbers: list[int] = []
        for list_version, started in terms:
            epoch = steward_epoch(list_version=list_version, incarnation=Incarnation(started))
            target = OrderDecider(lifetime_ms=1_000)
            for index in range(3):
                order = target.issue(
                    order_request(OrderKind.LOAD_MODEL),
                    endpoint("a"),
                    {ENDPOINT_ID: epoch},
                    index * 1_000,
                )
                numbers.append(int(order.fencing))
        self.assertEqual(numbers, sorted(set(numbers)))
        self.assertLess(max(numbers) >> 20, 1 << 63)

    def test_a_replaced_steward_or_an_expired_order_sends_nothing(self) -> None:
        target = OrderDecider(lifetime_ms=1_000)
        with self.assertRaises(OrderError):
            target.issue(order_request(OrderKind.LOAD_MODEL), endpoint("a"), {}, 0)
        order = target.issue(
            order_request(OrderKind.LOAD_MODEL), endpoint("a"), {ENDPOINT_ID: 5}, 0
        )
        with self.assertRaises(OrderError):
            target.issue(order_request(OrderKind.LOAD_MODEL), endpoint("a"), {ENDPOINT_ID: 5}, 999)
        self.assertTrue(target.may_send(order, {ENDPOINT_ID: 5}, 999))
        self.assertFalse(target.may_send(order, {ENDPOINT_ID: 6}, 999))
        self.assertFalse(target.may_send(order, {ENDPOINT_ID: 5}, 1_000))

    def test_only_orders_safe_when_late_are_issued_where_fencing_is_ignored(self) -> None:
        def issue(kind: OrderKind, expected: str | None = None, **changes: object) -> Order:
            info = endpoint("a", **changes)
            decider = OrderDecider(lifetime_ms=1)
            return decider.issue(order_request(kind, expected), info, {ENDPOINT_ID: 1}, 0)

        self.assertTrue(issue(OrderKind.LOAD_VERSION).additive)
        for kind in (OrderKind.UNLOAD_MODEL, OrderKind.CHANGE_ROLE):
            with self.assertRaises(OrderError):
                issue(kind, "decode")
            with self.assertRaises(OrderError):
                issue(kind, state=EndpointState.LEAVING)
            self.assertFalse(issue(kind, "decode", state=EndpointState.LEAVING).additive)
            self.assertFalse(issue(kind, checks_fencing=True).additive)


class WeightStoreTest(unittest.TestCase):
    """The weight store's rate limit over all nodes."""

    def test_all_nodes_together_keep_the_rate_while_stewards_move(self) -> None:
        random = Random(3)
        node_count, endpoint_count, per_minute = 9, 14, 6.0
        budgets = [
            WeightStoreBudget(loads_per_minute=per_minute, window_ms=8_000)
            for _ in range(node_count)
        ]
        spent_at_ms: list[int] = []
        for now_ms in range(0, 600_000, 500):
            if now_ms % 20_000 == 0:
                owners = [random.randrange(node_count) for _ in range(endpoint_count)]
            for index, budget in enumerate(budgets):
                budget.update(
                    settled_count=owners.count(index), endpoint_count=endpoint_count, now_ms=now_ms
                )
                if budget.try_spend(now_ms):
                    spent_at_ms.append(now_ms)
        self.assertLessEqual(len(spent_at_ms), 60)
        self.assertGreaterEqual(len(spent_at_ms), 60 - node_count)
        for start_ms in range(0, 540_000, 5_000):
            burst = sum(1 for at_ms in spent_at_ms if start_ms <= at_ms < start_ms + 60_000)
            self.assertLessEqual(burst, per_minute + node_count)
