"""Stand-ins of the platform's store, of runners and of clients, and the VMs' processes.

Written for this review, with the standard library only. They do what the users' pages state; where
the pages are silent they behave like a sound server or client. All addresses are on loopback.
"""

from __future__ import annotations

import asyncio
from base64 import b64encode
from collections.abc import Awaitable, Callable
from contextlib import closing, suppress
from dataclasses import dataclass, field
import itertools
import json
import os
from pathlib import Path
import shutil
import signal
import socket
import tempfile
import time
import tomllib
from typing import Any
from urllib.parse import parse_qs, urlsplit
import uuid

ROOT = Path(__file__).resolve().parents[2]
HOST = "shop.example"
KEY = "member-key"
TENANT = "members"
MAX_BODY_BYTES = 4_194_304


class Record:
    """Writes what was sent, answered and run to a file, with the time in seconds."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._began_s = time.monotonic()

    def now_s(self) -> float:
        """Return the time since the start of the record."""
        return time.monotonic() - self._began_s

    def write(self, text: str) -> float:
        """Write one line and return its time."""
        now_s = self.now_s()
        self._file.write(f"{now_s:8.3f} s  {text}\n")
        self._file.flush()
        return now_s


_PORTS = itertools.count(10_000 + os.getpid() % 10_000)
"""Below the ports that the kernel gives to sockets without one; each is tried once."""


def free_ports(host: str, count: int) -> list[int]:
    """Return ports that are free for TCP and UDP on a host."""
    found: list[int] = []
    while len(found) < count:
        port = next(_PORTS)
        with socket.socket() as tcp, socket.socket(type=socket.SOCK_DGRAM) as udp:
            try:
                tcp.bind((host, port))
                udp.bind((host, port))
            except OSError:
                continue
        found.append(port)
    return found


@dataclass(slots=True)
class HttpMessage:
    """A request or a response: its first line, header fields in lower case, and body."""

    first: str
    fields: dict[str, str]
    body: bytes = b""

    @property
    def status(self) -> int:
        """Return the status of a response."""
        return int(self.first.split()[1])


async def async_read_head(reader: asyncio.StreamReader) -> HttpMessage:
    """Read a first line and the header fields; raise ConnectionError at the end of input."""
    lines: list[str] = []
    while True:
        line = await reader.readline()
        if not line.endswith(b"\n"):
            raise ConnectionError("the connection ended")
        text = line.decode("latin-1").rstrip("\r\n")
        if not text:
            if lines:
                break
            continue
        lines.append(text)
    fields = dict(
        (name.strip().lower(), value.strip())
        for name, _, value in (line.partition(":") for line in lines[1:])
    )
    return HttpMessage(first=lines[0], fields=fields)


async def async_read_body(reader: asyncio.StreamReader, fields: dict[str, str]) -> bytes:
    """Read a body with a length or in chunks."""
    if "chunked" in fields.get("transfer-encoding", ""):
        parts: list[bytes] = []
        while True:
            size = int((await reader.readline()).split(b";")[0] or b"0", 16)
            parts.append(await reader.readexactly(size))
            await reader.readline()
            if not size:
                return b"".join(parts)
    return await reader.readexactly(int(fields.get("content-length", "0")))


class Store:
    """The platform's store: items with revisions, ranges and watches."""

    def __init__(self) -> None:
        self.address = ""
        self._items: dict[str, dict[str, Any]] = {}
        self._changes: list[dict[str, Any]] = []
        self._revision = 1
        self._changed = asyncio.Event()
        self._server: asyncio.Server | None = None

    async def async_start(self) -> None:
        """Start listening."""
        self._server = await asyncio.start_server(self._async_serve, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % self._server.sockets[0].getsockname()[1]

    def stop(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.close()

    def put(self, key: str, value: object) -> None:
        """Write an item."""
        self._revision += 1
        item = {
            "key": key,
            "value": b64encode(json.dumps(value).encode()).decode(),
            "revision": self._revision,
            "create_revision": self._revision,
            "lease": 0,
        }
        self._items[key] = item
        self._note(item)

    def remove(self, key: str) -> None:
        """Remove an item."""
        self._revision += 1
        del self._items[key]
        self._note({"key": key, "revision": self._revision, "removed": True})

    def _note(self, change: dict[str, Any]) -> None:
        self._changes.append(change)
        self._changed.set()
        self._changed = asyncio.Event()

    async def _async_serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with closing(writer), suppress(OSError, asyncio.IncompleteReadError):
            while True:
                head = await async_read_head(reader)
                await async_read_body(reader, head.fields)
                url = urlsplit(head.first.split()[1])
                query = {name: values[0] for name, values in parse_qs(url.query).items()}
                status, document = await self._async_answer(url.path, query)
                body = json.dumps(document).encode()
                writer.write(
                    b"HTTP/1.1 %d -\r\nContent-Type: application/json\r\n"
                    b"Content-Length: %d\r\n\r\n" % (status, len(body)) + body
                )
                await writer.drain()

    async def _async_answer(self, path: str, query: dict[str, str]) -> tuple[int, Any]:
        prefix = query.get("prefix", "")
        if path == "/kv-range":
            after = query.get("after", "")
            keys = [key for key in sorted(self._items) if key.startswith(prefix) and key > after]
            items = [self._items[key] for key in keys[:500]]
            return 200, {
                "items": items,
                "truncated": len(keys) > 500,
                "current_rev": self._revision,
            }
        if path == "/kv-watch":
            return 200, await self._async_watch(prefix, int(query["after"]), int(query["wait_ms"]))
        item = self._items.get(query.get("key", ""))
        return (200, item) if item is not None else (404, {})

    async def _async_watch(self, prefix: str, after: int, wait_ms: int) -> dict[str, Any]:
        ends_s = time.monotonic() + wait_ms / 1000
        while True:
            events = [
                change
                for change in self._changes
                if change["revision"] > after and change["key"].startswith(prefix)
            ]
            left_s = ends_s - time.monotonic()
            if events or left_s <= 0:
                return {"events": events, "current_rev": self._revision}
            with suppress(TimeoutError):
                async with asyncio.timeout(left_s):
                    await self._changed.wait()


RunnerAnswer = Callable[["Runner", HttpMessage, asyncio.StreamWriter], Awaitable[None]]


class Runner:
    """A runner: answers 421 to requests for another instance, and records what it runs."""

    def __init__(self, runner_id: str, service: str, record: Record, answer: RunnerAnswer) -> None:
        self.runner_id = runner_id
        self.service = service
        self.record = record
        self.address = ""
        self.runs: list[str] = []
        self.ended: dict[str, str] = {}
        self._answer = answer
        self._server: asyncio.Server | None = None

    async def async_start(self) -> None:
        """Start listening, at the same address as before if there was one."""
        port = int(self.address.rpartition(":")[2] or 0)
        self._server = await asyncio.start_server(self._async_serve, "127.0.0.1", port)
        self.address = "127.0.0.1:%d" % self._server.sockets[0].getsockname()[1]

    def stop(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.close()

    def entry(self, zone: str, slots: int) -> dict[str, Any]:
        """Return the entry that the runner writes to the store."""
        return {
            "service": self.service,
            "address": self.address,
            "zone": zone,
            "version": "v1",
            "slots": slots,
            "state": "ready",
            "cold_left_ms": 0,
            "sequence": 1,
            "born": int(time.time() * 1000) - 60_000,
        }

    async def _async_serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with closing(writer), suppress(OSError, asyncio.IncompleteReadError):
            while True:
                request = await async_read_head(reader)
                request.body = await async_read_body(reader, request.fields)
                attempt_id = request.fields.get("x-attempt-id", "")
                if request.fields.get("x-expect-instance") != self.runner_id:
                    writer.write(
                        b"HTTP/1.1 421 -\r\nX-Instance-Id: %s\r\nX-Attempt-Id: %s\r\n"
                        b"Content-Length: 0\r\n\r\n"
                        % (self.runner_id.encode(), attempt_id.encode())
                    )
                    await writer.drain()
                    continue
                self.runs.append(attempt_id)
                self.record.write(f"runner {self.runner_id} runs {attempt_id}")
                try:
                    await self._async_run(request, reader, writer)
                    self.ended[attempt_id] = "complete"
                except OSError:
                    self.ended[attempt_id] = "cut by the caller"
                    raise
                finally:
                    state = self.ended.get(attempt_id, "cancelled")
                    self.record.write(f"runner {self.runner_id} ends {attempt_id}: {state}")

    async def _async_run(
        self, request: HttpMessage, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer a request; drop it when its connection closes."""
        answering = asyncio.ensure_future(self._answer(self, request, writer))
        closing = asyncio.ensure_future(async_wait_closed(reader))
        await asyncio.wait((answering, closing), return_when=asyncio.FIRST_COMPLETED)
        closing.cancel()
        if not answering.done():
            answering.cancel()
            raise ConnectionError("the caller closed the connection")
        answering.result()


async def async_wait_closed(reader: asyncio.StreamReader) -> None:
    """Return when the other side has closed the connection; callers send nothing meanwhile."""
    while not reader.at_eof():
        await asyncio.sleep(0.02)
        if reader.exception() is not None:
            return


def head_of(request: HttpMessage, *fields: str) -> bytes:
    """Return the head of a runner's success."""
    attempt_id = request.fields.get("x-attempt-id", "")
    lines = [
        "HTTP/1.1 200 OK",
        f"X-Attempt-Id: {attempt_id}",
        f"X-Server-Stamp: stamp.{attempt_id}",
        *fields,
    ]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


def plain_answer(work_s: float = 0.0225, size_bytes: int = 800) -> RunnerAnswer:
    """Return what answers with a body of some bytes after some work."""

    async def answer(runner: Runner, request: HttpMessage, writer: asyncio.StreamWriter) -> None:
        await asyncio.sleep(work_s)
        writer.write(head_of(request, f"Content-Length: {size_bytes}") + b"x" * size_bytes)
        await writer.drain()

    return answer


def stream_answer(events: int, gap_s: float, first_s: float = 0.05) -> RunnerAnswer:
    """Return what answers with a stream of events with increasing ids."""

    async def answer(runner: Runner, request: HttpMessage, writer: asyncio.StreamWriter) -> None:
        await asyncio.sleep(first_s)
        writer.write(
            head_of(request, "Content-Type: text/event-stream", "Transfer-Encoding: chunked")
        )
        for number in range(1, events + 1):
            event = b"id: %d\ndata: piece %d of %d\n\n" % (number, number, events)
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(gap_s)
        writer.write(b"0\r\n\r\n")
        await writer.drain()

    return answer


def route(name: str, kind: str, service: str, **fields: Any) -> dict[str, Any]:
    """Return a route whose prefix is its name."""
    return {
        "name": name,
        "host": HOST,
        "prefix": f"/{name}/",
        "kind": kind,
        "service": service,
        "public": False,
        "priority": 1,
        "max_attempts": 1,
    } | fields


def small_configuration() -> dict[str, Any]:
    """Return a configuration like that of a small deployment: streams and bookings."""
    return {
        "version": 1,
        "routes": [
            route(
                "chat",
                "streaming",
                "engines",
                timeout_ms=12_000,
                target_latency_ms=500,
                gap_aim_ms=200,
                stream_resume=False,
                session_affinity=True,
            ),
            route("book", "unsafe", "desk", timeout_ms=800, target_latency_ms=125),
        ],
        "services": [
            {
                "name": "engines",
                "max_connections": 480,
                "cold_start_s": 3.0,
                "cold_per_s": 18.0,
                "engine": {"slots": 96, "kv_capacity_tokens": 275_666, "stride": 6},
            },
            {"name": "desk", "max_connections": 96, "cold_start_s": 0.0, "cold_per_s": 0.0},
        ],
        "limits": {
            "max_header_bytes": 16_384,
            "max_body_bytes": MAX_BODY_BYTES,
            "header_timeout_ms": 3_000,
            "idle_timeout_ms": 15_000,
        },
        "tenants": [{"name": TENANT, "api_keys": [KEY]}],
    }


@dataclass(slots=True)
class Vm:
    """One entry VM: its settings file, and its process by the command of the deploy file."""

    name: str
    zone: str
    ip: str
    record: Record
    folder: Path
    settings: dict[str, Any]
    process: asyncio.subprocess.Process | None = None
    starts: int = 0
    keeps_running: bool = False
    exits: list[int] = field(default_factory=list)
    _task: asyncio.Task[None] | None = None

    @property
    def front(self) -> str:
        """Return the address for clients."""
        return str(self.settings["listen"]["front"])

    @property
    def directory(self) -> str:
        """Return the address for clients that ask where to connect."""
        return str(self.settings["listen"]["directory"])

    async def async_start(self) -> None:
        """Start the process and keep it running: one that ends is started again."""
        self.keeps_running = True
        await self._async_spawn()
        self._task = asyncio.ensure_future(self._async_restart())

    async def _async_spawn(self) -> None:
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text(encoding="utf-8"))
        role = deploy["roles"]["entry"]
        (metrics_port,) = free_ports(self.ip, 1)
        path = self.folder / f"{self.name}.yaml"
        path.write_text(json.dumps(self.settings), encoding="utf-8")
        environment = {
            name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ
        }
        environment |= {name: str(metrics_port) for name in role.get("env", {})}
        environment |= {
            "PYTHONPATH": str(ROOT / "target/deps"),
            "WAGTAILUSHER_CONFIG": str(path),
        }
        self.starts += 1
        with (self.folder / f"{self.name}.log").open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *role["run"].split(), cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self.record.write(f"{self.name} starts, process {self.starts}")

    async def _async_restart(self) -> None:
        while self.keeps_running:
            assert self.process is not None
            code = await self.process.wait()
            self.exits.append(code)
            self.record.write(f"{self.name} ends with {code}")
            if self.keeps_running:
                await asyncio.sleep(0.3)
                await self._async_spawn()

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)
            self.record.write(f"{self.name} gets {number.name}")

    async def async_stop(self) -> None:
        """End the process for good."""
        self.keeps_running = False
        if self._task is not None:
            self._task.cancel()
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()


def new_vms(
    record: Record, folder: Path, store: Store, zones: list[str], **limits: Any
) -> list[Vm]:
    """Return VMs, one for each zone named, which know each other by their seeds."""
    ips = [f"127.0.0.{11 + number}" for number in range(len(zones))]
    (peer_port,) = free_ports("127.0.0.1", 1)
    vms: list[Vm] = []
    control_ports = {ip: free_ports(ip, 4) for ip in ips}
    for ip, zone in zip(ips, zones, strict=True):
        front, ready, control, directory = control_ports[ip]
        name = f"front-{zone}-{len(vms) + 1}"
        settings = {
            "node_name": name,
            "role": "entry",
            "machine_class": "front",
            "serves": ["front", "control", "directory"],
            "ip": ip,
            "zone": zone,
            "region": "lv-central",
            "zones": dict.fromkeys(zones, "lv-central"),
            "listen": {
                "front": f"{ip}:{front}",
                "ready": f"{ip}:{ready}",
                "control": f"{ip}:{control}",
                "directory": f"{ip}:{directory}",
            },
            "internal_ports": [peer_port, peer_port],
            "seeds": [f"{other}:{control_ports[other][2]}" for other in ips[:3]],
            "bootstrap": True,
            "limits": {
                "cpu_share": 0.537,
                "cpu_cores": 2,
                "memory_mb": 150,
                "max_fds": 4200,
                "link_mbps": 1000.0,
                "disk_mb": 0,
            }
            | limits,
            "data_dir": None,
            "discovery": "platform",
            "entry": "directory",
            "heartbeat_ms": 1200,
            "bounds": {
                "contact_ms": 3000,
                "drain_ms": 2000,
                "grace_s": 8,
                "loss_slack_ms": 200,
                "config_apply_ms": 2000,
                "retry_budget_ratio": 0.2,
                "budget_window_s": 10,
                "retry_budget_slack": 52,
                "cold_overage": 1.5,
                "cold_slack": 5,
                "ttl_max_s": 5,
            },
            "platform": {"address": store.address, "form": "read", "reads_per_s": 2000},
        }
        vms.append(
            Vm(name=name, zone=zone, ip=ip, record=record, folder=folder, settings=settings)
        )
    return vms


@dataclass(slots=True)
class Sent:
    """One client attempt and what became of it."""

    attempt_id: str
    path: str
    vm: str
    sent_s: float = 0.0
    status: int | None = None
    fields: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    is_complete: bool = False
    ended_s: float = 0.0
    how: str = ""


class Connection:
    """A client's connection to one VM, which may be kept for several requests."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader = reader
        self.writer = writer
        self.may_be_reused = True

    @classmethod
    async def async_open(cls, address: str) -> Connection:
        """Connect; raise OSError if that takes more than a second or is refused."""
        host, _, port = address.rpartition(":")
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(host, int(port), limit=1 << 20)
        except TimeoutError as err:
            raise ConnectionError("no connection in time") from err
        return cls(reader, writer)

    def close(self) -> None:
        """Close the connection."""
        self.writer.close()


async def async_send(
    connection: Connection,
    record: Record,
    vm: str,
    path: str,
    *,
    deadline_ms: int,
    body: bytes = b"",
    key: str = KEY,
    fields: tuple[str, ...] = (),
) -> Sent:
    """Send a request on a connection and read its answer; never raises for a failure."""
    sent = Sent(attempt_id=uuid.uuid4().hex[:16], path=path, vm=vm)
    lines = [
        f"POST {path} HTTP/1.1",
        f"Host: {HOST}",
        f"X-Attempt-Id: {sent.attempt_id}",
        f"X-Deadline-Ms: {deadline_ms}",
        f"Authorization: Bearer {key}",
        f"Content-Length: {len(body)}",
        *fields,
    ]
    try:
        async with asyncio.timeout(deadline_ms / 1000):
            connection.writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
            await connection.writer.drain()
            sent.sent_s = record.write(f"client sends {sent.attempt_id} {path} to {vm}")
            head = await async_read_head(connection.reader)
            sent.status, sent.fields = head.status, head.fields
            if head.fields.get("connection", "").lower() == "close":
                connection.may_be_reused = False
            if "text/event-stream" in head.fields.get("content-type", ""):
                sent.body = await _async_read_stream(connection.reader, sent)
            else:
                sent.body = await async_read_body(connection.reader, head.fields)
            sent.is_complete, sent.how = True, "complete"
    except TimeoutError:
        sent.how = "deadline"
    except (OSError, ValueError, asyncio.IncompleteReadError):
        sent.how = "the connection ended" + (" in the answer" if sent.status else ", no answer")
    if not sent.is_complete:
        connection.may_be_reused = False
    if not connection.may_be_reused:
        connection.close()
    sent.ended_s = record.write(f"client has {sent.attempt_id}: {sent.status} {sent.how}")
    return sent


async def _async_read_stream(reader: asyncio.StreamReader, sent: Sent) -> bytes:
    """Read a chunked stream and keep what has arrived."""
    while True:
        line = await reader.readline()
        size = int(line.strip() or b"x", 16)
        sent.body += await reader.readexactly(size)
        await reader.readline()
        if not size:
            return sent.body


async def async_resolve(vms: list[Vm], zone: str) -> list[str]:
    """Ask up to three directories, one second each; return the addresses, empty if none answers."""
    nearest = sorted(vms, key=lambda vm: vm.zone != zone)
    for vm in nearest[:3]:
        writer: asyncio.StreamWriter | None = None
        try:
            async with asyncio.timeout(1.0):
                host, _, port = vm.directory.rpartition(":")
                reader, writer = await asyncio.open_connection(host, int(port))
                writer.write(
                    f"GET /resolve?name={HOST}&region=lv-central&zone={zone} HTTP/1.1\r\n"
                    f"Host: {vm.directory}\r\nConnection: close\r\n\r\n".encode()
                )
                head = await async_read_head(reader)
                body = await async_read_body(reader, head.fields)
        except (OSError, TimeoutError, ValueError, asyncio.IncompleteReadError):
            continue
        finally:
            if writer is not None:
                writer.close()
        if head.status == 200 and (addresses := json.loads(body).get("addresses")):
            return list(addresses)
    return []


async def async_wait_ready(vms: list[Vm], limit_s: float = 30.0) -> None:
    """Wait until the directory names all VMs; raise TimeoutError if it does not."""
    async with asyncio.timeout(limit_s):
        for vm in vms:
            while len(await async_resolve([vm], vm.zone)) < len(vms):
                await asyncio.sleep(0.1)


def new_folder() -> Path:
    """Return a new temporary folder."""
    return Path(tempfile.mkdtemp(prefix="review-"))


def remove_folder(folder: Path) -> None:
    """Remove a temporary folder."""
    shutil.rmtree(folder, ignore_errors=True)


def has_trouble() -> bool:
    """Return whether to make the disruption; TROUBLE=0 leaves it out."""
    return os.environ.get("TROUBLE", "1") != "0"
