"""The users' traffic and machines: classes, pools and workspaces at today's sizes."""

from __future__ import annotations

from dataclasses import dataclass
from math import log
from random import Random

from wagtailusher_bench.decisions.const import PATIENCE_FACTOR
from wagtailusher_bench.fakes import EngineTraits
from wagtailusher_core import ClassId, ClassKey, PoolId, WorkspaceId
from wagtailusher_placement import EndpointKind
from wagtailusher_settings.policy import ClassPolicy, DeadlineBehaviour


@dataclass(frozen=True, slots=True, kw_only=True)
class Size:
    """A log-normal size by its mean and the deviation of its logarithm."""

    mean: float
    sigma: float = 0.5

    def draw(self, generator: Random) -> float:
        """Return a size."""
        return generator.lognormvariate(log(self.mean) - self.sigma**2 / 2, self.sigma)


NO_SIZE = Size(mean=0.0)


@dataclass(frozen=True, slots=True, kw_only=True)
class ClassTraffic:
    """One class of requests; `load_share` is its part of its pool's load."""

    class_id: str
    pool_id: PoolId
    tier: int
    load_share: float
    answer_target_ms: int
    first_token_target_ms: int = 0
    between_tokens_target_ms: int = 0
    is_repeatable: bool = True
    serves_late: bool = False
    share: float = 0.02
    prompt: Size = NO_SIZE
    output: Size = NO_SIZE
    service: Size = NO_SIZE
    templates: int = 4
    shared_prefix: float = 0.5

    @property
    def is_stream(self) -> bool:
        """Return whether answers are streams of tokens."""
        return self.output.mean > 0

    @property
    def patience_ms(self) -> float | None:
        """Return how long a caller waits for the beginning of an answer, None for good."""
        if self.serves_late:
            return None
        target_ms = self.first_token_target_ms if self.is_stream else self.answer_target_ms
        return float(PATIENCE_FACTOR * target_ms)

    def policy(self, workspace_id: WorkspaceId) -> ClassPolicy:
        """Return the class's settings in a workspace."""
        late = DeadlineBehaviour.SERVE_LATE
        return ClassPolicy(
            key=ClassKey(workspace_id, ClassId(self.class_id)),
            route_id=self.class_id,
            tier=self.tier,
            pool_ids=(self.pool_id,),
            first_token_target_ms=self.first_token_target_ms,
            between_tokens_target_ms=self.between_tokens_target_ms,
            answer_target_ms=self.answer_target_ms,
            deadline_behaviour=late if self.serves_late else DeadlineBehaviour.FAIL_FAST,
            repeatable=self.is_repeatable,
            queue_limit=256,
            in_flight_quota=None,
            share=self.share,
            weight=1.0,
            max_attempts=3,
        )


@dataclass(frozen=True, slots=True, kw_only=True)
class PoolMachines:
    """The endpoints of one pool."""

    pool_id: PoolId
    kind: EndpointKind
    count: int
    traits: EngineTraits


@dataclass(frozen=True, slots=True, kw_only=True)
class Mix:
    """One user's machines and traffic."""

    name: str
    domain_count: int
    node_count: int
    workspace_count: int
    pools: tuple[PoolMachines, ...]
    classes: tuple[ClassTraffic, ...]

    def machines(self, pool_id: PoolId) -> PoolMachines:
        """Return the endpoints of a pool."""
        return next(pool for pool in self.pools if pool.pool_id == pool_id)

    def rate_per_ms(self, traffic: ClassTraffic, load: float) -> float:
        """Return a class's arrivals at a multiple of its pool's capacity."""
        machines = self.machines(traffic.pool_id)
        work_ms = machines.traits.work_ms(
            int(traffic.prompt.mean), int(traffic.output.mean), traffic.service.mean
        )
        capacity = machines.count * machines.traits.capacity
        return load * capacity * traffic.load_share / work_ms


MODEL = PoolId("model")
SERVICE = PoolId("service")
SERVICE_KNEE = 1e9
ENGINE_TRAITS = EngineTraits(
    concurrency_limit=12,
    batch_limit=16,
    knee=8.0,
    prefill_ms_per_token=0.1,
    token_ms=18.0,
    cache_blocks=2_000,
)
SERVICE_TRAITS = EngineTraits(
    concurrency_limit=4, batch_limit=4, knee=SERVICE_KNEE, cold_limit=1, collapse_limit=3
)

TREENINGKODA = Mix(
    name="treeningkoda",
    domain_count=4,
    node_count=8,
    workspace_count=10,
    pools=(
        PoolMachines(pool_id=MODEL, kind=EndpointKind.ENGINE, count=10, traits=ENGINE_TRAITS),
        PoolMachines(pool_id=SERVICE, kind=EndpointKind.SERVICE, count=4, traits=SERVICE_TRAITS),
    ),
    classes=(
        ClassTraffic(
            class_id="booking",
            pool_id=SERVICE,
            tier=0,
            load_share=0.3,
            answer_target_ms=1_500,
            is_repeatable=False,
            service=Size(mean=250, sigma=0.3),
        ),
        ClassTraffic(
            class_id="stock",
            pool_id=SERVICE,
            tier=5,
            load_share=0.7,
            answer_target_ms=2_000,
            service=Size(mean=150, sigma=0.3),
        ),
        ClassTraffic(
            class_id="contract",
            pool_id=MODEL,
            tier=1,
            load_share=0.3,
            answer_target_ms=30_000,
            first_token_target_ms=1_500,
            between_tokens_target_ms=49,
            prompt=Size(mean=1_500),
            output=Size(mean=100),
        ),
        ClassTraffic(
            class_id="advice",
            pool_id=MODEL,
            tier=3,
            load_share=0.7,
            answer_target_ms=20_000,
            first_token_target_ms=1_100,
            between_tokens_target_ms=49,
            prompt=Size(mean=400),
            output=Size(mean=70),
        ),
    ),
)

ZIEMELU = Mix(
    name="ziemelu",
    domain_count=3,
    node_count=6,
    workspace_count=10,
    pools=(
        PoolMachines(pool_id=MODEL, kind=EndpointKind.ENGINE, count=10, traits=ENGINE_TRAITS),
        PoolMachines(pool_id=SERVICE, kind=EndpointKind.SERVICE, count=3, traits=SERVICE_TRAITS),
    ),
    classes=(
        ClassTraffic(
            class_id="visit",
            pool_id=SERVICE,
            tier=0,
            load_share=0.3,
            answer_target_ms=1_500,
            is_repeatable=False,
            service=Size(mean=250, sigma=0.3),
        ),
        ClassTraffic(
            class_id="spares",
            pool_id=SERVICE,
            tier=5,
            load_share=0.7,
            answer_target_ms=2_000,
            service=Size(mean=150, sigma=0.3),
        ),
        ClassTraffic(
            class_id="review",
            pool_id=MODEL,
            tier=2,
            load_share=0.6,
            answer_target_ms=40_000,
            first_token_target_ms=8_000,
            serves_late=True,
            prompt=Size(mean=6_000, sigma=0.4),
            output=Size(mean=200),
            templates=20,
            shared_prefix=0.8,
        ),
        ClassTraffic(
            class_id="question",
            pool_id=MODEL,
            tier=1,
            load_share=0.4,
            answer_target_ms=15_000,
            first_token_target_ms=1_100,
            between_tokens_target_ms=49,
            prompt=Size(mean=300),
            output=Size(mean=60),
        ),
    ),
)

MIXES = (TREENINGKODA, ZIEMELU)
MIX_NAMES = tuple(mix.name for mix in MIXES)
