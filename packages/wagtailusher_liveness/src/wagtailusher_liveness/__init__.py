"""Detection of endpoints that went silent, by evidence of the whole fleet, without sockets."""

from wagtailusher_liveness.decider import LivenessDecider
from wagtailusher_liveness.limits import LivenessLimits
from wagtailusher_liveness.reports import Liveness, LivenessChange, LivenessReport

__all__ = [
    "Liveness",
    "LivenessChange",
    "LivenessDecider",
    "LivenessLimits",
    "LivenessReport",
]
