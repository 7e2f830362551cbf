"""Stand-ins of the users' platform on loopback: the store, minions, the inventory and callers.

They follow `PROTOCOL.md` of the users' pages. A script starts the project's own programs beside them
with the commands of `deploy/system.toml`, and injects one disruption.
"""

import asyncio
import base64
import json
import os
import secrets
import shutil
import signal
import socket
import sys
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
DAEMON = os.path.join(ROOT, "target", "release", "sapphired")
HEARTBEAT_S = 1.5
DRAIN_S = 2.5
# The bounds of the small deployments (`sites/pastizal-sched.toml`).
BOUNDS = {
    "revocation": "5000ms", "lease_limit": "10000ms", "stop": "400ms", "status": "120s",
    "reclaim": "2900ms", "cancel": "3000ms", "remote_factor": "3", "checkpoint": "0.5s",
    "store_lease": "1000ms",
}
CANCEL_MS = 3000
HOLD_MAX_MS = 10000


class Unplayable(Exception):
    """The case can't run here."""


def steady():
    return time.monotonic()


def free_port(ip):
    with socket.socket() as probe:
        probe.bind((ip, 0))
        return probe.getsockname()[1]


async def read_message(reader):
    """Reads one HTTP message; returns its first line, headers and body, or None at the end."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return lines[0], headers, body


class Server:
    """HTTP/1.1 server. `handle` returns a status and an object, or None for no answer at all."""

    def __init__(self, ip, handle):
        self.ip, self.handle = ip, handle
        self.port = 0
        self.server = None
        self.writers = set()

    async def start(self, port=0):
        self.server = await asyncio.start_server(self.serve, self.ip, port)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    @property
    def address(self):
        return f"{self.ip}:{self.port}"

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                line, headers, body = await read_message(reader)
                method, target, _ = line.split(" ", 2)
                answer = await self.handle(method, target, headers, body)
                if answer is None:
                    # The connection stays open and returns nothing further.
                    await reader.read()
                    return
                status, value = answer
                data = json.dumps(value).encode()
                writer.write(
                    f"HTTP/1.1 {status} OK\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(data)}\r\n\r\n".encode() + data
                )
                await writer.drain()
        except (asyncio.IncompleteReadError, asyncio.LimitOverrunError, asyncio.CancelledError,
                ConnectionError, ValueError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def stop(self):
        if self.server:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()


class Store:
    """The platform's key-value store. Each entry has an address of its own, so that calls can be told
    apart."""

    def __init__(self, bed):
        self.bed = bed
        self.revision = 1
        self.items = {}
        self.log = []
        self.leases = {}
        self.next_lease = 77000
        self.changed = asyncio.Event()
        # Returns the seconds after which a write is carried out without an answer, or None.
        self.lose = lambda source, body: None
        self.lost_writes = 0
        self.writes = 0

    async def address_for(self, ip, source):
        async def handle(method, target, headers, body):
            return await self.call(source, method, target, body)

        return await Server(ip, handle).start()

    def item(self, key):
        value, revision, created, lease = self.items[key]
        return {"key": key, "value": base64.b64encode(value).decode(), "revision": revision,
                "created": created, "lease": lease}

    def change(self, key, value, lease):
        if value is None:
            if self.items.pop(key, None) is None:
                return
            self.log.append((self.revision, {"key": key, "revision": self.revision, "deleted": True}))
        else:
            created = self.items[key][2] if key in self.items else self.revision
            self.items[key] = (value, self.revision, created, lease)
            self.log.append((self.revision, self.item(key)))

    def notify(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def expire(self):
        now = steady()
        for lease in [lease for lease, (until, _) in self.leases.items() if now >= until]:
            self.end_lease(lease)

    def end_lease(self, lease):
        self.leases.pop(lease, None)
        keys = [key for key, item in self.items.items() if item[3] == lease]
        if keys:
            self.revision += 1
            for key in keys:
                self.change(key, None, 0)
            self.notify()

    def put(self, key, value):
        """A write of the operator."""
        self.revision += 1
        self.change(key, value, 0)
        self.notify()

    def transaction(self, body):
        self.expire()
        rows = body.get("expected_rev", [])
        current = [self.items.get(row["key"], (None, 0, 0, 0))[1] for row in rows]
        if any(found != row["revision"] for found, row in zip(current, rows)):
            items = [self.item(row["key"]) if row["key"] in self.items
                     else {"key": row["key"], "revision": 0} for row in rows]
            return 412, {"items": items}
        puts, removes = body.get("puts", []), body.get("remove", [])
        if any(put.get("lease") and put["lease"] not in self.leases for put in puts):
            return 404, {}
        if puts or removes:
            self.revision += 1
            for put in puts:
                self.change(put["key"], base64.b64decode(put["value"]), put.get("lease") or 0)
            for key in removes:
                self.change(key, None, 0)
            self.notify()
        return 200, {"revision": self.revision}

    async def call(self, source, method, target, body):
        self.expire()
        path, _, query = target.partition("?")
        query = dict(pair.split("=", 1) for pair in query.split("&") if "=" in pair)
        if path == "/kv-key":
            key = query["key"]
            return (200, self.item(key)) if key in self.items else (404, {})
        if path == "/kv-range":
            keys = sorted(key for key in self.items
                          if key.startswith(query["prefix"]) and key > query.get("after", ""))
            return 200, {"items": [self.item(key) for key in keys[:500]],
                         "has_more": len(keys) > 500, "store_revision": self.revision}
        if path == "/kv-watch":
            until = steady() + int(query["wait_ms"]) / 1000
            after = int(query["after"])
            while True:
                events = [event for revision, event in self.log
                          if revision > after and event["key"].startswith(query["prefix"])]
                left = until - steady()
                if events or left <= 0:
                    return 200, {"events": events, "store_revision": self.revision}
                changed = self.changed
                try:
                    await asyncio.wait_for(changed.wait(), min(left, 0.2))
                except asyncio.TimeoutError:
                    self.expire()
        if path == "/kv-lease":
            self.next_lease += 1
            ttl = json.loads(body)["ttl_ms"]
            self.leases[self.next_lease] = (steady() + ttl / 1000, ttl)
            return 200, {"lease": self.next_lease, "ttl_ms": ttl}
        if path.startswith("/kv-keep/"):
            lease = int(path.rsplit("/", 1)[1])
            if lease not in self.leases:
                return 404, {}
            ttl = self.leases[lease][1]
            self.leases[lease] = (steady() + ttl / 1000, ttl)
            return 200, {"ttl_ms": ttl}
        if path.startswith("/kv-lease-end/"):
            self.end_lease(int(path.rsplit("/", 1)[1]))
            return 200, {}
        if path == "/kv-txn":
            body = json.loads(body)
            is_write = bool(body.get("puts") or body.get("remove"))
            delay = self.lose(source, body) if is_write else None
            self.writes += is_write
            if delay is not None:
                self.lost_writes += 1
                asyncio.get_running_loop().call_later(delay, self.carry_out, source, body)
                return None
            await asyncio.sleep(0.004)
            return self.transaction(body)
        return 400, {}

    def carry_out(self, source, body):
        status, _ = self.transaction(body)
        keys = [put["key"] for put in body.get("puts", [])]
        self.bed.record(f"store carries out late: from={source} keys={keys} status={status}")


class Minion:
    """A minion with a machine of its own: runs tasks for the time that their spec names."""

    def __init__(self, bed, name, ip, zone, rack):
        self.bed, self.name, self.ip, self.zone, self.rack = bed, name, ip, zone, rack
        self.id = "i-" + secrets.token_hex(4)
        self.capacity = {"cpu": 128000, "mem_mb": 524288, "gpu": 8}
        self.began = steady()
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.fence = 0
        self.lease_until = 0.0
        self.running = {}
        self.closed = {}
        self.finished = []
        self.ends = 0
        self.server = Server(ip, self.handle)
        self.news = asyncio.Event()
        self.control = None
        self.state = "ready"
        self.acknowledged = None
        self.wake = asyncio.Event()
        self.has_left = False
        # Fails all that it starts, while its health is good.
        self.fails = False

    @property
    def labels(self):
        return ["a", self.rack]

    def clock_ms(self):
        return int((steady() - self.began) * 1000)

    async def start(self):
        await self.server.start()

    async def beat(self):
        """Reports to the agent at about every heartbeat interval."""
        while not self.has_left:
            self.sequence += 1
            body = {"service": "desk", "address": self.server.address, "zone": self.zone,
                    "version": "v1", "slots": 8, "state": self.state, "cold_remaining_ms": 0,
                    "capacity": self.capacity, "labels": self.labels, "born": self.born,
                    "clock_ms": self.clock_ms(), "call_seq": self.sequence}
            if self.state == "draining":
                body["remaining_ms"] = int(DRAIN_S * 1000)
            try:
                await call(self.control, "PUT", f"/instances/{self.id}", body, 1.0)
                self.acknowledged = self.state
                self.wake.clear()
                try:
                    await asyncio.wait_for(self.wake.wait(), HEARTBEAT_S)
                except asyncio.TimeoutError:
                    pass
            except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
                await asyncio.sleep(0.3)

    async def leave(self):
        """Drains, deregisters and ends, as when the platform takes the minion away."""
        self.state = "draining"
        self.bed.record(f"minion={self.name} drains")
        self.wake.set()
        while self.acknowledged != "draining":
            await asyncio.sleep(0.02)
        self.bed.record(f"minion={self.name} its drain is acknowledged")
        await asyncio.sleep(DRAIN_S + 0.5)
        self.has_left = True
        await call(self.control, "DELETE", f"/instances/{self.id}", None, 1.0)
        self.server.stop()
        for task in list(self.running):
            self.bed.terminated(self, task, self.running.pop(task)["run"])
        self.bed.record(f"minion={self.name} has left")

    async def work(self):
        """Ends runs that are done, were stopped or have lost their lease."""
        while True:
            await asyncio.sleep(0.01)
            now = steady()
            for task, run in list(self.running.items()):
                if now * 1000 >= self.began * 1000 + self.lease_until:
                    self.end(task, "lapsed")
                elif run["stop_at"] and now >= run["stop_at"]:
                    self.end(task, "stopped")
                elif now >= run["done_at"]:
                    self.end(task, run["how"])

    def end(self, task, how):
        run = self.running.pop(task)
        self.closed[task] = max(self.closed.get(task, 0), run["run"])
        self.ends += 1
        self.finished.append([self.ends, task, run["run"], how, ""])
        self.bed.ended(self, task, run["run"], how)
        self.news.set()
        self.news = asyncio.Event()

    def answer(self, **fields):
        return {"clock_ms": self.clock_ms(), "born": self.born, **fields}

    def extend(self, deadline):
        longest = self.clock_ms() + HOLD_MAX_MS
        self.lease_until = max(self.lease_until, min(deadline, longest))

    async def handle(self, method, target, headers, body):
        expected = headers.get("x-expect-instance")
        if expected and expected != self.id:
            return 421, {}
        if method != "POST":
            return 200, {}
        body = json.loads(body)
        token = body.get("fencing_token", 0)
        if token < self.fence:
            return 409, self.answer(reason="fence")
        self.fence = token
        if target == "/hold":
            if "deadline_ms" in body:
                self.extend(body["deadline_ms"])
            self.finished = [end for end in self.finished if end[0] > body.get("last_seen", 0)]
            wait = min(body.get("wait_ms", 0), 2000) / 1000
            if wait and not self.finished:
                try:
                    await asyncio.wait_for(self.news.wait(), wait)
                except asyncio.TimeoutError:
                    pass
            now = steady()
            rows = [[task, run["run"], run.get("saved", ""), min(100, int(100 * (now - run["began"]) / run["work"]))]
                    for task, run in self.running.items()]
            return 200, self.answer(running=rows, finished=self.finished[:500])
        if target == "/run-start":
            return self.run_start(body)
        if target == "/run-stop":
            task, number = body["task"], body["run_id"]
            self.closed[task] = max(self.closed.get(task, 0), number)
            run = self.running.get(task)
            if run and run["run"] == number and not run["stop_at"]:
                run["stop_at"] = steady() + 0.1
            return 200, self.answer()
        return 400, {}

    def run_start(self, body):
        task, number = body["task"], body["run_id"]
        known = self.running.get(task)
        if known and known["run"] == number:
            return 200, self.answer()
        if body["deadline_ms"] <= self.clock_ms():
            return 409, self.answer(reason="late")
        self.extend(body["deadline_ms"])
        if number <= self.closed.get(task, 0) or known:
            return 409, self.answer(reason="old")
        now = steady()
        spec = json.loads(body["spec"])
        work = spec["work_s"]
        # A task that lasts is at work after a short startup, and goes on.
        goes_on = spec.get("lasts") and not self.fails
        self.running[task] = {"run": number, "began": now, "work": work, "stop_at": None,
                              "done_at": float("inf") if goes_on else now + work,
                              "how": "failed" if self.fails else "done"}
        self.bed.started(self, task, number, body["fencing_token"])
        return 200, self.answer()


async def call(address, method, path, body=None, timeout=3.0, headers=None):
    """Sends one request on a connection of its own; returns the status and the body."""
    host, port = address.rsplit(":", 1)

    async def exchange():
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            data = b"" if body is None else json.dumps(body).encode()
            lines = [f"{method} {path} HTTP/1.1"]
            fields = {"Host": address, "Content-Type": "application/json",
                      "Content-Length": str(len(data)), **(headers or {})}
            lines += [f"{name}: {value}" for name, value in fields.items()]
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + data)
            await writer.drain()
            line, _, answer = await read_message(reader)
            return int(line.split(" ")[1]), answer
        finally:
            writer.close()

    return await asyncio.wait_for(exchange(), timeout)


class Process:
    """A process of the project."""

    def __init__(self, bed, role, name, lines):
        self.bed, self.role, self.name = bed, role, name
        self.path = os.path.join(bed.folder, f"{name}.yaml")
        with open(self.path, "w") as file:
            file.write("\n".join(lines) + "\n")
        self.child = None
        self.exits = []

    async def start(self):
        self.log = open(os.path.join(self.bed.folder, f"{self.name}.log"), "ab")
        self.child = await asyncio.create_subprocess_exec(
            DAEMON, self.role, "--settings", self.path, stdout=self.log, stderr=self.log,
            stdin=asyncio.subprocess.DEVNULL, cwd=ROOT)

    async def keep(self):
        """Starts the process again after a short delay whenever it has ended, as the platform does."""
        while True:
            code = await self.child.wait()
            self.exits.append((self.bed.time(), code))
            self.bed.record(f"{self.name} ended: code={code}")
            await asyncio.sleep(1.0)
            await self.start()

    def signal(self, number):
        if self.child and self.child.returncode is None:
            os.kill(self.child.pid, number)


class Bed:
    """A small deployment: three entries, and agents with their minions."""

    def __init__(self, folder, entries=3, minions=4):
        self.out = open(os.path.join(folder, "record.txt"), "w")
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.began = steady()
        self.tasks = []
        self.starts = []
        self.ends = []
        self.store = Store(self)
        self.entries, self.agents, self.minions = [], [], []
        self.counts = (entries, minions)
        self.host, self.prefix, self.key = "nony24.example", "/lohu930/", "d4a3hwrr6x73d3zji9n7"
        # The queue of priority 0, and the key of the tenant that has a guarantee.
        self.urgent_prefix, self.sure_key = "/pufi791/", "3hh2b9wu3fexd9dnn2ct"

    def time(self):
        return steady() - self.began

    def record(self, text):
        self.out.write(f"{self.time():8.3f} {text}\n")
        self.out.flush()

    def started(self, minion, task, number, token):
        self.starts.append((self.time(), minion.name, task, number))
        self.record(f"minion={minion.name} starts task={task} run={number} token={token}")

    def ended(self, minion, task, number, how):
        self.ends.append((self.time(), minion.name, task, number, how))
        self.record(f"minion={minion.name} task={task} run={number} ended={how}")

    def terminated(self, minion, task, number):
        self.ends.append((self.time(), minion.name, task, number, "terminated"))
        self.record(f"minion={minion.name} task={task} run={number} ends with its minion")

    def spawn(self, coroutine):
        self.tasks.append(asyncio.ensure_future(coroutine))

    def config(self):
        def route(name, prefix, priority, latency, slack):
            return {"name": name, "host": self.host, "prefix": prefix, "kind": "non_idempotent",
                    "timeout_ms": 3000, "target_latency_ms": latency, "priority": priority,
                    "service": "desk", "max_attempts": 4, "slack_factor": slack,
                    "anonymous": False}

        routes = [route("r-ce7ejsm", self.prefix, 1, 1200, 3.0),
                  route("r-zzyyjsg", self.urgent_prefix, 0, 500, 1.5)]
        return {"version": 7, "routes": routes,
                "services": [{"name": "desk", "health_path": "/healthz", "max_connections": 64,
                              "protocol": "h1", "tls": False, "enforces_capacity": False,
                              "standby": False}],
                "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144,
                           "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
                "tenants": [{"name": "kaje80", "api_keys": [self.key], "priority": 1,
                             "guaranteed": {"gpu": 0}},
                            {"name": "mono27", "api_keys": [self.sure_key], "priority": 1,
                             "guaranteed": {"gpu": 16}}]}

    async def list_machines(self, method, target, headers, body):
        rows = [{"machine": f"m-{minion.name}", "pool": "desk", "state": "up", "zone": minion.zone,
                 "labels": minion.labels, "capacity": minion.capacity, "id": minion.id}
                for minion in self.minions if not minion.has_left]
        return 200, {"machines": rows, "next_token": None}

    async def start(self):
        if not os.path.exists(DAEMON):
            raise Unplayable(f"{DAEMON} is not built")
        self.store.put("op/config", json.dumps(self.config()).encode())
        cloud = await Server("127.0.0.1", self.list_machines).start()
        entries, minions = self.counts
        ips = [f"127.0.1.{index + 1}" for index in range(entries)]
        controls = [f"{ip}:{free_port(ip)}" for ip in ips]
        seeds = json.dumps(controls)
        bounds = [f"  {name}: {value}" for name, value in BOUNDS.items()]
        for index, ip in enumerate(ips):
            store = await self.store.address_for("127.0.0.1", f"entry-{index + 1}")
            callers, ready = f"{ip}:{free_port(ip)}", f"{ip}:{free_port(ip)}"
            lines = ["platform: kv", f'name: "entry-{index + 1}"', f'region: "r{index + 1}"',
                     f'zone: "z{index + 1}"', f'address: "{controls[index]}"',
                     f'callers: "{callers}"', f'ready: "{ready}"',
                     f'metrics: "{ip}:{free_port(ip)}"', f'store: "{store.address}"',
                     f"entries: {seeds}", f'inventory: "{cloud.address}"', "bounds:", *bounds,
                     "speeds:", "  unequal_from: 1.4"]
            entry = Process(self, "entry", f"entry-{index + 1}", lines)
            entry.callers, entry.ready, entry.control = callers, ready, controls[index]
            self.entries.append(entry)
        for index in range(minions):
            ip = f"127.0.2.{index + 1}"
            minion = Minion(self, f"w{index + 1}", ip, f"z{index % 3 + 1}", f"rack-{index % 2}")
            await minion.start()
            minion.control = f"{ip}:{free_port(ip)}"
            lines = ["platform: kv", f'name: "agent-{index + 1}"', 'region: "r1"',
                     f'zone: "{minion.zone}"', f'address: "{ip}:{free_port(ip)}"',
                     f'minion: "{minion.control}"', f'tasks: "{minion.server.address}"',
                     f'metrics: "{ip}:{free_port(ip)}"', f"entries: {seeds}", "bounds:",
                     "  lease_limit: 10000ms", "  stop: 400ms"]
            agent = Process(self, "agent", f"agent-{index + 1}", lines)
            self.minions.append(minion)
            self.agents.append(agent)
        for process in self.entries + self.agents:
            await process.start()
            self.spawn(process.keep())
        for minion in self.minions:
            self.spawn(minion.beat())
            self.spawn(minion.work())
        await self.settle()

    async def settle(self):
        """Waits until all entries are ready and a job has run."""
        until = steady() + 20
        for entry in self.entries:
            while True:
                try:
                    status, _ = await call(entry.ready, "GET", "/readyz", timeout=1.0)
                    if status == 200:
                        break
                except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
                    pass
                if steady() > until:
                    raise Unplayable(f"{entry.name} is not ready")
                await asyncio.sleep(0.1)
        job = new_id()
        # In a queue of its own, so that nothing is learned of the run times of the other one.
        status, _ = await self.request(self.entries[0], "POST", self.urgent_prefix + job,
                                       plain(1, 0.3))
        while not any(task.startswith(job) for _, _, task, _, _ in self.ends):
            if status != 200 or steady() > until:
                raise Unplayable("the first job has not run")
            await asyncio.sleep(0.05)

    async def request(self, entry, method, path, body=None, timeout=3.0, key=None):
        headers = {"Host": self.host, "X-Key": key or self.key,
                   "X-Deadline-Ms": str(int(timeout * 1000))}
        try:
            status, answer = await call(entry.callers, method, path, body, timeout, headers)
        except asyncio.TimeoutError:
            status, answer = 0, b"(no answer in time)"
        except (OSError, asyncio.IncompleteReadError):
            status, answer = 0, b"(broken connection)"
        text = "" if body is None else json.dumps(body)[:300]
        self.record(f"{entry.name} {method} {path} {text} -> {status or 'none'} {answer.decode()}")
        return status, answer

    async def submit(self, entry, job, body, timeout=3.0):
        return await self.request(entry, "POST", self.prefix + job, body, timeout)

    async def cancel(self, entry, job, timeout=3.0):
        return await self.request(entry, "DELETE", self.prefix + job, None, timeout)

    async def leader(self):
        """Name of the entry that holds the leader key, as the store has it."""
        self.store.expire()
        value = self.store.items.get("lead", (b"",))[0]
        for entry in self.entries:
            if entry.name.encode() in value:
                return entry
        return None

    async def stop(self):
        for task in self.tasks:
            task.cancel()
        for process in self.entries + self.agents:
            process.signal(signal.SIGCONT)
            process.signal(signal.SIGKILL)
        for process in self.entries + self.agents:
            if process.child:
                await process.child.wait()
        keep = os.environ.get("KEEP")
        if keep:
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)
        self.out.close()


def new_id():
    return secrets.token_hex(8)


def plain(count, work_s, **fields):
    """A job of one step."""
    step = {"count": count, "cpu": 1000, "mem_mb": 1024, "gpu": 1,
            "estimate_ms": int(work_s * 1000), **fields}
    return {"spec": json.dumps({"work_s": work_s}), "steps": [step]}


def lasting(count, gpu, rack="", estimate_ms=10000):
    """A job of one step whose tasks run until the job is cancelled."""
    step = {"count": count, "cpu": 1000, "mem_mb": 1024, "gpu": gpu, "estimate_ms": estimate_ms,
            "long_running": True}
    if rack:
        step["affinity"] = rack
    return {"spec": json.dumps({"work_s": 0.3, "lasts": True}), "steps": [step]}


def play(folder, case, **options):
    """Plays a case; exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run."""
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def run():
        bed = Bed(folder, **options)
        try:
            await bed.start()
            faults = await case(bed, trouble)
            for fault in faults:
                bed.record(f"BROKEN: {fault}")
            if not faults:
                bed.record("held")
            return 1 if faults else 0
        except Unplayable as error:
            bed.record(f"could not run: {error}")
            return 2
        finally:
            await bed.stop()

    try:
        code = asyncio.run(asyncio.wait_for(run(), 115))
    except asyncio.TimeoutError:
        code = 2
    sys.exit(code)
