"""A processor-sharing model: the speed of each task falls with their number."""

from __future__ import annotations

from collections.abc import Callable
from heapq import heappop, heappush

from wagtailusher_bench.fakes.clock import Timer, VirtualClock


class SharedProcessor:
    """Advances all tasks at the same speed, which falls with their number.

    A task is a chain of steps; `on_step` returns the work of the next step, or None at the end.
    `_work_ms` is the work done so far for a task that runs since the start.
    """

    def __init__(self, clock: VirtualClock, *, knee: float) -> None:
        """Create an idle processor; with `knee` tasks, each runs at half its speed alone."""
        self._clock = clock
        self._knee = knee
        self._speed_factor = 1.0
        self._work_ms = 0.0
        self._updated_ms = 0.0
        self._steps: list[tuple[float, int, str]] = []
        self._tasks: dict[str, tuple[int, float, Callable[[], float | None]]] = {}
        self._step_count = 0
        self._timer: Timer | None = None

    @property
    def task_count(self) -> int:
        """Return the number of tasks."""
        return len(self._tasks)

    def set_speed_factor(self, factor: float) -> None:
        """Scale the speed of all tasks."""
        self._advance()
        self._speed_factor = factor
        self._arm_timer()

    def add(self, task_id: str, work_ms: float, on_step: Callable[[], float | None]) -> None:
        """Start a task whose first step has `work_ms` of work."""
        self._advance()
        self._add_step(task_id, self._work_ms, work_ms, on_step)
        self._arm_timer()

    def remove(self, task_id: str) -> float:
        """Stop a task and return the work done for it, 0 for an unknown one."""
        self._advance()
        task = self._tasks.pop(task_id, None)
        if task is None:
            return 0.0
        self._arm_timer()
        return self._work_ms - task[1]

    def _add_step(
        self, task_id: str, began_ms: float, work_ms: float, on_step: Callable[[], float | None]
    ) -> None:
        self._step_count += 1
        self._tasks[task_id] = (self._step_count, began_ms, on_step)
        heappush(self._steps, (self._work_ms + work_ms, self._step_count, task_id))

    def _speed(self) -> float:
        return self._speed_factor / (1.0 + len(self._tasks) / self._knee)

    def _advance(self) -> None:
        """Add the work done since the last update."""
        now_ms = self._clock.time_ms
        if self._tasks:
            self._work_ms += (now_ms - self._updated_ms) * self._speed()
        self._updated_ms = now_ms

    def _arm_timer(self) -> None:
        """Set the timer for the end of the next step."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        while self._steps and self._is_stale(self._steps[0]):
            heappop(self._steps)
        speed = self._speed()
        if self._steps and speed > 0:
            delay_ms = (self._steps[0][0] - self._work_ms) / speed
            self._timer = self._clock.call_later(delay_ms, self._finish_step)

    def _is_stale(self, step: tuple[float, int, str]) -> bool:
        task = self._tasks.get(step[2])
        return task is None or task[0] != step[1]

    def _finish_step(self) -> None:
        self._timer = None
        self._advance()
        due_ms, _, task_id = heappop(self._steps)
        self._work_ms = max(self._work_ms, due_ms)
        _, began_ms, on_step = self._tasks[task_id]
        work_ms = on_step()
        if work_ms is not None and task_id in self._tasks:
            self._add_step(task_id, began_ms, work_ms, on_step)
        self._arm_timer()
