"""Entry point of the command: runs subcommands, reports errors as a line and exit code."""

from __future__ import annotations

from collections.abc import Sequence
import sys

import defopt

from wagtailusher_cli.const import EXIT_PROBLEM
from wagtailusher_cli.exceptions import CommandError
from wagtailusher_cli.live import advise, drains, explain, fleet, quarantine, refusals, stewards
from wagtailusher_cli.offline import check, diff, pack, reach, show
from wagtailusher_cli.output import write_error
from wagtailusher_cli.placement import placement
from wagtailusher_cli.request_log import story
from wagtailusher_cli.watch import watch_drain

COMMANDS = [
    check,
    show,
    reach,
    diff,
    pack,
    fleet,
    stewards,
    drains,
    quarantine,
    refusals,
    explain,
    watch_drain,
    advise,
    placement,
    story,
]

EPILOG = "Exit codes: 0 fine, 1 a problem was found, 2 wrong usage, 3 no daemon could be reached."


def run(argv: Sequence[str] | None = None) -> int:
    """Run one subcommand and return its exit code."""
    try:
        code: int = defopt.run(
            COMMANDS,
            argv=None if argv is None else list(argv),
            short={},
            no_negated_flags=True,
            argparse_kwargs={"prog": "wagtailusher", "epilog": EPILOG},
        )
    except CommandError as error:
        write_error(error.message)
        return error.exit_code
    except KeyboardInterrupt:
        return EXIT_PROBLEM
    return code


def main() -> None:
    """Run the command and exit."""
    sys.exit(run())
