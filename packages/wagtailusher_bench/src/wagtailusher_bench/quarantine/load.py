"""Requests of each variant: sound ones, and those with a part that crashes endpoints."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from random import Random
from typing import Final

from wagtailusher_bench.quarantine.const import (
    EVENT_MS,
    HEAD_MS,
    MIDDLE_PARTS,
    POISON_PER_S,
    RARE_PER_S,
    SOUND_PER_ENDPOINT_S,
    STREAM_MS,
)
from wagtailusher_quarantine import Suspect, part_fingerprint

SHARED: Final = part_fingerprint("5c1e07a2d94b6f30")
POISON: Final = part_fingerprint("bad0bad0bad0bad0")
RARE: Final = part_fingerprint("7a7e7a7e7a7e7a7e")


@dataclass(frozen=True, slots=True, kw_only=True)
class Variant:
    """What happens in one run; times are those of the run."""

    end_ms: int = 40_000
    poison_from_ms: int | None = 12_000
    restarts_every_ms: int = 0
    cut_ms: tuple[int, int] = (0, 0)
    """Between these times one VM is cut off from its peers, not from endpoints."""
    own_crashes_every_ms: int = 0
    """Interval at which two endpoints crash at the same moment."""
    domain_out_ms: int = 0
    """When a third of the endpoints crash at the same moment."""
    rare_crashes: int = 0
    """First crashes at which a request with the rare sound part has just begun."""


VARIANTS: Final = {
    "plain": Variant(),
    "cold": Variant(poison_from_ms=0, end_ms=28_000),
    "restarts": Variant(restarts_every_ms=2_000),
    "cut": Variant(cut_ms=(11_900, 16_900)),
    "own-crashes": Variant(
        poison_from_ms=None, own_crashes_every_ms=3_000, domain_out_ms=20_000, end_ms=40_000
    ),
    "bystander": Variant(rare_crashes=2),
    "bystander-restarts": Variant(rare_crashes=2, restarts_every_ms=2_000),
    "probes": Variant(restarts_every_ms=5_000, end_ms=400_000),
    "wrong-verdict": Variant(
        poison_from_ms=None, own_crashes_every_ms=6_000, rare_crashes=2, end_ms=100_000
    ),
}


@dataclass(eq=False, slots=True, kw_only=True)
class Request:
    """One request; the times are those of an endpoint that doesn't crash."""

    kind: str
    prints: tuple[str, ...]
    """Fingerprints of the whole request and of its shared parts."""
    head_ms: int
    event_ms: int
    stream_ms: int
    sent_ms: int = 0

    def suspects(self, now_ms: int) -> tuple[Suspect, ...]:
        """Return whom a crash accuses: nobody once the answer brought an event."""
        age_ms = now_ms - self.sent_ms
        whole, *parts = self.prints
        if age_ms >= self.head_ms + self.event_ms:
            return ()
        if age_ms < self.head_ms:
            return (Suspect(fingerprint=whole),)
        return (
            Suspect(fingerprint=whole, has_begun=True),
            *(Suspect(fingerprint=part, carrier=whole, has_begun=True) for part in parts),
        )


def make_request(kind: str, rng: Random) -> Request:
    """Return a request unlike all others of its kind, with the shared first part."""
    middle = {"poison": POISON, "rare": RARE}.get(kind)
    if middle is None:
        # The squares make some middle parts common and most of them rare.
        number = int(MIDDLE_PARTS * rng.random() ** 2)
        middle = part_fingerprint(f"{number:016x}")
    return Request(
        kind=kind,
        prints=(f"{rng.getrandbits(128):032x}", SHARED, middle),
        head_ms=rng.randint(*HEAD_MS),
        event_ms=rng.randint(*EVENT_MS),
        stream_ms=rng.randint(*STREAM_MS),
    )


def schedule_load(
    variant: Variant,
    endpoints: int,
    rng: Random,
    call_later: Callable[[float, Callable[[], None]], object],
    send: Callable[[Request], None],
) -> None:
    """Schedule arrivals, each kind as a Poisson process."""

    def arrivals(kind: str, per_s: float, from_ms: float) -> None:
        time_ms = from_ms
        while (time_ms := time_ms + rng.expovariate(per_s / 1_000)) < variant.end_ms:
            request = make_request(kind, rng)
            call_later(time_ms, lambda request=request: send(request))  # type: ignore[misc]

    arrivals("sound", SOUND_PER_ENDPOINT_S * endpoints, 0)
    if variant.poison_from_ms is not None:
        arrivals("poison", POISON_PER_S, variant.poison_from_ms)
    if variant.rare_crashes:
        last_ms = variant.own_crashes_every_ms * variant.rare_crashes
        arrivals("rare", RARE_PER_S, variant.poison_from_ms or last_ms)
