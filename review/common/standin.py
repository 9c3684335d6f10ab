"""Stand-ins of the platform, of its servers and of clients, and the start of real hosts.

They follow the users' pages. Only the standard library is used. All addresses are loopback addresses.
"""

import asyncio
import json
import os
import random
import shutil
import signal
import socket
import sys
import tempfile
import time
import traceback

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))


class Record:
    """Writes what happened to record.txt, with the seconds since the start."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self.start = time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def write(self, text):
        self.file.write(f"{self.now():9.3f} {text}\n")

    def close(self):
        self.file.close()


# HTTP/1.1

class Message:
    """The head and the body of a request or a response."""

    def __init__(self, first, headers, body):
        self.first = first
        self.headers = headers
        self.body = body

    @property
    def method(self):
        return self.first.split(" ")[0]

    @property
    def target(self):
        return self.first.split(" ")[1]

    @property
    def status(self):
        return int(self.first.split(" ")[1])

    def get(self, name, default=None):
        return self.headers.get(name.lower(), default)


async def read_head(reader):
    """Reads the head of a message; none at the end of the channel."""
    try:
        text = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise
        return None
    lines = text.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_chunks(reader):
    body = b""
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        piece = await reader.readexactly(size + 2)
        if size == 0:
            return body
        body += piece[:-2]


async def read_message(reader):
    """Reads a whole message whose body has a length or chunks; none at the end of the channel."""
    head = await read_head(reader)
    if head is None:
        return None
    first, headers = head
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = await read_chunks(reader)
    else:
        body = await reader.readexactly(int(headers.get("content-length", "0")))
    return Message(first, headers, body)


def response(status, reason, headers, body=b""):
    lines = [f"HTTP/1.1 {status} {reason}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines += [f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode() + body


def json_response(status, content):
    return response(status, "-", {"Content-Type": "application/json"}, json.dumps(content).encode())


def free_port(ip):
    with socket.socket() as probe:
        probe.bind((ip, 0))
        return probe.getsockname()[1]


async def serve(ip, port, handle, limit=1 << 23):
    async def serve_one(reader, writer):
        try:
            sock = writer.get_extra_info("socket")
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            await handle(reader, writer)
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError, BrokenPipeError):
            pass
        finally:
            writer.close()

    return await asyncio.start_server(serve_one, ip, port, limit=limit, backlog=512)


# The platform's store

class Store:
    """The platform's store: objects by kind and name, one counter of revisions, watches."""

    def __init__(self):
        self.kinds = {}
        self.history = []
        self.revision = 1
        self.changed = asyncio.Event()

    async def start(self, ip):
        self.port = free_port(ip)
        self.address = f"{ip}:{self.port}"
        self.server = await serve(ip, self.port, self.handle)

    def _note(self, kind, item, deleted):
        self.history.append((self.revision, kind, json.loads(json.dumps(item)), deleted))
        self.changed.set()
        self.changed = asyncio.Event()

    def set(self, kind, name, spec):
        """Writes an object, as the operator or a server does."""
        self.revision += 1
        known = self.kinds.setdefault(kind, {}).get(name)
        created = known["metadata"]["create_revision"] if known else self.revision
        item = {
            "metadata": {"name": name, "revision": self.revision, "create_revision": created,
                         "finalizers": [], "deleting": False},
            "spec": spec,
            "status": None,
        }
        self.kinds[kind][name] = item
        self._note(kind, item, False)
        return item

    def remove(self, kind, name):
        item = self.kinds.get(kind, {}).pop(name, None)
        if item is not None:
            self.revision += 1
            item["metadata"]["revision"] = self.revision
            self._note(kind, item, True)
        return item

    async def handle(self, reader, writer):
        while True:
            request = await read_message(reader)
            if request is None:
                return
            writer.write(await self.answer(request))
            await writer.drain()

    async def answer(self, request):
        path, _, query = request.target.partition("?")
        fields = dict(part.split("=", 1) for part in query.split("&") if "=" in part)
        parts = path.split("/")[3:]
        kind, name = parts[0], (parts[1] if len(parts) > 1 else None)
        items = self.kinds.setdefault(kind, {})
        if request.method == "GET" and name is None and "watch" in fields:
            return await self.watch(kind, int(fields["watch"]), int(fields["wait_ms"]))
        if request.method == "GET" and name is None:
            names = sorted(n for n in items if n > fields.get("after", ""))
            page = names[:500]
            return json_response(200, {"items": [items[n] for n in page],
                                       "has_more": len(names) > len(page), "as_of": self.revision})
        if request.method == "GET":
            known = items.get(name)
            return json_response(200, known) if known else json_response(404, {})
        if request.method == "DELETE":
            known = self.remove(kind, name)
            return json_response(200, known) if known else json_response(404, {})
        content = json.loads(request.body)
        metadata = content.get("metadata", {})
        if request.method == "POST":
            if metadata["name"] in items:
                return json_response(409, items[metadata["name"]])
            return json_response(201, self.set(kind, metadata["name"], content.get("spec")))
        known = items.get(name)
        if known is None:
            return json_response(404, {})
        if metadata.get("revision") and metadata["revision"] != known["metadata"]["revision"]:
            return json_response(409, known)
        if known["spec"] == content.get("spec"):
            return json_response(200, known)
        return json_response(200, self.set(kind, name, content.get("spec")))

    async def watch(self, kind, since, wait_ms):
        until = time.monotonic() + wait_ms / 1000
        while True:
            events = [{"object": item, "deleted": deleted}
                      for revision, of, item, deleted in self.history if revision > since and of == kind]
            left = until - time.monotonic()
            if events or left <= 0:
                return json_response(200, {"events": events, "as_of": self.revision})
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass


