"""Traffic mixes of two fleets at their present size: classes, pools and workspaces."""

from __future__ import annotations

from dataclasses import dataclass
from math import log
from random import Random

from wagtailusher_bench.decisions.const import CALLER_TIMEOUT_FACTOR
from wagtailusher_bench.fakes import EngineTraits
from wagtailusher_core import ClassId, ClassKey, PoolId, WorkspaceId
from wagtailusher_placement import EndpointKind
from wagtailusher_settings.policy import ClassPolicy, DeadlineBehaviour


@dataclass(frozen=True, slots=True, kw_only=True)
class SizeDistribution:
    """A log-normal distribution given by its mean and the standard deviation of its logarithm."""

    mean: float
    sigma: float = 0.5

    def sample(self, rng: Random) -> float:
        """Return a random size."""
        return rng.lognormvariate(log(self.mean) - self.sigma**2 / 2, self.sigma)


ZERO_SIZE = SizeDistribution(mean=0.0)


@dataclass(frozen=True, slots=True, kw_only=True)
class ClassTraffic:
    """One class of requests; `load_share` is its fraction of its pool's load."""

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
    prompt: SizeDistribution = ZERO_SIZE
    output: SizeDistribution = ZERO_SIZE
    service: SizeDistribution = ZERO_SIZE
    templates: int = 4
    shared_prefix: float = 0.5

    @property
    def is_stream(self) -> bool:
        """Return whether answers are streams of tokens."""
        return self.output.mean > 0

    @property
    def caller_timeout_ms(self) -> float | None:
        """Return how long a caller waits for the start of an answer, None for no limit."""
        if self.serves_late:
            return None
        target_ms = self.first_token_target_ms if self.is_stream else self.answer_target_ms
        return float(CALLER_TIMEOUT_FACTOR * target_ms)

    def policy(self, workspace_id: WorkspaceId) -> ClassPolicy:
        """Return the class policy in a workspace."""
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
class PoolSpec:
    """Kind, number and traits of a pool's endpoints."""

    pool_id: PoolId
    kind: EndpointKind
    count: int
    traits: EngineTraits


@dataclass(frozen=True, slots=True, kw_only=True)
class Mix:
    """Pools, nodes and traffic classes of one fleet."""

    name: str
    domain_count: int
    node_count: int
    workspace_count: int
    pools: tuple[PoolSpec, ...]
    classes: tuple[ClassTraffic, ...]

    def pool_spec(self, pool_id: PoolId) -> PoolSpec:
        """Return the spec of the pool with the given id."""
        return next(pool for pool in self.pools if pool.pool_id == pool_id)

    def rate_per_ms(self, traffic: ClassTraffic, load: float) -> float:
        """Return a class's arrivals per ms at a load given as a multiple of its pool's capacity."""
        pool_spec = self.pool_spec(traffic.pool_id)
        work_ms = pool_spec.traits.work_ms(
            int(traffic.prompt.mean), int(traffic.output.mean), traffic.service.mean
        )
        capacity = pool_spec.count * pool_spec.traits.capacity
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
        PoolSpec(pool_id=MODEL, kind=EndpointKind.ENGINE, count=10, traits=ENGINE_TRAITS),
        PoolSpec(pool_id=SERVICE, kind=EndpointKind.SERVICE, count=4, traits=SERVICE_TRAITS),
    ),
    classes=(
        ClassTraffic(
            class_id="booking",
            pool_id=SERVICE,
            tier=0,
            load_share=0.3,
            answer_target_ms=1_500,
            is_repeatable=False,
            service=SizeDistribution(mean=250, sigma=0.3),
        ),
        ClassTraffic(
            class_id="stock",
            pool_id=SERVICE,
            tier=5,
            load_share=0.7,
            answer_target_ms=2_000,
            service=SizeDistribution(mean=150, sigma=0.3),
        ),
        ClassTraffic(
            class_id="contract",
            pool_id=MODEL,
            tier=1,
            load_share=0.3,
            answer_target_ms=30_000,
            first_token_target_ms=1_500,
            between_tokens_target_ms=49,
            prompt=SizeDistribution(mean=1_500),
            output=SizeDistribution(mean=100),
        ),
        ClassTraffic(
            class_id="advice",
            pool_id=MODEL,
            tier=3,
            load_share=0.7,
            answer_target_ms=20_000,
            first_token_target_ms=1_100,
            between_tokens_target_ms=49,
            prompt=SizeDistribution(mean=400),
            output=SizeDistribution(mean=70),
        ),
    ),
)

ZIEMELU = Mix(
    name="ziemelu",
    domain_count=3,
    node_count=6,
    workspace_count=10,
    pools=(
        PoolSpec(pool_id=MODEL, kind=EndpointKind.ENGINE, count=10, traits=ENGINE_TRAITS),
        PoolSpec(pool_id=SERVICE, kind=EndpointKind.SERVICE, count=3, traits=SERVICE_TRAITS),
    ),
    classes=(
        ClassTraffic(
            class_id="visit",
            pool_id=SERVICE,
            tier=0,
            load_share=0.3,
            answer_target_ms=1_500,
            is_repeatable=False,
            service=SizeDistribution(mean=250, sigma=0.3),
        ),
        ClassTraffic(
            class_id="spares",
            pool_id=SERVICE,
            tier=5,
            load_share=0.7,
            answer_target_ms=2_000,
            service=SizeDistribution(mean=150, sigma=0.3),
        ),
        ClassTraffic(
            class_id="review",
            pool_id=MODEL,
            tier=2,
            load_share=0.6,
            answer_target_ms=40_000,
            first_token_target_ms=8_000,
            serves_late=True,
            prompt=SizeDistribution(mean=6_000, sigma=0.4),
            output=SizeDistribution(mean=200),
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
            prompt=SizeDistribution(mean=300),
            output=SizeDistribution(mean=60),
        ),
    ),
)

MIXES = (TREENINGKODA, ZIEMELU)
MIX_NAMES = tuple(mix.name for mix in MIXES)
