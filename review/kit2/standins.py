"""Stand-ins of the platform's store, runners and clients, and a launcher of entry VMs.

Used by the scripts `review/N/run.sh` of the second review. Standard library only. All addresses
are loopback addresses, all clocks are real.
"""

from __future__ import annotations

import asyncio
from base64 import b64encode
from collections import deque
from collections.abc import Awaitable, Callable, Iterable
import contextlib
from dataclasses import dataclass, field
import json
import os
from pathlib import Path
import random
import shutil
import signal
import socket
import struct
import subprocess
import tempfile
import time
import tomllib
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parents[2]
HOST_NAME = "shop.example"
KEPT_VARIABLES = ("PATH", "HOME", "LANG")
"""Variables of the caller that the platform passes on."""

HISTORY_S = 20.0
"""The store's `history_ttl_s`."""

_RETURNED: set[int] = set()

MAX_VMS = 8
CONTROL_PORT = 8748
"""Port of seeds' `control` addresses; VMs meet at the first internal port of the same host."""

KEY = "member-key"
TENANT = "members"


def now() -> float:
    """Return the monotonic time in seconds."""
    return time.monotonic()


class Record:
    """Writes what happened to `record.txt`, one line each, with the seconds since the start."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w")
        self._began = now()

    def write(self, text: str) -> None:
        """Add a line."""
        self._file.write(f"{now() - self._began:8.3f} {text}\n")

    def close(self) -> None:
        """Close the file."""
        self._file.close()


def free_peer_port(hosts: Iterable[str]) -> int:
    """Return a port that is free for TCP and UDP on all hosts, below those given to any socket."""
    hosts = tuple(hosts)
    while True:
        port = random.randrange(20_000, 30_000)
        with contextlib.ExitStack() as probes, contextlib.suppress(OSError):
            for host in hosts:
                for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                    probes.enter_context(socket.socket(socket.AF_INET, kind)).bind((host, port))
            return port


def free_port(host: str = "127.0.0.1") -> int:
    """Return a TCP port that is free on a host and was not returned before.

    It is below those that the kernel gives to sockets without one.
    """
    while True:
        port = random.randrange(10_000, 20_000)
        with socket.socket() as probe, contextlib.suppress(OSError):
            probe.bind((host, port))
            if port not in _RETURNED:
                _RETURNED.add(port)
                return port


def reset(writer: asyncio.StreamWriter) -> None:
    """Close a connection with RST."""
    with contextlib.suppress(OSError, AttributeError):
        raw = writer.get_extra_info("socket")
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


@dataclass
class Head:
    """A request's or response's first line and fields, names in lower case."""

    first: str
    fields: dict[str, str]


async def read_head(reader: asyncio.StreamReader) -> Head | None:
    """Read a head; None at the end of the connection."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = raw.decode("latin-1").split("\r\n")
    pairs = (line.split(":", 1) for line in lines[1:] if line)
    return Head(lines[0], {name.strip().lower(): value.strip() for name, value in pairs})


