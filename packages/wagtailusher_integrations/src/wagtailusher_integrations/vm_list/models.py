"""The platform's list of entry VMs and endpoints."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Annotated

from pydantic import BaseModel, ConfigDict, Field, StringConstraints, ValidationError

from wagtailusher_core import EndpointId, FailureDomainId, PoolId, PublishedState, PublishedVm, VmId
from wagtailusher_integrations.vm_list.const import (
    MAX_CONCURRENCY,
    MAX_ENDPOINTS,
    MAX_ENTRY_VMS,
)
from wagtailusher_integrations.vm_list.exceptions import VmListError
from wagtailusher_placement import EndpointInfo, EndpointKind, EndpointState

_Name = Annotated[str, StringConstraints(pattern=r"^[A-Za-z0-9][A-Za-z0-9._/:-]{0,126}$")]
_Address = Annotated[
    str,
    StringConstraints(
        pattern=r"^(?:[0-9]{1,3}(?:\.[0-9]{1,3}){3}|\[[0-9A-Fa-f:]{2,39}\]):[1-9][0-9]{0,4}$"
    ),
]
_Concurrency = Annotated[int, Field(ge=1, le=MAX_CONCURRENCY)]


class _ListModel(BaseModel):
    """Base of all parts of the list; unknown fields are ignored."""

    model_config = ConfigDict(strict=True, extra="ignore")


class EntryVmModel(_ListModel):
    """An entry VM as the platform lists it."""

    vm_id: _Name
    address: _Address
    peer_address: _Address
    failure_domain_id: _Name
    state: Annotated[PublishedState, Field(strict=False)] = PublishedState.LIVE

    def to_published_vm(self) -> PublishedVm:
        """Return the entry VM in the form that the deciders use."""
        return PublishedVm(
            vm_id=VmId(self.vm_id),
            address=self.address,
            peer_address=self.peer_address,
            failure_domain_id=FailureDomainId(self.failure_domain_id),
            state=self.state,
        )


class EndpointModel(_ListModel):
    """An endpoint as the platform lists it."""

    endpoint_id: _Name
    pool_ids: Annotated[list[_Name], Field(min_length=1)]
    failure_domain_id: _Name
    address: _Address
    state: Annotated[EndpointState, Field(strict=False)] = EndpointState.LIVE
    kind: Annotated[EndpointKind, Field(strict=False)] = EndpointKind.ENGINE
    concurrency_limit: _Concurrency = 32
    cold_limit: _Concurrency = 1
    checks_fencing: bool = False
    honours_priority: bool = False
    resumes_streams: bool = False

    def to_endpoint_info(self) -> EndpointInfo:
        """Return the endpoint in the form that placement uses."""
        return EndpointInfo(
            endpoint_id=EndpointId(self.endpoint_id),
            pool_ids=frozenset(map(PoolId, self.pool_ids)),
            failure_domain_id=FailureDomainId(self.failure_domain_id),
            address=self.address,
            state=self.state,
            kind=self.kind,
            concurrency_limit=self.concurrency_limit,
            cold_limit=min(self.cold_limit, self.concurrency_limit),
            checks_fencing=self.checks_fencing,
            honours_priority=self.honours_priority,
            resumes_streams=self.resumes_streams,
        )


class VmListModel(_ListModel):
    """The complete list; it has at least one entry VM, since an entry VM reads it."""

    version: Annotated[int, Field(ge=0)]
    entry_vms: Annotated[list[EntryVmModel], Field(min_length=1, max_length=MAX_ENTRY_VMS)]
    endpoints: Annotated[list[EndpointModel], Field(max_length=MAX_ENDPOINTS)] = []


@dataclass(frozen=True, slots=True, kw_only=True)
class VmList:
    """A validated list."""

    version: int
    entry_vms: tuple[PublishedVm, ...]
    endpoints: tuple[EndpointInfo, ...]


def parse_vm_list(content: bytes) -> VmList:
    """Return the list in a value; raise VmListError if it is not valid."""
    try:
        model = VmListModel.model_validate_json(content)
    except ValidationError as error:
        first = error.errors(include_url=False, include_input=False)[0]
        key = ".".join(map(str, first["loc"])) or "(list)"
        raise VmListError(f"{key}: {first['msg']}, {error.error_count()} faults") from error
    _refuse_duplicates("vm_id", (vm.vm_id for vm in model.entry_vms))
    _refuse_duplicates("endpoint_id", (item.endpoint_id for item in model.endpoints))
    return VmList(
        version=model.version,
        entry_vms=tuple(vm.to_published_vm() for vm in model.entry_vms),
        endpoints=tuple(item.to_endpoint_info() for item in model.endpoints),
    )


def _refuse_duplicates(key: str, names: Iterable[str]) -> None:
    """Raise VmListError if a name is listed more than once."""
    for name, count in Counter(names).items():
        if count > 1:
            raise VmListError(f"{key}: {name} is listed {count} times")
