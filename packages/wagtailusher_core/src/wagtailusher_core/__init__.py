"""Shared identifiers, outcomes, errors and hashing.

The package does no I/O and reads no clock; the other packages depend on it.
"""

from __future__ import annotations

from wagtailusher_core.callback import callback
from wagtailusher_core.errors import ErrorCode, WagtailusherError
from wagtailusher_core.identifiers import (
    ClassId,
    ClassKey,
    EndpointId,
    FailureDomainId,
    Incarnation,
    PoolId,
    RequestId,
    VmId,
    WorkspaceId,
)
from wagtailusher_core.outcomes import Outcome
from wagtailusher_core.published import PublishedState, PublishedVm
from wagtailusher_core.rendezvous import first_by_rendezvous, rank_by_rendezvous
from wagtailusher_core.revision import Revision

__all__ = [
    "ClassId",
    "ClassKey",
    "EndpointId",
    "ErrorCode",
    "FailureDomainId",
    "Incarnation",
    "Outcome",
    "PoolId",
    "PublishedState",
    "PublishedVm",
    "RequestId",
    "Revision",
    "VmId",
    "WagtailusherError",
    "WorkspaceId",
    "callback",
    "first_by_rendezvous",
    "rank_by_rendezvous",
]