class Store:
    """The platform's store: `/kv-range` and `/kv-watch`, with 20 s of history."""

    def __init__(self) -> None:
        self.items: dict[str, dict] = {}
        self.changes: deque[dict] = deque()
        self._noted: deque[float] = deque()
        self.oldest = 0
        """Watches from an older revision get 410."""
        self.revision = 1
        self.is_down = False
        """While down, calls get no answer, and writers have to wait."""
        self.delay_s = 0.004
        self.address = ""
        self._changed = asyncio.Event()
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"

    def put(self, key: str, value: dict) -> None:
        """Write an item."""
        self.revision += 1
        item = {
            "key": key,
            "value": b64encode(json.dumps(value).encode()).decode(),
            "revision": self.revision,
            "create_revision": self.revision,
            "lease": 0,
        }
        self.items[key] = item
        self._note(item)

    def remove(self, key: str) -> None:
        """Remove an item."""
        self.revision += 1
        del self.items[key]
        self._note({"key": key, "revision": self.revision, "removed": True})

    def _note(self, change: dict) -> None:
        self.changes.append(change)
        self._noted.append(now())
        while self._noted[0] < now() - HISTORY_S:
            self._noted.popleft()
            self.oldest = self.changes.popleft()["revision"]
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(ConnectionError, asyncio.CancelledError):
            while (head := await read_head(reader)) is not None:
                url = urlsplit(head.first.split(" ")[1])
                query = {name: values[0] for name, values in parse_qs(url.query).items()}
                status, value = await self._answer(url.path, query)
                await asyncio.sleep(self.delay_s)
                while self.is_down:  # A silent store answers nothing, also later.
                    await asyncio.sleep(3600)
                body = json.dumps(value).encode()
                writer.write(
                    b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n"
                    % (status, len(body))
                    + body
                )
                await writer.drain()
        writer.close()

    async def _answer(self, path: str, query: dict[str, str]) -> tuple[int, dict]:
        if path == "/kv-range":
            prefix, after = query.get("prefix", ""), query.get("after", "")
            keys = [key for key in sorted(self.items) if key.startswith(prefix) and key > after]
            return 200, {
                "items": [self.items[key] for key in keys[:500]],
                "truncated": len(keys) > 500,
                "current_rev": self.revision,
            }
        after, ends = int(query["after"]), now() + int(query["wait_ms"]) / 1000
        while self.revision <= after and (left := ends - now()) > 0:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), left)
        if after < self.oldest:
            return 410, {}
        events = [item for item in self.changes if item["revision"] > after]
        return 200, {"events": events, "current_rev": self.revision}


@dataclass
class Run:
    """One request that a runner began to work on."""

    attempt_id: str
    runner: str
    began: float
    ended: float | None = None
    outcome: str = ""


@dataclass
class Call:
    """One request that arrived at a runner, run or not."""

    attempt_id: str
    at: float
    is_cold: bool
    is_run: bool = False


