"""The entry daemon's command: flags, environment, signals and exit codes."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from inspect import Parameter, Signature
import json
import logging
import signal
import sys

import defopt

from wagtailusher_daemon.app import EntryApp
from wagtailusher_daemon.const import EXIT_UNCLEAN, EXIT_USAGE
from wagtailusher_daemon.exceptions import OptionsError
from wagtailusher_daemon.logs import set_up_logs
from wagtailusher_daemon.options import EntryOptions, read_options
from wagtailusher_http import return_large_blocks

_LOGGER = logging.getLogger(__name__)


FLAGS = {
    "vm_id": "this VM's name in the platform's list (required)",
    "failure_domain": "the failure domain of this VM (required)",
    "fleet_secret": "the secret that the fleet's VMs share, 16 characters or more (required)",
    "previous_fleet_secret": "a second secret to accept during a rotation (none)",
    "config_service": "the configuration service as host:port (required)",
    "vm_list": "the platform's list of VMs as host:port (required)",
    "listen": "where callers are served, host:port; port 0 takes a free one (127.0.0.1:0)",
    "peer_listen": "where datagrams of other VMs arrive, host:port (127.0.0.1:0)",
    "operator_listen": "where operators and scrapers are served, host:port (127.0.0.1:0)",
    "tls_certificate": "file with the certificate chain for callers, PEM (no TLS)",
    "tls_key": "file with the certificate's key, PEM (in the certificate's file)",
    "tls_ca": "file with the authority that signed the other VMs' certificates, PEM (system's)",
    "log_level": "debug, info, warning or error (info)",
    "log_format": "text, or json for one object a line (text)",
    "trace_file": "file to which spans are written, one JSON object a line (none)",
    "otlp_address": "OTLP collector for spans as host:port (none)",
    "tick_interval_ms": "time between ticks of the decider, in ms (50)",
    "load_poll_interval_ms": "time between load polls of an endpoint, in ms (250)",
    "lease_lifetime_ms": "lifetime of a lease on an endpoint, in ms (2000)",
    "list_lag_ms": "maximum lag of the platform's list, in ms (5000)",
    "memory_mb": "memory of the VM in units of 1,000,000 bytes, of which callers get a share (128)",
    "pause_tolerance_ms": "longest pause after which leases stay valid, in ms (1000)",
}
"""Help text of each flag; a flag's environment variable has the same name."""

_DESCRIPTION = """Run the entry daemon on one VM.

Each flag may be set as an environment variable instead: WAGTAILUSHER_VM_ID for --vm-id and
so on. A flag takes precedence over its variable. Once it listens, the daemon prints its
addresses as one JSON object.
"""


def new_command() -> Callable[..., None]:
    """Return the command, with a signature and help for each flag that `defopt` reads."""

    def entry(**flags: str | None) -> None:
        sys.exit(run_with_flags({name: flags.get(name) for name in FLAGS}))

    flag_type = str | None
    parameters = [
        Parameter(name, Parameter.KEYWORD_ONLY, default=None, annotation=flag_type)
        for name in FLAGS
    ]
    entry.__signature__ = Signature(parameters)  # type: ignore[attr-defined]
    entry.__annotations__ = dict.fromkeys(FLAGS, flag_type)
    helps = "\n".join(f":param {name}: {text}" for name, text in FLAGS.items())
    entry.__doc__ = f"{_DESCRIPTION}\n{helps}\n"
    return entry


def run_with_flags(flags: dict[str, str | None]) -> int:
    """Validate the options, run the daemon and return the exit code."""
    try:
        options = read_options(flags)
        set_up_logs(options.log_level, options.log_format)
        return asyncio.run(async_run(options))
    except OptionsError as err:
        print(f"wagtailusher-entry: {err.message}", file=sys.stderr)  # noqa: T201
        return EXIT_USAGE


async def async_run(options: EntryOptions) -> int:
    """Run the daemon until a signal arrives; return the exit code."""
    return_large_blocks()
    app = EntryApp(options)
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, app.stopping.set)
    try:
        await app.async_start()
    except OSError as err:
        _LOGGER.error("Daemon: could not open a socket, stopping: %s", err)
        return EXIT_USAGE
    _print_addresses(app)
    await app.stopping.wait()
    _LOGGER.info("Daemon: %s is draining before it stops", app.vm_id)
    return 0 if await app.async_stop() else EXIT_UNCLEAN


def _print_addresses(app: EntryApp) -> None:
    """Print the bound addresses as one JSON object."""
    value = {
        "vm_id": app.vm_id,
        "failure_domain": app.options.failure_domain,
        "address": app.address,
        "peer_address": app.peer_address,
        "operator_address": app.operator_address,
    }
    print(json.dumps(value), flush=True)  # noqa: T201


def main() -> None:
    """Run the command line."""
    defopt.run(new_command(), show_defaults=False)
