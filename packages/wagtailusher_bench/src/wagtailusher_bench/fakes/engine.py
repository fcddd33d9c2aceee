"""A fake endpoint: continuous batching, prefix cache, cold start, crashes and slowness."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from heapq import heappop, heappush

from wagtailusher_bench.fakes.clock import VirtualClock
from wagtailusher_bench.fakes.job import Job, JobEnd
from wagtailusher_bench.fakes.prefix_cache import PrefixCache
from wagtailusher_bench.fakes.shared_processor import SharedProcessor

PROGRESS_TOKENS = 16


@dataclass(frozen=True, slots=True, kw_only=True)
class EngineTraits:
    """Parameters of an endpoint; a job's work is the time in ms that it takes alone.

    `knee` is the number of jobs at which each runs at half its speed alone. A cold endpoint runs
    at `cold_factor` of its speed and crashes under more than `collapse_limit` new jobs.
    """

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
        """Return the work done per unit of time at the concurrency limit."""
        limit = self.concurrency_limit
        return limit / (1.0 + limit / self.knee)

    def work_ms(self, prompt_tokens: int, output_tokens: int, service_work_ms: float) -> float:
        """Return the work of a job in ms without cached blocks."""
        prefill_ms = prompt_tokens * self.prefill_ms_per_token
        return service_work_ms + prefill_ms + output_tokens * self.token_ms


class FakeEngine:
    """Serves jobs in batches; while cold it is slow and crashes under overload."""

    def __init__(self, name: str, traits: EngineTraits, clock: VirtualClock) -> None:
        """Create an engine that is warm and idle."""
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
        self._submit_count = 0
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
        """Return the number of jobs that wait for a slot in the batch."""
        return len(self._jobs) - self.running

    @property
    def kv_used_share(self) -> float:
        """Return the fraction of the batch in use."""
        return min(1.0, self.running / self.traits.batch_limit)

    def submit(self, job: Job) -> None:
        """Queue or start a job; it is refused while the endpoint is down."""
        if not self.is_up:
            job.on_end(JobEnd.REFUSED)
            return
        self._jobs[job.job_id] = job
        self._submit_count += 1
        heappush(self._waiting, (job.priority, self._submit_count, job.job_id))
        if self.is_cold and self._check_cold_overload(job):
            self.crash()
            return
        self._fill_batch()

    def cancel(self, job_id: str) -> None:
        """Cancel a job; an unknown id is ignored."""
        job = self._jobs.get(job_id)
        if job is not None:
            self._end_job(job, JobEnd.CANCELLED)

    def crash(self) -> None:
        """End all jobs as crashed, clear the cache, and restart cold after `restart_ms`."""
        self.is_up = False
        self.crash_count += 1
        self.incarnation += 1
        for job in tuple(self._jobs.values()):
            self._end_job(job, JobEnd.CRASHED, refill=False)
        self._waiting.clear()
        self._cache.clear()
        if self.on_cache is not None:
            self.on_cache((), (), True)
        self._clock.call_later(self.traits.restart_ms, self._restart)

    def begin_cold_start(self, *, reports_cold: bool) -> None:
        """Begin a cold start with jobs in flight; those sent before it don't count as excess."""
        self.is_cold = True
        self.reports_cold = reports_cold
        self._cold_since_ms = self._clock.time_ms
        self._jobs_since_cold = 0
        self._sent_before_cold = set(self._jobs)
        self._update_speed()

    def set_slowness(self, slowness: float) -> None:
        """Slow every job down by a factor."""
        self._slowness = slowness
        self._update_speed()

    def _restart(self) -> None:
        self.is_up = True
        self.begin_cold_start(reports_cold=True)

    def _update_speed(self) -> None:
        factor = self.traits.cold_factor if self.is_cold else 1.0
        self._processor.set_speed_factor(factor / self._slowness)

    def _check_cold_overload(self, job: Job) -> bool:
        """Count a job above the cold limit; return whether the cold endpoint crashes under it."""
        if job.sent_ms < self._cold_since_ms:
            self._sent_before_cold.add(job.job_id)
            return False
        new_jobs = len(self._jobs) - len(self._sent_before_cold)
        if len(self._jobs) > self.traits.cold_limit:
            self.cold_excess += 1
        return new_jobs > self.traits.collapse_limit

    def _fill_batch(self) -> None:
        """Start waiting jobs while the batch has free slots."""
        while self._waiting and self.running < self.traits.batch_limit:
            _, _, job_id = heappop(self._waiting)
            job = self._jobs.get(job_id)
            if job is not None:
                self._begin_job(job)

    def _begin_job(self, job: Job) -> None:
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
                self._finish_prefill(job)
            gained = min(PROGRESS_TOKENS, job.output_tokens - produced) if produced else 1
            produced += gained
            job.on_progress(gained)
            if job.job_id not in self._jobs:
                return None
            if produced >= job.output_tokens:
                self._end_job(job, JobEnd.COMPLETED)
                return None
            return min(PROGRESS_TOKENS, job.output_tokens - produced) * self.traits.token_ms

        self._processor.add(job.job_id, first_ms, step)

    def _finish_prefill(self, job: Job) -> None:
        """Store the prompt's blocks in the cache and end the cold phase if it has warmed up."""
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
            self._update_speed()

    def _end_job(self, job: Job, end: JobEnd, *, refill: bool = True) -> None:
        """Remove a job, account its work and report its end to the sender."""
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
