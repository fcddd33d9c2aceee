"""Runs one case: a way, a fleet, a variant and a seed."""

from __future__ import annotations

from dataclasses import asdict, dataclass
import json
from typing import Final

from wagtailusher_bench.quarantine.const import COUNTED_CRASHES
from wagtailusher_bench.quarantine.evidence_node import EvidenceNode
from wagtailusher_bench.quarantine.fleet import Fleet
from wagtailusher_bench.quarantine.judge_node import JudgeNode
from wagtailusher_bench.quarantine.load import VARIANTS
from wagtailusher_bench.quarantine.node import NodeFactory, size_bytes
from wagtailusher_bench.quarantine.score_node import ScoreNode

WAYS: Final[dict[str, NodeFactory]] = {
    "evidence": EvidenceNode,
    "score": ScoreNode,
    "judge": JudgeNode,
}
FLEETS: Final = {9: 23, 68: 70}
"""Endpoints by the number of VMs."""


@dataclass(frozen=True, slots=True, kw_only=True)
class CaseResult:
    """What one run showed."""

    way: str
    vms: int
    variant: str
    seed: int
    crashes: int
    poison_crashes: int
    later_sends: int
    """Requests with the part sent by VMs in touch later than contact_ms after the fifth crash."""
    later_sends_out_of_touch: int
    sound: int
    sound_refused: int
    rare: int
    rare_refused: int
    messages: int
    message_bytes: int
    memory_bytes: int
    """Of the VM that keeps the most, at the end."""
    wait_ms: float
    """Mean time that a sound request waits for an answer whether it may be sent."""

    def to_json(self) -> str:
        """Return the case as one line of JSON with sorted keys."""
        return json.dumps(asdict(self), sort_keys=True, separators=(",", ":"))


def run_case(way: str, vms: int, variant: str, seed: int) -> CaseResult:
    """Run one case; the same arguments give the same result."""
    fleet = Fleet(WAYS[way], vms, FLEETS[vms], VARIANTS[variant], seed)
    fleet.run()
    crashes_ms = fleet.poison_crashes_ms
    is_counted = len(crashes_ms) >= COUNTED_CRASHES
    since_ms = crashes_ms[COUNTED_CRASHES - 1] + fleet.contact_ms if is_counted else None
    later = [
        in_touch
        for sent_ms, in_touch in fleet.poison_sends
        if since_ms is not None and sent_ms > since_ms
    ]
    outcomes = fleet.outcomes
    return CaseResult(
        way=way,
        vms=vms,
        variant=variant,
        seed=seed,
        crashes=outcomes["crashes"],
        poison_crashes=len(crashes_ms),
        later_sends=sum(later),
        later_sends_out_of_touch=len(later) - sum(later),
        sound=outcomes["sound sent"] + outcomes["sound refused"],
        sound_refused=outcomes["sound refused"],
        rare=outcomes["rare sent"] + outcomes["rare refused"],
        rare_refused=outcomes["rare refused"],
        messages=fleet.links.sent_count,
        message_bytes=fleet.links.sent_bytes,
        memory_bytes=max(size_bytes(node.state) for node in fleet.nodes.values()),
        wait_ms=round(sum(fleet.asked_ms) / max(1, len(fleet.asked_ms)), 2),
    )
