"""The decider of one entry VM, composed of the other deciders, without sockets."""

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
from wagtailusher_router.decider import QuotaShare, RouterComponents, RouterDecider, whole_quota
from wagtailusher_router.errors import RouterError, UnknownRequestIdError
from wagtailusher_router.load_summary import ClassLoad, PoolLoad
from wagtailusher_router.visibility import visible_endpoints

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
    "visible_endpoints",
    "whole_quota",
]
