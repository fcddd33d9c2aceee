"""Typed identifiers of the things that the system deals with."""

from __future__ import annotations

from typing import NamedTuple, NewType

VmId = NewType("VmId", str)
EndpointId = NewType("EndpointId", str)
FailureDomainId = NewType("FailureDomainId", str)
WorkspaceId = NewType("WorkspaceId", str)
ClassId = NewType("ClassId", str)
PoolId = NewType("PoolId", str)
"""A set of interchangeable endpoints: one model's, or one plain service's."""
RequestId = NewType("RequestId", str)
Incarnation = NewType("Incarnation", int)
"""Grows with each start of a VM's process; milliseconds since the epoch at its start."""


class ClassKey(NamedTuple):
    """A class of requests within one workspace."""

    workspace_id: WorkspaceId
    class_id: ClassId
