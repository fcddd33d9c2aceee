"""Jobs that share one processor: the more there are, the slower each goes on."""

from __future__ import annotations

from collections.abc import Callable
from heapq import heappop, heappush

from wagtailusher_bench.fakes.clock import Timer, VirtualClock


class SharedProcessor:
    """Advances all its tasks at one speed, which falls with their number.

    A task is a chain of steps; `on_step` returns the work of the next one, or None at the end.
    """

    def __init__(self, clock: VirtualClock, *, knee: float) -> None:
        """Start idle; with `knee` tasks each goes on at half its speed alone."""
        self._clock = clock
        self._knee = knee
        self._factor = 1.0
        self._work_ms = 0.0
        self._since_ms = 0.0
        self._steps: list[tuple[float, int, str]] = []
        self._tasks: dict[str, tuple[int, float, Callable[[], float | None]]] = {}
        self._count = 0
        self._timer: Timer | None = None

    @property
    def task_count(self) -> int:
        """Return the number of tasks."""
        return len(self._tasks)

    def set_factor(self, factor: float) -> None:
        """Change the speed of everything."""
        self._advance()
        self._factor = factor
        self._schedule()

    def add(self, task_id: str, work_ms: float, on_step: Callable[[], float | None]) -> None:
        """Start a task."""
        self._advance()
        self._push(task_id, self._work_ms, work_ms, on_step)
        self._schedule()

    def remove(self, task_id: str) -> float:
        """Stop a task and return the work that was done for it, 0 for an unknown one."""
        self._advance()
        task = self._tasks.pop(task_id, None)
        if task is None:
            return 0.0
        self._schedule()
        return self._work_ms - task[1]

    def _push(
        self, task_id: str, began_ms: float, work_ms: float, on_step: Callable[[], float | None]
    ) -> None:
        self._count += 1
        self._tasks[task_id] = (self._count, began_ms, on_step)
        heappush(self._steps, (self._work_ms + work_ms, self._count, task_id))

    def _speed(self) -> float:
        return self._factor / (1.0 + len(self._tasks) / self._knee)

    def _advance(self) -> None:
        """Bring the work done up to the present."""
        now_ms = self._clock.time_ms
        if self._tasks:
            self._work_ms += (now_ms - self._since_ms) * self._speed()
        self._since_ms = now_ms

    def _schedule(self) -> None:
        """Wake up at the end of the next step."""
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
            self._push(task_id, began_ms, work_ms, on_step)
        self._schedule()
