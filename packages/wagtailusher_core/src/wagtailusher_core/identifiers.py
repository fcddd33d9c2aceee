"""Identifier types shared by all packages."""

from __future__ import annotations

from typing import NamedTuple, NewType

VmId = NewType("VmId", str)
EndpointId = NewType("EndpointId", str)
FailureDomainId = NewType("FailureDomainId", str)
WorkspaceId = NewType("WorkspaceId", str)
ClassId = NewType("ClassId", str)
PoolId = NewType("PoolId", str)
"""Names a set of interchangeable endpoints, which serve one model or one plain service."""
RequestId = NewType("RequestId", str)
Incarnation = NewType("Incarnation", int)
"""Start time of a VM's process in ms since the Unix epoch; increases with each start."""


class ClassKey(NamedTuple):
    """Key of a class of requests within one workspace."""

    workspace_id: WorkspaceId
    class_id: ClassId
