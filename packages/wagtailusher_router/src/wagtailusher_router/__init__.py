"""The decider of one entry VM, composed of the other deciders, without I/O."""

from __future__ import annotations

from wagtailusher_router.actions import (
    Action,
    Cancel,
    Dispatch,
    Forward,
    ForwardReason,
    HandoverCandidate,
    PeerAction,
    Refuse,
    ReplayAnswer,
    RequestAction,
    SendLeaseGrant,
    SendLeaseRecall,
    SendLeaseRequest,
)
from wagtailusher_router.classified_request import ClassifiedRequest
from wagtailusher_router.components import QuotaShare, RouterComponents, unpartitioned_quota
from wagtailusher_router.decider import RouterDecider
from wagtailusher_router.endpoint_subset import select_endpoint_subset
from wagtailusher_router.errors import RouterError, UnknownRequestIdError
from wagtailusher_router.load_summary import ClassLoad, PoolLoad

__all__ = [
    "Action",
    "Cancel",
    "ClassLoad",
    "ClassifiedRequest",
    "Dispatch",
    "Forward",
    "ForwardReason",
    "HandoverCandidate",
    "PeerAction",
    "PoolLoad",
    "QuotaShare",
    "Refuse",
    "ReplayAnswer",
    "RequestAction",
    "RouterComponents",
    "RouterDecider",
    "RouterError",
    "SendLeaseGrant",
    "SendLeaseRecall",
    "SendLeaseRequest",
    "UnknownRequestIdError",
    "select_endpoint_subset",
    "unpartitioned_quota",
]
