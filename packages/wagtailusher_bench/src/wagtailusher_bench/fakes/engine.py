"""A fake endpoint: continuous batching, prefix cache, cold start, crashes and slowness."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from heapq import heappop, heappush

from wagtailusher_bench.fakes.clock import VirtualClock
from wagtailusher_bench.fakes.job import Job, JobEnd
from wagtailusher_bench.fakes.prefix_cache import PrefixCache
from wagtailusher_bench.fakes.sharing import SharedProcessor

PROGRESS_TOKENS = 16


@dataclass(frozen=True, slots=True, kw_only=True)
class EngineTraits:
    """How an endpoint behaves; its work is measured as the time that a job takes alone."""

    concurrency_limit: int
    batch_limit: int
    knee: float
    prefill_ms_per_token: float = 0.0
    token_ms: float = 0.0
    cache_blocks: int = 0
    cold_limit: int = 2
    collapse_limit: int = 6
    cold_factor: float = 0.3
    warm_up_ms: float = 8_000.0
    warm_up_jobs: int = 4
    restart_ms: float = 5_000.0

    @property
    def capacity(self) -> float:
        """Return the work that is done in each unit of time at the concurrency limit."""
        limit = self.concurrency_limit
        return limit / (1.0 + limit / self.knee)

    def work_ms(self, prompt_tokens: int, output_tokens: int, service_work_ms: float) -> float:
        """Return the work of a job without cached blocks."""
        prefill_ms = prompt_tokens * self.prefill_ms_per_token
        return service_work_ms + prefill_ms + output_tokens * self.token_ms


class FakeEngine:
    """Serves jobs in batches; while cold it bears little, and collapses under more."""

    def __init__(self, name: str, traits: EngineTraits, clock: VirtualClock) -> None:
        """Start warm and idle."""
        self.name = name
        self.traits = traits
        self.incarnation = 1
        self.is_up = True
        self.is_cold = False
        self.reports_cold = False
        self.crash_count = 0
        self.cold_excess = 0
        self.useful_work_ms = 0.0
        self.wasted_work_ms = 0.0
        self.on_cache: Callable[[tuple[int, ...], tuple[int, ...], bool], None] | None = None
        self._clock = clock
        self._cache = PrefixCache(traits.cache_blocks)
        self._processor = SharedProcessor(clock, knee=traits.knee)
        self._jobs: dict[str, Job] = {}
        self._waiting: list[tuple[int, int, str]] = []
        self._arrivals = 0
        self._slowness = 1.0
        self._cold_since_ms = 0.0
        self._jobs_since_cold = 0
        self._sent_before_cold: set[str] = set()

    @property
    def running(self) -> int:
        """Return the number of jobs in the batch."""
        return self._processor.task_count

    @property
    def waiting(self) -> int:
        """Return the number of jobs that wait for the batch."""
        return len(self._jobs) - self.running

    @property
    def kv_used_share(self) -> float:
        """Return the part of the batch that is taken."""
        return min(1.0, self.running / self.traits.batch_limit)

    def submit(self, job: Job) -> None:
        """Take a job in, unless the endpoint is down."""
        if not self.is_up:
            job.on_end(JobEnd.REFUSED)
            return
        self._jobs[job.job_id] = job
        self._arrivals += 1
        heappush(self._waiting, (job.priority, self._arrivals, job.job_id))
        if self.is_cold and self._is_overloaded(job):
            self.crash()
            return
        self._fill_batch()

    def cancel(self, job_id: str) -> None:
        """Drop a job whose caller left."""
        job = self._jobs.get(job_id)
        if job is not None:
            self._end(job, JobEnd.CANCELLED)

    def crash(self) -> None:
        """Lose everything and come back cold."""
        self.is_up = False
        self.crash_count += 1
        self.incarnation += 1
        for job in tuple(self._jobs.values()):
            self._end(job, JobEnd.CRASHED, refill=False)
        self._waiting.clear()
        self._cache.clear()
        if self.on_cache is not None:
            self.on_cache((), (), True)
        self._clock.call_later(self.traits.restart_ms, self._come_back)

    def begin_cold_start(self, *, reports_cold: bool) -> None:
        """Turn cold with the jobs at hand; those sent before don't count as excess."""
        self.is_cold = True
        self.reports_cold = reports_cold
        self._cold_since_ms = self._clock.time_ms
        self._jobs_since_cold = 0
        self._sent_before_cold = set(self._jobs)
        self._apply_speed()

    def set_slowness(self, slowness: float) -> None:
        """Make every job take so many times as long."""
        self._slowness = slowness
        self._apply_speed()

    def _come_back(self) -> None:
        self.is_up = True
        self.begin_cold_start(reports_cold=True)

    def _apply_speed(self) -> None:
        factor = self.traits.cold_factor if self.is_cold else 1.0
        self._processor.set_factor(factor / self._slowness)

    def _is_overloaded(self, job: Job) -> bool:
        """Count a job that a cold endpoint can't bear; return whether it brings it down."""
        if job.sent_ms < self._cold_since_ms:
            self._sent_before_cold.add(job.job_id)
            return False
        new_jobs = len(self._jobs) - len(self._sent_before_cold)
        if len(self._jobs) > self.traits.cold_limit:
            self.cold_excess += 1
        return new_jobs > self.traits.collapse_limit

    def _fill_batch(self) -> None:
        """Start waiting jobs while the batch has room."""
        while self._waiting and self.running < self.traits.batch_limit:
            _, _, job_id = heappop(self._waiting)
            job = self._jobs.get(job_id)
            if job is not None:
                self._begin(job)

    def _begin(self, job: Job) -> None:
        uncached = 1.0 - self._cache.cached_share(job.prefix_hashes)
        prefill_ms = job.prompt_tokens * uncached * self.traits.prefill_ms_per_token
        first_ms = (
            job.service_work_ms + prefill_ms + min(1, job.output_tokens) * (self.traits.token_ms)
        )
        produced = 0

        def step() -> float | None:
            nonlocal produced
            if job.crashes_endpoint:
                self.crash()
                return None
            if produced == 0:
                self._prefilled(job)
            gained = min(PROGRESS_TOKENS, job.output_tokens - produced) if produced else 1
            produced += gained
            job.on_progress(gained)
            if job.job_id not in self._jobs:
                return None
            if produced >= job.output_tokens:
                self._end(job, JobEnd.COMPLETED)
                return None
            return min(PROGRESS_TOKENS, job.output_tokens - produced) * self.traits.token_ms

        self._processor.add(job.job_id, first_ms, step)

    def _prefilled(self, job: Job) -> None:
        """Note a first token: the prompt's blocks are cached, and the endpoint warms up."""
        if job.prefix_hashes:
            stored, removed = self._cache.store(job.prefix_hashes)
            if self.on_cache is not None and (stored or removed):
                self.on_cache(stored, removed, False)
        if not self.is_cold:
            return
        self._jobs_since_cold += 1
        warm_up_over = self._clock.time_ms - self._cold_since_ms >= self.traits.warm_up_ms
        if warm_up_over and self._jobs_since_cold >= self.traits.warm_up_jobs:
            self.is_cold = False
            self.reports_cold = False
            self._sent_before_cold.clear()
            self._apply_speed()

    def _end(self, job: Job, end: JobEnd, *, refill: bool = True) -> None:
        """Take a job out and tell its sender."""
        del self._jobs[job.job_id]
        self._sent_before_cold.discard(job.job_id)
        work_ms = self._processor.remove(job.job_id)
        if end is JobEnd.COMPLETED:
            self.useful_work_ms += work_ms
        else:
            self.wasted_work_ms += work_ms
        job.on_end(end)
        if refill:
            self._fill_batch()