# Hosts

SETTINGS = """
node_name = "{name}"
role = "entry"
machine_class = "front"
serves = ["front","control"]
ip = "{ip}"
zone = "{zone}"
region = "bc-west"
internal_ports = [{first},{last}]
seeds = [{seeds}]
bootstrap = {bootstrap}
in_tolerance = false
discovery = "platform"
entry = "vip"
heartbeat_ms = 1200
contracts = ["base","drain","config","cost","retry","recover","split","stream","engine","platform"]
[zones]
bcw-a = "bc-west"
bcw-b = "bc-west"
bcw-c = "bc-west"
[listen]
front = "{ip}:{front}"
ready = "{ip}:{ready}"
control = "{ip}:{control}"
[limits]
cpu_share = 0.25
cores = 1
memory_mb = {memory_mb}
max_fds = 4100
link_mbps = 1000.0
disk_mb = 0
[fault_tolerance]
machines = 1
zones = 1
regions = 0
[bounds]
{bounds}
[platform]
address = "{store}"
form = "objects"
writes_per_s = 400
reads_per_s = 2000
history_s = 20
value_bytes = 1048576
ttl_min_ms = 1000
"""


# The bounds of clcs-orders; a case replaces those that differ on its site.
BOUNDS = {
    "seed_lag_s": 3, "addr_reuse_s": 2, "contact_ms": 3000, "ack_ms": 4000, "catch_up_s": 4, "drain_ms": 2000, "grace_s": 8,
    "loss_slack_ms": 200, "config_apply_ms": 2000, "rollback_slack_ms": 250, "max_stretch_ms": 5000,
    "retry_budget_ratio": 0.2, "budget_window_s": 10, "budget_extra": 58, "recover_s": 12, "transit_ms": 120, "again_s": 5.7,
    "fencing_enforced": True, "lease_ms": 3000, "thaw_ms": 300,
}


class Host:
    """A real host, started as the deploy file says."""

    def __init__(self, fleet, name, ip, zone):
        self.fleet, self.name, self.ip, self.zone = fleet, name, ip, zone
        self.front, self.ready, self.control = (free_port(ip) for _ in range(3))
        self.first = random.randrange(20000, 29000)
        self.process = None
        self.starts = 0

    def write_settings(self):
        text = SETTINGS.format(
            name=self.name, ip=self.ip, zone=self.zone, first=self.first, last=self.first + 15,
            seeds=",".join(f'"{host.ip}:{host.control}"' for host in self.fleet.hosts[:3]),
            bootstrap="true" if self.starts == 0 else "false",
            front=self.front, ready=self.ready, control=self.control,
            memory_mb=self.fleet.memory_mb,
            bounds="\n".join(f"{name} = {json.dumps(value)}" for name, value in self.fleet.bounds.items()),
            store=self.fleet.store.address)
        with open(self.settings_path, "w", encoding="utf-8") as file:
            file.write(text)

    @property
    def settings_path(self):
        return os.path.join(self.fleet.folder, f"{self.name}.toml")

    async def start(self):
        self.write_settings()
        self.starts += 1
        log = open(os.path.join(self.fleet.folder, f"{self.name}.log"), "ab")
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        environment["BAYPLANK_BOOT"] = self.settings_path
        self.process = await asyncio.create_subprocess_exec(
            os.path.join(ROOT, "target/release/bayplank-platform"), cwd=ROOT, env=environment,
            stdin=asyncio.subprocess.DEVNULL, stdout=log, stderr=log)
        log.close()

    def signal(self, number):
        try:
            self.process.send_signal(number)
        except ProcessLookupError:
            pass

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection(self.ip, self.ready)
            writer.write(b"GET /api/ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n")
            answer = await asyncio.wait_for(read_message(reader), 1)
            writer.close()
            return answer is not None and answer.status == 200
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return False


