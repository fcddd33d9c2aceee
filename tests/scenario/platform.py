"""Fakes of what the platform publishes: endpoints, VMs and configurations."""

from __future__ import annotations

from collections.abc import Callable, Iterable
import json

from tests.scenario.steps import EndpointSpec
from wagtailusher_bench.fakes import EngineTraits, FakeEngine, VirtualClock
from wagtailusher_core import (
    EndpointId,
    FailureDomainId,
    Incarnation,
    PoolId,
    PublishedVm,
    Revision,
    VmId,
)
from wagtailusher_placement import EndpointInfo, EndpointKind, EndpointState, LoadReport

UNLIMITED_KNEE = 1e9
WARM_UP_MS = 3_000
WARM_UP_JOBS = 2
RESTART_MS = 4_000
READ_DELAY_MS = 5.0
WATCH_TIMEOUT_MS = 2_000.0

ReadCallback = Callable[[Revision | None, bytes], None]


class Endpoint:
    """A fake endpoint with its published description."""

    def __init__(self, spec: EndpointSpec, clock: VirtualClock) -> None:
        """Start the fake engine, warm or cold as specified."""
        self.spec = spec
        self.state = EndpointState.LIVE
        self.engine = FakeEngine(
            spec.name,
            EngineTraits(
                concurrency_limit=spec.limit,
                batch_limit=2 * spec.limit,
                knee=UNLIMITED_KNEE,
                token_ms=spec.token_ms,
                cold_limit=spec.cold_limit,
                collapse_limit=2 * spec.cold_limit,
                warm_up_ms=WARM_UP_MS,
                warm_up_jobs=WARM_UP_JOBS,
                restart_ms=RESTART_MS,
            ),
            clock,
        )
        if spec.starts_cold:
            self.engine.begin_cold_start(reports_cold=True)

    @property
    def info(self) -> EndpointInfo:
        """Return the endpoint's published description."""
        spec = self.spec
        return EndpointInfo(
            endpoint_id=EndpointId(spec.name),
            pool_ids=frozenset({PoolId(spec.pool)}),
            failure_domain_id=FailureDomainId(spec.domain),
            address=f"{spec.name}:1",
            state=self.state,
            kind=EndpointKind.ENGINE if spec.token_ms else EndpointKind.SERVICE,
            concurrency_limit=spec.limit,
            cold_limit=spec.cold_limit,
            honours_priority=bool(spec.token_ms),
        )

    def report(self, now_ms: int) -> LoadReport:
        """Return the endpoint's load report."""
        engine = self.engine
        return LoadReport(
            endpoint_id=EndpointId(self.spec.name),
            reported_at_ms=now_ms,
            running=engine.running,
            waiting=engine.waiting,
            kv_used_share=engine.kv_used_share,
            cold=engine.reports_cold,
            incarnation=Incarnation(engine.incarnation),
        )


def encode_configuration(drained: Iterable[str]) -> bytes:
    """Return the content of a configuration that drains failure domains."""
    return json.dumps({"drained": sorted(drained)}).encode()


def decode_configuration(content: bytes) -> frozenset[FailureDomainId]:
    """Return the failure domains that a configuration drains."""
    return frozenset(FailureDomainId(name) for name in json.loads(content)["drained"])


def validate_configuration(revision: Revision, content: bytes) -> str | None:
    """Return why a configuration is invalid, or None."""
    try:
        decode_configuration(content)
    except (ValueError, KeyError, TypeError) as err:
        return f"not a configuration: {err}"
    return None


class ConfigurationService:
    """A fake configuration service whose `state` is up, stale or down."""

    def __init__(self, clock: VirtualClock) -> None:
        """Start with a configuration that drains nothing."""
        self._clock = clock
        self._history = [encode_configuration(())]
        self._watches: dict[int, ReadCallback] = {}
        self._watch_count = 0
        self.state = "up"

    def publish(self, content: bytes) -> Revision:
        """Publish a new configuration and answer the pending watches if the service is up."""
        self._history.append(content)
        if self.state == "up":
            watches, self._watches = self._watches, {}
            for on_result in watches.values():
                self._reply(on_result)
        return Revision(number=len(self._history))

    def read(
        self, since: Revision, on_result: ReadCallback, on_failure: Callable[[], None]
    ) -> None:
        """Answer at once if another revision than `since` is served, or watch for one."""
        if self.state == "down":
            self._clock.call_later(READ_DELAY_MS, on_failure)
        elif since != self._served_content()[0]:
            self._reply(on_result)
        else:
            self._watch(on_result)

    def _served_content(self) -> tuple[Revision, bytes]:
        """Return what is served; a stale service serves the first configuration."""
        number = 1 if self.state == "stale" else len(self._history)
        return Revision(number=number), self._history[number - 1]

    def _reply(self, on_result: ReadCallback) -> None:
        """Answer with the served content after the read delay."""
        revision, content = self._served_content()
        self._clock.call_later(READ_DELAY_MS, lambda: on_result(revision, content))

    def _watch(self, on_result: ReadCallback) -> None:
        """Hold a watch, which ends without content after a timeout."""
        self._watch_count += 1
        number = self._watch_count
        self._watches[number] = on_result

        def end_watch() -> None:
            if self._watches.pop(number, None) is not None:
                on_result(None, b"")

        self._clock.call_later(WATCH_TIMEOUT_MS, end_watch)


def publish_vm(vm_id: VmId, domain: str) -> PublishedVm:
    """Return a VM's entry in the platform's list."""
    return PublishedVm(
        vm_id=vm_id,
        address=f"{vm_id}:1",
        peer_address=vm_id,
        failure_domain_id=FailureDomainId(domain),
    )