class Runner:
    """One runner of a service, which announces itself in the store while it lives.

    `behave` answers a request once its instance was checked; it returns whether the connection
    stays open.
    """

    def __init__(
        self,
        runner_id: str,
        service: str,
        store: Store,
        record: Record,
        behave: Callable[[Runner, Head, bytes, asyncio.StreamWriter], Awaitable[bool]],
        *,
        slots: int = 6,
        zone: str = "a",
        cold_s: float = 0.0,
        heartbeat_s: float = 1.2,
        version: str = "v1",
    ) -> None:
        self.version = version
        self.runner_id, self.service, self.slots, self.zone = runner_id, service, slots, zone
        self.store, self.record, self.behave = store, record, behave
        self.cold_s, self.heartbeat_s = cold_s, heartbeat_s
        self.port = 0
        self.born_ms = 0
        self.cold_until = 0.0
        self.state = "ready"
        self.runs: list[Run] = []
        self.calls: list[Call] = []
        self.in_progress = 0
        self.is_up = False
        self._sequence = 0
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._beats: asyncio.Task | None = None

    @property
    def is_cold(self) -> bool:
        """Return whether the runner is cold now."""
        return now() < self.cold_until

    async def start(self, *, is_cold: bool = False) -> None:
        """Listen, on the same port as before, and write the entry at once."""
        self._server = await asyncio.start_server(
            self._serve, "127.0.0.1", self.port, reuse_address=True, backlog=512
        )
        self.port = self._server.sockets[0].getsockname()[1]
        self.born_ms = time.time_ns() // 1_000_000
        self.cold_until = now() + self.cold_s if is_cold else 0.0
        self.is_up, self.in_progress = True, 0
        self._beats = asyncio.create_task(self._beat())
        self.record.write(f"runner {self.runner_id} starts, cold={is_cold}")

    async def crash(self) -> None:
        """End at once: all connections are reset, new ones are refused."""
        assert self._server is not None and self._beats is not None
        self.is_up = False
        self._beats.cancel()
        self._server.close()
        for writer in tuple(self._writers):
            reset(writer)
        self.record.write(f"runner {self.runner_id} crashes")

    def entry(self) -> dict:
        """Return the runner's entry in the store."""
        self._sequence += 1
        left_ms = max(0.0, (self.cold_until - now()) * 1000)
        return {
            "service": self.service,
            "address": f"127.0.0.1:{self.port}",
            "zone": self.zone,
            "version": self.version,
            "slots": self.slots,
            "state": self.state,
            "cold_left_ms": round(left_ms),
            "sequence": self._sequence,
            "born": self.born_ms,
        }

    def announce(self) -> None:
        """Write the entry now."""
        self.store.put(f"servers/{self.runner_id}", self.entry())

    async def _beat(self) -> None:
        while True:
            while self.store.is_down:  # The store does not take the entry yet.
                await asyncio.sleep(0.02)
            self.announce()
            await asyncio.sleep(self.heartbeat_s)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while (head := await read_head(reader)) is not None:
                body = await reader.readexactly(int(head.fields.get("content-length", "0")))
                if not await self._answer(head, body, reader, writer):
                    break
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer(
        self, head: Head, body: bytes, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        """Answer one request; drop it when its connection closes."""
        if head.fields.get("x-expect-instance") not in (None, self.runner_id):
            writer.write(response(head, "421 Misdirected Request", b"", "X-Not-Executed: 1"))
            await writer.drain()
            return True
        self.calls.append(Call(head.fields.get("x-attempt-id", ""), now(), self.is_cold))
        work = asyncio.ensure_future(self.behave(self, head, body, writer))
        watch = asyncio.ensure_future(_closed(reader, writer))
        await asyncio.wait((work, watch), return_when=asyncio.FIRST_COMPLETED)
        watch.cancel()
        if work.done():
            return work.result()
        work.cancel()
        with contextlib.suppress(asyncio.CancelledError, ConnectionError):
            await work
        return False

    def begin(self, head: Head) -> Run:
        """Record that work on a request begins."""
        run = Run(head.fields.get("x-attempt-id", ""), self.runner_id, now())
        self.runs.append(run)
        if self.calls:
            self.calls[-1].is_run = True
        self.record.write(f"runner {self.runner_id} runs {run.attempt_id}")
        return run

    def end(self, run: Run, outcome: str) -> None:
        """Record the end of the work."""
        run.ended, run.outcome = now(), outcome
        self.record.write(f"runner {self.runner_id} ends {run.attempt_id}: {outcome}")


async def _closed(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    while not reader.at_eof() and not writer.is_closing():
        await asyncio.sleep(0.005)


def response(head: Head, status: str, body: bytes, *lines: str) -> bytes:
    """Return a runner's signed response to a request, with a length."""
    fields = (
        f"HTTP/1.1 {status}",
        f"X-Attempt-Id: {head.fields.get('x-attempt-id', '')}",
        "X-Server-Stamp: 3e1b.07.5a2",
        f"Content-Length: {len(body)}",
        *lines,
    )
    return "\r\n".join((*fields, "", "")).encode() + body


def route(name: str, kind: str, service: str, **changes: object) -> dict:
    """Return a route of the operator's configuration; its prefix is its name."""
    return {
        "name": name,
        "host": HOST_NAME,
        "prefix": f"/{name}/",
        "kind": kind,
        "timeout_ms": 4000,
        "target_latency_ms": 500,
        "priority": 1,
        "service": service,
        "public": False,
        "max_attempts": 1,
        "stream_resume": False,
        "session_affinity": False,
    } | changes


def configuration(version: int, routes: list[dict], services: list[dict]) -> dict:
    """Return an operator's configuration."""
    return {
        "version": version,
        "routes": routes,
        "services": services,
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "tenants": [{"name": TENANT, "api_keys": [KEY], "priority": 1}],
    }


class Vm:
    """One entry VM: the process of the deploy file's role, at a loopback address of its own."""

    def __init__(self, number: int, folder: Path, settings: dict) -> None:
        self.number, self.folder = number, folder
        self.host = settings["ip"]
        self.settings = settings
        self.path = folder / f"node-{number}.yaml"
        self.process: subprocess.Popen | None = None

    @property
    def front(self) -> str:
        """Return the address that serves clients."""
        return self.settings["listen"]["front"]

    def write_settings(self) -> None:
        """Write the settings file; JSON is YAML."""
        self.path.write_text(json.dumps(self.settings))

    def start(self) -> None:
        """Start the process with the settings as they are now."""
        self.write_settings()
        role = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]["entry"]
        log = (self.folder / f"node-{self.number}.log").open("ab")
        self.process = subprocess.Popen(
            role["run"].split(),
            cwd=ROOT,
            env={name: os.environ[name] for name in KEPT_VARIABLES if name in os.environ}
            | role.get("env", {})
            | {
                "PYTHONPATH": str(ROOT / "target/deps"),
                "WAGTAILUSHER_CONFIG": str(self.path),
                "WAGTAILUSHER_METRICS_PORT": str(free_port(self.host)),
            },
            stdout=log,
            stderr=log,
        )

    def signal(self, number: int) -> None:
        """Send a signal to the process."""
        assert self.process is not None
        self.process.send_signal(number)

    def kill(self) -> None:
        """Kill the process and wait for its end."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()

    async def is_ready(self) -> bool:
        """Return whether `/ready` answers 200."""
        with contextlib.suppress(OSError, TimeoutError, asyncio.IncompleteReadError):
            status, _, _ = await asyncio.wait_for(
                get(self.settings["listen"]["ready"], "/ready"), 0.5
            )
            return status == 200
        return False

    async def until_ready(self, limit_s: float = 15.0) -> None:
        """Wait until the VM says that it is ready."""
        ends = now() + limit_s
        while not await self.is_ready():
            if now() > ends or (self.process and self.process.poll() is not None):
                raise RuntimeError(f"VM {self.number} did not become ready")
            await asyncio.sleep(0.05)


def vm_settings(
    number: int, host: str, store: str, peer_port: int, seeds: list[str], **changes: object
) -> dict:
    """Return the settings of a VM, as the platform's pages show them."""
    ports = [free_port(host) for _ in range(4)]
    return {
        "node_name": f"front-a-{number}",
        "role": "entry",
        "machine_class": "front",
        "serves": ["front", "control", "directory"],
        "ip": host,
        "zone": "a",
        "region": "r",
        "zones": {"a": "r"},
        "listen": {
            name: f"{host}:{port}"
            for name, port in zip(("front", "ready", "control", "directory"), ports, strict=True)
        },
        "internal_ports": [peer_port, peer_port + 15],
        "seeds": seeds,
        "bootstrap": True,
        "limits": {
            "cpu_share": 0.537,
            "cpu_cores": 2,
            "memory_mb": 150,
            "max_fds": 4200,
            "link_mbps": 1000.0,
            "disk_mb": 0,
        },
        "data_dir": None,
        "heartbeat_ms": 1200,
        "bounds": {
            "contact_ms": 3000,
            "drain_ms": 2000,
            "grace_s": 8,
            "config_apply_ms": 2000,
            "retry_budget_ratio": 0.2,
            "budget_window_s": 10,
            "retry_budget_slack": 52,
            "cold_overage": 1.5,
            "cold_slack": 5,
            "ttl_max_s": 5,
        },
        "platform": {"address": store, "form": "read", "reads_per_s": 2000},
    } | changes


class Switch:
    """The path between the VMs: each is seen by the others at an address of the switch.

    A datagram from one VM to the address of another leaves from the first one's address, so that
    VMs, also those that learn of each other by what a third one tells, only meet through it.
    """

    def __init__(self) -> None:
        self._hosts: dict[str, str] = {}
        """Host of a VM by its address at the switch."""
        self._transports: dict[str, asyncio.DatagramTransport] = {}
        self._cut: set[frozenset[str]] = set()
        self.port = 0

    async def add(self, host: str, port: int) -> str:
        """Give a VM an address at the switch and return it."""
        alias = f"127.0.1.{host.rpartition('.')[2]}"
        self.port = port
        self._hosts[alias] = host
        loop = asyncio.get_running_loop()
        transport, _ = await loop.create_datagram_endpoint(
            lambda: _SwitchPort(self, alias), local_addr=(alias, port)
        )
        self._transports[alias] = transport
        return alias

    def cut(self, first: str, second: str) -> None:
        """Drop all between two VMs, given by their hosts."""
        self._cut.add(frozenset((first, second)))

    def heal(self) -> None:
        """End all cuts."""
        self._cut.clear()

    def forward(self, data: bytes, sender: str, alias: str) -> None:
        """Pass a datagram on that a VM sent to an address of the switch."""
        receiver = self._hosts[alias]
        own_alias = next((key for key, host in self._hosts.items() if host == sender), None)
        if own_alias is not None and frozenset((sender, receiver)) not in self._cut:
            self._transports[own_alias].sendto(data, (receiver, self.port))

    def close(self) -> None:
        """Close all addresses."""
        for transport in self._transports.values():
            transport.close()


class _SwitchPort(asyncio.DatagramProtocol):
    def __init__(self, switch: Switch, alias: str) -> None:
        self._switch, self._alias = switch, alias

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        self._switch.forward(data, addr[0], self._alias)


class ResetProxy:
    """A TCP proxy before a VM's front, which can reset all its connections."""

    def __init__(self, target: str) -> None:
        self._target = target
        self.address = ""
        self._writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"

    def reset_all(self) -> None:
        """Reset all connections, at both ends."""
        for writer in tuple(self._writers):
            reset(writer)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        host, _, port = self._target.rpartition(":")
        try:
            far_reader, far_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.close()
            return
        self._writers |= {writer, far_writer}
        pipes = [self._pipe(reader, far_writer), self._pipe(far_reader, writer)]
        await asyncio.gather(*pipes, return_exceptions=True)
        self._writers -= {writer, far_writer}

    async def _pipe(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while data := await reader.read(65536):
                writer.write(data)
                await writer.drain()
        finally:
            writer.close()


@dataclass
class Reply:
    """What a client saw of one request."""

    attempt_id: str
    sent: float
    status: int = 0
    """0 if the connection ended without a whole answer."""
    fields: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    is_complete: bool = False
    ended: float = 0.0


async def get(address: str, path: str) -> tuple[int, dict[str, str], bytes]:
    """Make a plain GET call on a new connection."""
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        writer.write(
            f"GET {path} HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n\r\n".encode()
        )
        head = await read_head(reader)
        if head is None:
            return 0, {}, b""
        body = await reader.readexactly(int(head.fields.get("content-length", "0")))
        return int(head.first.split(" ")[1]), head.fields, body
    finally:
        writer.close()


class Client:
    """Sends requests to VMs, each on a connection of its own, and records what comes back."""

    def __init__(self, record: Record, prefix: str = "q") -> None:
        self.record = record
        self.replies: list[Reply] = []
        self._prefix = prefix
        self._count = 0

    def new_reply(self) -> Reply:
        """Return what is to be recorded of one more client attempt."""
        self._count += 1
        self.replies.append(Reply(f"{self._prefix}{self._count}", now()))
        return self.replies[-1]

    async def ask(
        self,
        front: str,
        path: str,
        *,
        body: bytes = b"",
        deadline_ms: int = 4000,
        fields: dict[str, str] | None = None,
        reply: Reply | None = None,
    ) -> Reply:
        """Send one client attempt and wait for its answer, up to its deadline."""
        reply = reply or self.new_reply()
        self.record.write(f"client sends {reply.attempt_id} to {front} {path}")
        try:
            await asyncio.wait_for(
                self._exchange(reply, front, path, body, deadline_ms, fields or {}),
                deadline_ms / 1000,
            )
        except (OSError, TimeoutError, asyncio.IncompleteReadError) as err:
            self.record.write(f"client gets no answer to {reply.attempt_id}: {err!r}")
        reply.ended = now()
        self.record.write(
            f"client has {reply.status} to {reply.attempt_id}, complete={reply.is_complete}"
        )
        return reply

    async def _exchange(
        self,
        reply: Reply,
        front: str,
        path: str,
        body: bytes,
        deadline_ms: int,
        fields: dict[str, str],
    ) -> None:
        host, _, port = front.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            lines = {
                "Host": HOST_NAME,
                "X-Attempt-Id": reply.attempt_id,
                "X-Deadline-Ms": str(deadline_ms),
                "Authorization": f"Bearer {KEY}",
                "Content-Length": str(len(body)),
                **fields,
            }
            head = "".join(f"{name}: {value}\r\n" for name, value in lines.items())
            writer.write(f"POST {path} HTTP/1.1\r\n{head}\r\n".encode() + body)
            found = await read_head(reader)
            if found is None:
                return
            reply.status, reply.fields = int(found.first.split(" ")[1]), found.fields
            if found.fields.get("transfer-encoding", "") == "chunked":
                await self._read_chunks(reader, reply)
            else:
                length = int(found.fields.get("content-length", "0"))
                reply.body = await reader.readexactly(length)
            reply.is_complete = True
        finally:
            writer.close()

    async def _read_chunks(self, reader: asyncio.StreamReader, reply: Reply) -> None:
        while size := int((await reader.readline()).strip() or b"0", 16):
            reply.body += await reader.readexactly(size)
            await reader.readexactly(2)
        await reader.readexactly(2)


class Site:
    """A small deployment: the store, runners, VMs and a record, in a temporary folder."""

    def __init__(self, case: Path) -> None:
        self.record = Record(case / "record.txt")
        self.folder = Path(tempfile.mkdtemp(prefix="review-2-"))
        self.store = Store()
        self.vms: list[Vm] = []
        self.runners: list[Runner] = []
        hosts = (f"127.0.{net}.{10 + number}" for net in (0, 1) for number in range(1, MAX_VMS + 1))
        self.peer_port = free_peer_port(hosts)

    async def start_vms(self, count: int, **changes: object) -> None:
        """Start VMs that are each other's seeds, and wait until they are ready and settled."""
        hosts = [f"127.0.0.{10 + number}" for number in range(1, count + 1)]
        seeds = [f"{host}:{CONTROL_PORT}" for host in hosts[:3]]
        for number, host in enumerate(hosts, start=1):
            settings = vm_settings(
                number, host, self.store.address, self.peer_port, seeds, **changes
            )
            self.vms.append(Vm(number, self.folder, settings))
        for vm in self.vms:
            vm.start()
        for vm in self.vms:
            await vm.until_ready()
        await asyncio.sleep(3.5)

    def close(self) -> None:
        """End all processes."""
        for vm in self.vms:
            vm.kill()
        self.record.close()


def run_case(main: Callable[[Site, bool], Awaitable[bool]], case: Path) -> int:
    """Run a case; return 1 if the rule was broken, 0 if it held, 2 if the case couldn't run."""
    has_trouble = os.environ.get("TROUBLE", "1") != "0"

    async def run() -> int:
        site = Site(case)
        try:
            await site.store.start()
            is_broken = await main(site, has_trouble)
            shutil.rmtree(site.folder, ignore_errors=True)
            return 1 if is_broken else 0
        except Exception as err:
            site.record.write(f"could not run: {err!r}")
            print(f"could not run: {err!r}; logs in {site.folder}")
            return 2
        finally:
            site.close()

    return asyncio.run(run())
