"""The decider of one entry VM, composed of the other deciders, without sockets."""

from __future__ import annotations

from wagtailusher_router.actions import (
    Action,
    Cancel,
    Dispatch,
    Forward,
    ForwardReason,
    PeerAction,
    Refuse,
    ReplayAnswer,
    RequestAction,
    SendLeaseGrant,
    SendLeaseRecall,
    SendLeaseRequest,
    Stranded,
)
from wagtailusher_router.decider import QuotaShare, RouterDecider, RouterParts, whole_quota
from wagtailusher_router.errors import RouterError, UnknownFlightError
from wagtailusher_router.events import Arrival
from wagtailusher_router.load_summary import ClassLoad, PoolLoad
from wagtailusher_router.visibility import visible_endpoints

__all__ = [
    "Action",
    "Arrival",
    "Cancel",
    "ClassLoad",
    "Dispatch",
    "Forward",
    "ForwardReason",
    "PeerAction",
    "PoolLoad",
    "QuotaShare",
    "Refuse",
    "ReplayAnswer",
    "RequestAction",
    "RouterDecider",
    "RouterError",
    "RouterParts",
    "SendLeaseGrant",
    "SendLeaseRecall",
    "SendLeaseRequest",
    "Stranded",
    "UnknownFlightError",
    "visible_endpoints",
    "whole_quota",
]
