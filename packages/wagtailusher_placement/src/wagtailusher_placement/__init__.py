"""Endpoint choice, stewards, leases, cold starts and outlier ejection, without I/O."""

from __future__ import annotations

from wagtailusher_placement.apportion import apportion
from wagtailusher_placement.baseline_policies import (
    Chooser,
    choose_least_in_flight,
    choose_least_reported,
    choose_random,
    choose_round_robin,
)
from wagtailusher_placement.const import ANY_INCARNATION
from wagtailusher_placement.decider import PlacementDecider
from wagtailusher_placement.endpoints import (
    AttemptResult,
    CandidateScore,
    Choice,
    EndpointInfo,
    EndpointKind,
    EndpointState,
    EndpointView,
    PlacementRequest,
)
from wagtailusher_placement.leases import LeaseGrant, LeaseLimits, LeaseRecall, LeaseRequest
from wagtailusher_placement.lengths import LengthEstimator
from wagtailusher_placement.orders import (
    FencingNumber,
    Order,
    OrderDecider,
    OrderError,
    OrderKind,
    OrderRequest,
    WeightStoreBudget,
)
from wagtailusher_placement.prefix import PrefixIndex
from wagtailusher_placement.reports import CacheEvent, LoadReport
from wagtailusher_placement.retries import HedgePolicy, RetryBudget
from wagtailusher_placement.scoring import choose_by_score
from wagtailusher_placement.steward import StewardDecider
from wagtailusher_placement.steward_table import StewardTable, find_steward, steward_epoch

__all__ = [
    "ANY_INCARNATION",
    "AttemptResult",
    "CacheEvent",
    "CandidateScore",
    "Choice",
    "Chooser",
    "EndpointInfo",
    "EndpointKind",
    "EndpointState",
    "EndpointView",
    "FencingNumber",
    "HedgePolicy",
    "LeaseGrant",
    "LeaseLimits",
    "LeaseRecall",
    "LeaseRequest",
    "LengthEstimator",
    "LoadReport",
    "Order",
    "OrderDecider",
    "OrderError",
    "OrderKind",
    "OrderRequest",
    "PlacementDecider",
    "PlacementRequest",
    "PrefixIndex",
    "RetryBudget",
    "StewardDecider",
    "StewardTable",
    "WeightStoreBudget",
    "apportion",
    "choose_by_score",
    "choose_least_in_flight",
    "choose_least_reported",
    "choose_random",
    "choose_round_robin",
    "find_steward",
    "steward_epoch",
]