class Fleet:
    """The hosts before one store, with a temporary folder for their settings and logs."""

    def __init__(self, record, store, count, memory_mb=110, **bounds):
        self.record, self.store = record, store
        self.memory_mb, self.bounds = memory_mb, {**BOUNDS, **bounds}
        self.folder = tempfile.mkdtemp(prefix="review-")
        block = f"127.{random.randrange(10, 250)}.{random.randrange(250)}"
        zones = ["bcw-a", "bcw-b", "bcw-c"]
        self.hosts = []
        for number in range(count):
            host = Host(self, f"front-{number + 1}", f"{block}.{number + 1}", zones[number % 3])
            self.hosts.append(host)

    async def start(self, patience=15):
        for host in self.hosts:
            await host.start()
        until = time.monotonic() + patience
        while time.monotonic() < until:
            ready = [await host.is_ready() for host in self.hosts]
            if all(ready):
                return True
            await asyncio.sleep(0.1)
        return False

    async def stop(self):
        for host in self.hosts:
            if host.process is not None and host.process.returncode is None:
                host.signal(signal.SIGCONT)
                host.signal(signal.SIGKILL)
                await host.process.wait()
        if os.environ.get("KEEP") == "1":
            print("kept", self.folder, file=sys.stderr)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


# Clients

def request_bytes(method, path, request_id, deadline_ms, headers=(), body=b"", close=True):
    lines = [f"{method} {path} HTTP/1.1", "Host: shop.example", f"Request-Id: {request_id}",
             f"Deadline-Ms: {deadline_ms}"]
    lines += [f"{name}: {value}" for name, value in headers]
    if close:
        lines.append("Connection: close")
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


async def call(host, text, timeout_s):
    """Sends a request on a new channel. Returns the answer, or why there is none."""
    writer = None
    try:
        reader, writer = await asyncio.wait_for(asyncio.open_connection(host.ip, host.front), 1)
        writer.write(text)
        answer = await asyncio.wait_for(read_message(reader), timeout_s)
        return answer if answer is not None else "closed"
    except asyncio.TimeoutError:
        return "no answer"
    except (OSError, asyncio.IncompleteReadError) as error:
        return f"broken: {type(error).__name__}"
    finally:
        if writer is not None:
            writer.close()


def manifest(version, routes, services, max_body_bytes=4194304):
    return {"version": version, "routes": routes, "services": services,
            "limits": {"max_header_bytes": 16384, "max_body_bytes": max_body_bytes,
                       "header_timeout_ms": 3000, "idle_timeout_ms": 15000}}


def route(name, prefix, kind, service, attempts, timeout_ms, aim_ms, priority=1, **more):
    return {"name": name, "host": "shop.example", "path_prefix": prefix, "kind": kind,
            "timeout_ms": timeout_ms, "target_latency_ms": aim_ms, "priority": priority,
            "service": service, "retry_attempts": attempts, "sticky": False, **more}


def plain_service(name, max_conns=110):
    return {"name": name, "health_path": "/health", "max_conns": max_conns, "protocol": "h1", "tls": False}


def server_spec(service, address, zone, slots, **more):
    return {"service": service, "address": address, "zone": zone, "version": "v1", "slots": slots,
            "state": "ready", "cold_left_ms": 0, "call_seq": 0, **more}


def run(main):
    """Runs a case and ends the process with its result; 2 if the case itself failed."""
    async def run_main():
        task = asyncio.current_task()
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
        return await main()

    try:
        result = asyncio.run(run_main())
    except BaseException:
        traceback.print_exc()
        result = 2
    sys.exit(result)
