"""Prints the project's measurements, one JSON object per line."""

from __future__ import annotations

from collections.abc import Callable
from importlib import import_module
from importlib.util import find_spec
import sys

import defopt

from wagtailusher_bench.decisions.__main__ import main as decisions
from wagtailusher_bench.fleet.__main__ import alarms, configuration, membership, summaries, wire
from wagtailusher_bench.relay.__main__ import main as relay
from wagtailusher_bench.slopes.__main__ import main as slopes
from wagtailusher_bench.slopes.capacity_page import main as capacity

_COST_MODULE = "wagtailusher_bench.decisions.cost"


def commands() -> dict[str, object]:
    """Return the subcommands by name; `cost` only where its module is installed."""
    found: dict[str, object] = {
        "relay": relay,
        "slopes": slopes,
        "capacity": capacity,
        "decisions": decisions,
        "fleet": [membership, alarms, configuration, summaries, wire],
    }
    if find_spec(_COST_MODULE) is not None:
        main: Callable[..., None] = import_module(_COST_MODULE).main
        found["cost"] = main
    return found


def main(arguments: list[str] | None = None) -> None:
    """Run the subcommand named by the arguments, by default those of the process."""
    defopt.run(commands(), argv=sys.argv[1:] if arguments is None else arguments)


if __name__ == "__main__":
    main()
