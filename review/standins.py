"""Stand-ins for the scripts of the review: the platform's store, minions and clients. Also starts the
processes of the project, with the commands and the settings templates of the deploy file.

Everything is on loopback addresses and the real clock. Each machine has an address of its own, so
that all machines use the same ports. Needs Python 3.11 or later, and nothing else.
"""

import asyncio
import base64
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import tomllib

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
CALLERS, READY, CONTROL, INTERNAL, METRICS, APP, STORE = 8521, 8523, 8526, 7000, 9100, 8529, 8524
SERVICE, HOST, KEY = "biomasa", "nony24.example", "0f3a9c5d71e24b86"
HEARTBEAT_S, HOLD_MAX_MS, GANG_S = 1.5, 10_000, 3.0
BOUNDS = {
    "seed_lag_s": 3, "contact_ms": 4000, "ack_timeout_ms": 5000, "drain_ms": 2500, "grace_s": 6,
    "revoke_ms": 5000, "hold_max_ms": HOLD_MAX_MS, "stop_ms": 400, "gang_ms": 3000,
    "cancel_ms": 3000, "visible_ms": 3000, "status_s": 120, "remote_factor": 3,
    "checkpoint_s": 0.5, "restore_ms": 100, "lease_ms": 3000, "reclaim_ms": 2900,
}


class CannotRun(Exception):
    """The case could not be played."""


class NoAnswer(Exception):
    """A stand-in leaves a call unanswered."""


class Record:
    """Writes what was sent, answered and run, with seconds since the start."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.began = time.monotonic()

    def now(self):
        return time.monotonic() - self.began

    def line(self, text):
        self.file.write(f"{self.now():8.3f} {text}\n")
        self.file.flush()


# --- HTTP -----------------------------------------------------------------------------------------


async def read_message(reader):
    """Reads one HTTP message; returns its start line, headers and body."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode().split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name:
            headers[name.strip().lower()] = value.strip()
    length = int(headers.get("content-length", 0))
    return lines[0], headers, await reader.readexactly(length) if length else b""


class Server:
    """HTTP server. `serve(method, target, headers, body)` returns a status and an object."""

    def __init__(self, address, port, serve):
        self.address, self.port, self.serve = address, port, serve
        self.server, self.writers = None, set()
        # Calls are carried out, but not answered.
        self.is_mute = False

    async def open(self):
        self.server = await asyncio.start_server(self.connected, self.address, self.port)

    async def connected(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                start, headers, body = await read_message(reader)
                method, target, _ = start.split(" ")
                try:
                    status, answer = await self.serve(method, target, headers, body)
                except NoAnswer:
                    await asyncio.sleep(3600)
                if self.is_mute:
                    await asyncio.sleep(3600)
                data = b"" if answer is None else json.dumps(answer).encode()
                head = f"HTTP/1.1 {status} Status\r\nContent-Type: application/json\r\n"
                writer.write(f"{head}Content-Length: {len(data)}\r\n\r\n".encode() + data)
                await writer.drain()
        except (asyncio.IncompleteReadError, OSError, asyncio.CancelledError):
            # The peer has closed the connection, or the case is over.
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def close(self):
        """Ends as a process does that is killed: nothing listens, and connections are closed."""
        if self.server:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()
        self.server = None


async def call(address, port, method, target, headers=None, body=None, timeout=3.0):
    """Makes a call on a connection of its own; returns status and object, or None."""

    async def exchange():
        reader, writer = await asyncio.open_connection(address, port)
        try:
            data = b"" if body is None else json.dumps(body).encode()
            lines = [f"{method} {target} HTTP/1.1"]
            lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
            if not any(name.lower() == "host" for name in headers or {}):
                lines.append(f"Host: {address}:{port}")
            lines += ["Content-Type: application/json", f"Content-Length: {len(data)}"]
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + data)
            start, _, answer = await read_message(reader)
            return int(start.split(" ")[1]), json.loads(answer) if answer else None
        finally:
            writer.close()

    try:
        return await asyncio.wait_for(exchange(), timeout)
    except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError, ValueError):
        return None


# --- the platform's store -------------------------------------------------------------------------


class Store:
    """The platform's metadata store."""

    def __init__(self, address, record):
        self.server = Server(address, STORE, self.serve)
        self.record = record
        self.items, self.leases, self.history = {}, {}, []
        self.revision = 1
        self.changed = asyncio.Event()
        self.is_down = False

    async def open(self):
        await self.server.open()

    def shown(self, key):
        item = self.items.get(key)
        if item is None:
            return {"key": key, "revision": 0}
        return {"key": key, **item}

    def expire(self):
        now = time.monotonic()
        over = [lease for lease, (_, end) in self.leases.items() if now >= end]
        for lease in over:
            self.end_lease(lease)

    def end_lease(self, lease):
        self.leases.pop(lease, None)
        keys = [key for key, item in self.items.items() if item["lease"] == lease]
        if keys:
            self.apply([], keys)

    def apply(self, puts, removes):
        self.revision += 1
        for key in removes:
            if self.items.pop(key, None):
                self.history.append({"key": key, "revision": self.revision, "deleted": True})
        for put in puts:
            key, before = put["key"], self.items.get(put["key"])
            created = before["created"] if before else self.revision
            self.items[key] = {
                "value": put["value"], "revision": self.revision, "created": created,
                "lease": put.get("lease") or 0,
            }
            self.history.append({"key": key, **self.items[key]})
        self.changed.set()
        self.changed = asyncio.Event()
        return self.revision

    def operator_writes(self, key, value):
        data = base64.b64encode(json.dumps(value).encode()).decode()
        self.apply([{"key": key, "value": data}], [])

    async def serve(self, method, target, headers, body):
        await asyncio.sleep(0.004)
        if self.is_down:
            raise NoAnswer
        self.expire()
        path, _, query = target.partition("?")
        args = dict(part.split("=", 1) for part in query.split("&") if part)
        if path == "/kv-key":
            if args["key"] not in self.items:
                return 404, {}
            return 200, {**self.shown(args["key"]), "store_revision": self.revision}
        if path == "/kv-range":
            keys = sorted(key for key in self.items
                          if key.startswith(args["prefix"]) and key > args.get("after", ""))
            page = [self.shown(key) for key in keys[:500]]
            return 200, {"items": page, "has_more": len(keys) > 500,
                         "store_revision": self.revision}
        if path == "/kv-watch":
            return await self.watch(args["prefix"], int(args["after"]), int(args["wait_ms"]))
        if path == "/kv-txn":
            return self.transaction(json.loads(body))
        if path == "/kv-lease":
            ttl = max(1000, json.loads(body)["ttl_ms"])
            lease = random.randrange(1, 1 << 40)
            self.leases[lease] = (ttl, time.monotonic() + ttl / 1000)
            return 200, {"lease": lease, "ttl_ms": ttl}
        lease = int(path.rsplit("/", 1)[1])
        if lease not in self.leases:
            return 404, {}
        if path.startswith("/kv-keep/"):
            ttl, _ = self.leases[lease]
            self.leases[lease] = (ttl, time.monotonic() + ttl / 1000)
            return 200, {"lease": lease, "ttl_ms": ttl}
        self.end_lease(lease)
        return 200, {}

    async def watch(self, prefix, after, wait_ms):
        end = time.monotonic() + wait_ms / 1000
        while True:
            if self.is_down:
                raise NoAnswer
            self.expire()
            events = [event for event in self.history
                      if event["revision"] > after and event["key"].startswith(prefix)]
            left = end - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "store_revision": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), min(left, 0.05))
            except asyncio.TimeoutError:
                pass

    def transaction(self, body):
        conditions, puts, removes = body["expected_rev"], body["puts"], body["remove"]
        current = [self.shown(condition["key"]) for condition in conditions]
        if any(item["revision"] != condition["revision"]
               for item, condition in zip(current, conditions)):
            return 412, {"items": current}
        if any(put.get("lease") and put["lease"] not in self.leases for put in puts):
            return 404, {}
        if not puts and not removes:
            return 200, {"revision": self.revision}
        return 200, {"revision": self.apply(puts, removes)}


# --- minions --------------------------------------------------------------------------------------


class Run:
    def __init__(self, minion, task, number):
        self.minion, self.task, self.number = minion, task, number
        self.began, self.ended, self.how = time.monotonic(), None, None
        self.works_since = None


class World:
    """All minions, their runs, and the jobs that clients have sent."""

    def __init__(self, record):
        self.record = record
        # By job: `seconds` of work, `gang` (number of members), and `fails`, whether member 0 fails.
        self.jobs = {}
        self.runs = []
        # (task, run, end) of ends that `last_seen` has reached.
        self.noted = []

    def job(self, task):
        return self.jobs[task.split(".")[0]]

    def members(self, run):
        step = run.task.rsplit(".", 1)[0]
        return [other for other in self.runs if other.ended is None
                and other.task.rsplit(".", 1)[0] == step and other.number == run.number]

    def overlaps(self):
        """Pairs of runs of one task that were there at the same time, both minions being up."""
        found = []
        for at, one in enumerate(self.runs):
            for other in self.runs[at + 1:]:
                if one.task == other.task:
                    since = max(one.began, other.began)
                    until = min(one.ended or time.monotonic(), other.ended or time.monotonic())
                    if until > since:
                        found.append((one, other, until - since))
        return found


class Minion:
    """One incarnation of a minion."""

    def __init__(self, world, machine, name, born_ms=None):
        self.world, self.record, self.machine, self.name = world, world.record, machine, name
        self.born_ms = int(time.time() * 1000) if born_ms is None else born_ms
        self.started = time.monotonic()
        self.server = Server(machine.ip, APP, self.serve)
        self.token, self.lease_ms, self.calls, self.ends_made = 0, 0, 0, 0
        self.running, self.ends, self.closed = {}, [], {}
        self.is_up, self.has_ended = True, asyncio.Event()
        self.sends_heartbeats, self.tasks = True, []
        # The next order to start is left unanswered, to be carried out late.
        self.leaves_start = False

    async def open(self):
        await self.server.open()
        self.record.line(f"minion {self.name} of {self.machine.name} starts, born {self.born_ms}")
        self.tasks = [asyncio.ensure_future(self.beat()), asyncio.ensure_future(self.work())]

    async def crash(self):
        """The minion is gone, and with it everything that runs there."""
        self.is_up = False
        for task in self.tasks:
            task.cancel()
        await self.server.close()
        self.record.line(f"minion {self.name} of {self.machine.name} crashes")
        for run in list(self.running.values()):
            self.finish(run, "gone")

    def clock(self):
        return int((time.monotonic() - self.started) * 1000)

    def heartbeat(self):
        self.calls += 1
        return {
            "service": SERVICE, "address": f"{self.machine.ip}:{APP}", "zone": self.machine.zone,
            "version": "v1", "slots": 8, "state": "ready", "cold_remaining_ms": 0,
            "capacity": {"cpu": 128000, "mem_mb": 524288, "gpu": 8},
            "labels": ["a", self.machine.rack], "clock_ms": self.clock(), "born": self.born_ms,
            "call_seq": self.calls,
        }

    async def send(self, heartbeat):
        target = f"/instances/{self.name}"
        answer = await call(self.machine.ip, CONTROL, "PUT", target, body=heartbeat, timeout=1.0)
        status = answer[0] if answer else "none"
        self.record.line(f"heartbeat {heartbeat['call_seq']} of {self.name} to the agent of "
                         f"{self.machine.name}: answer {status}")

    async def beat(self):
        while True:
            if self.sends_heartbeats:
                await self.send(self.heartbeat())
            await asyncio.sleep(HEARTBEAT_S)

    def finish(self, run, how):
        run.ended, run.how = time.monotonic(), how
        self.running.pop(run.task, None)
        self.closed[run.task] = max(run.number, self.closed.get(run.task, 0))
        self.ends_made += 1
        self.ends.append([self.ends_made, run.task, run.number, how, ""])
        self.has_ended.set()
        self.record.line(f"{self.name} ends {run.task} run {run.number}: {how}")

    async def work(self):
        """Lets tasks make progress, and ends them when they are done or their lease is over."""
        while True:
            await asyncio.sleep(0.02)
            now = time.monotonic()
            if self.running and self.clock() >= self.lease_ms:
                for run in list(self.running.values()):
                    self.finish(run, "lapsed")
            for run in list(self.running.values()):
                job = self.world.job(run.task)
                members = self.world.members(run)
                if run.works_since is None:
                    if len(members) >= job.get("gang", 1):
                        run.works_since = now
                    elif now >= run.began + GANG_S:
                        self.finish(run, "alone")
                elif len(members) < job.get("gang", 1):
                    self.finish(run, "broken")
                elif now >= run.works_since + job["seconds"]:
                    self.end_work(run, job, members)

    def end_work(self, run, job, members):
        if not job.get("fails"):
            for member in members:
                member.minion.finish(member, "done")
        elif run.task.endswith(".0"):
            self.finish(run, "failed")

    async def serve(self, method, target, headers, body):
        await asyncio.sleep(0.001)
        if headers.get("x-expect-instance", self.name) != self.name:
            self.record.line(f"{self.name} answers 421 to a call that expects "
                             f"{headers['x-expect-instance']}")
            return 421, {"clock_ms": self.clock()}
        request = json.loads(body)
        if request["fencing_token"] < self.token:
            return 409, {"clock_ms": self.clock(), "reason": "fence"}
        self.token = request["fencing_token"]
        if target == "/hold":
            return await self.hold(request)
        task, number = request["task"], request["run_id"]
        if target == "/run-stop":
            self.closed[task] = max(number, self.closed.get(task, 0))
            run = self.running.get(task)
            self.record.line(f"{self.name} is told to stop {task} run {number}")
            if run and run.number == number:
                self.finish(run, "stopped")
            return 200, {"clock_ms": self.clock()}
        if self.leaves_start:
            self.leaves_start = False
            self.record.line(f"{self.name} leaves the order to start {task} run {number} unanswered")
            raise NoAnswer
        return self.start(task, number, request["deadline_ms"])

    def extend(self, deadline_ms):
        self.lease_ms = max(self.lease_ms, min(deadline_ms, self.clock() + HOLD_MAX_MS))

    def start(self, task, number, deadline_ms):
        clock = {"clock_ms": self.clock()}
        run = self.running.get(task)
        if run and run.number == number:
            return 200, clock
        if number <= self.closed.get(task, 0):
            self.extend(deadline_ms)
            return 409, {**clock, "reason": "old"}
        if deadline_ms <= self.clock():
            return 409, {**clock, "reason": "late"}
        self.extend(deadline_ms)
        run = Run(self, task, number)
        self.running[task] = run
        self.world.runs.append(run)
        self.record.line(f"{self.name} of {self.machine.name} starts {task} run {number}")
        return 200, clock

    async def hold(self, request):
        if "deadline_ms" in request:
            self.extend(request["deadline_ms"])
        for end in [end for end in self.ends if end[0] <= request["last_seen"]]:
            self.ends.remove(end)
            self.world.noted.append((end[1], end[2], end[3]))
            self.record.line(f"{self.name}: the end of {end[1]} run {end[2]} is taken note of")
        if not self.ends:
            self.has_ended.clear()
            try:
                await asyncio.wait_for(self.has_ended.wait(), request.get("wait_ms", 0) / 1000)
            except asyncio.TimeoutError:
                pass
        return 200, {"clock_ms": self.clock(), "born": self.born_ms,
                     "running": [self.row(run) for run in self.running.values()],
                     "finished": self.ends[:500]}

    def row(self, run):
        seconds = self.world.job(run.task)["seconds"]
        worked = 0 if run.works_since is None else time.monotonic() - run.works_since
        return [run.task, run.number, "", min(99, int(100 * worked / seconds)), 0]


# --- the project's own processes ------------------------------------------------------------------


def value_of(settings, name):
    for part in name.split("."):
        if isinstance(settings, dict):
            settings = settings.get(part)
        elif isinstance(settings, list) and part.isdigit() and int(part) < len(settings):
            settings = settings[int(part)]
        else:
            return None
    return settings


def fill_in(template, settings):
    """Fills in a template of the deploy file, as far as the project's templates go."""

    def section(match):
        value = value_of(settings, match[1])
        return fill_in(match[2], settings) if value not in (None, False) else ""

    def placeholder(match):
        value = value_of(settings, match[1])
        if match[2]:
            return json.dumps(value)
        return "" if value is None else str(value)

    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, template, flags=re.S)
    return re.sub(r"\{\{([\w.]+)(\|json)?\}\}", placeholder, text)


class Machine:
    """A machine of the system, with the one process of the project on it."""

    def __init__(self, role, name, ip, zone, rack=""):
        self.role, self.name, self.ip, self.zone, self.rack = role, name, ip, zone, rack
        self.process = self.log = None


class System:
    """A small deployment: entries and agents, the store, and one minion beside each agent."""

    def __init__(self, record, entries=3, agents=3):
        self.record = record
        self.folder = tempfile.mkdtemp(prefix="review-")
        with open(os.path.join(ROOT, "deploy/system.toml"), "rb") as file:
            self.roles = tomllib.load(file)["roles"]
        self.net = self.free_network(entries + agents + 1)
        self.store = Store(f"{self.net}.1", record)
        zones = ["valdivia-a", "osorno-a", "temuco-a"]
        self.entries = [Machine("entry", f"edge-{zones[at % 3]}-1", f"{self.net}.{10 + at}",
                                zones[at % 3]) for at in range(entries)]
        self.agents = [Machine("agent", f"side-{zones[at % 3]}-{1 + at // 3}",
                               f"{self.net}.{30 + at}", zones[at % 3], f"r{1 + at}-1")
                       for at in range(agents)]
        self.world = World(record)

    @staticmethod
    def free_network(machines):
        """A part of the loopback network on which all ports are free."""
        for _ in range(50):
            net = f"127.{random.randrange(20, 250)}.{random.randrange(1, 250)}"
            try:
                for last in [1, *range(10, 10 + machines), *range(30, 30 + machines)]:
                    for port in (CALLERS, READY, CONTROL, INTERNAL, METRICS, APP, STORE):
                        with socket.socket() as probe:
                            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                            probe.bind((f"{net}.{last}", port))
                return net
            except OSError:
                continue
        raise CannotRun("no free ports")

    def settings(self, machine):
        listen = {"control": f"{machine.ip}:{CONTROL}"}
        if machine.role == "entry":
            listen |= {"front": f"{machine.ip}:{CALLERS}", "ready": f"{machine.ip}:{READY}"}
        return {
            "node_name": machine.name, "role": machine.role, "ip": machine.ip,
            "zone": machine.zone, "region": f"region-of-{machine.zone}",
            "internal_port_range": [INTERNAL, INTERNAL + 15],
            "seed_nodes": [f"{entry.ip}:{CONTROL}" for entry in self.entries[:3]],
            "app": f"{machine.ip}:{APP}" if machine.role == "agent" else None,
            "listen": listen, "bounds": BOUNDS,
            "platform": {"address": f"{self.store.server.address}:{STORE}", "ttl_min_ms": 1000},
        }

    def start(self, machine):
        """Starts a machine's process with the command of the deploy file."""
        role = self.roles[machine.role]
        path = os.path.join(self.folder, f"{machine.name}.yaml")
        with open(os.path.join(ROOT, role["template"]), encoding="utf-8") as file:
            text = fill_in(file.read(), self.settings(machine))
        with open(path, "w", encoding="utf-8") as file:
            file.write(text)
        words = [path if word == "/etc/sapphireline/settings.toml" else word
                 for word in role["run"].split()]
        if not os.path.exists(os.path.join(ROOT, words[0])):
            raise CannotRun(f"{words[0]} is not built")
        machine.log = open(os.path.join(self.folder, f"{machine.name}.log"), "ab")
        machine.process = subprocess.Popen(words, cwd=ROOT, stdout=machine.log,
                                           stderr=subprocess.STDOUT, stdin=subprocess.DEVNULL)
        self.record.line(f"{machine.name} starts, process {machine.process.pid}")

    def kill(self, machine):
        machine.process.send_signal(signal.SIGKILL)
        machine.process.wait()
        self.record.line(f"{machine.name} is killed")

    def stop(self, machine):
        machine.process.send_signal(signal.SIGSTOP)
        self.record.line(f"{machine.name} freezes")

    def resume(self, machine):
        machine.process.send_signal(signal.SIGCONT)
        self.record.line(f"{machine.name} wakes")

    async def begin(self, queues):
        """Starts everything but the minions, and waits until the entries are ready."""
        await self.store.open()
        self.store.operator_writes("op/config", {
            "version": 7, "routes": queues,
            "services": [{"name": SERVICE, "enforces_capacity": False, "standby": False}],
            "tenants": [{"name": "t-1", "api_keys": [KEY], "guaranteed": {"gpu": 8}}],
            "limits": {},
        })
        for machine in self.entries + self.agents:
            self.start(machine)
        await self.wait("entries are ready", self.all_ready, 15)

    async def all_ready(self):
        answers = [await call(entry.ip, READY, "GET", "/readyz") for entry in self.entries]
        return all(answer and answer[0] == 200 for answer in answers)

    async def wait(self, what, is_so, seconds):
        """Waits until a condition holds."""
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            result = is_so()
            if asyncio.iscoroutine(result):
                result = await result
            if result:
                return result
            await asyncio.sleep(0.01)
        raise CannotRun(f"not reached in {seconds} s: {what}")

    def leader(self):
        """The entry whose address the leader key holds."""
        item = self.store.items.get("lead")
        value = base64.b64decode(item["value"]) if item else b""
        return next((entry for entry in self.entries
                     if f"{entry.ip}:".encode() in value and entry.process.poll() is None), None)

    async def request(self, method, target, body=None, entries=None):
        """A client's call, repeated at other entries as clients do."""
        headers = {"Host": HOST, "X-Key": KEY, "X-Deadline-Ms": "3000"}
        for attempt in range(5):
            for entry in entries or self.entries:
                if entry.process.poll() is not None:
                    continue
                answer = await call(entry.ip, CALLERS, method, target, headers, body)
                self.record.line(f"client: {method} {target} at {entry.name}, attempt "
                                 f"{attempt + 1}: {answer}")
                if answer and answer[0] not in (502, 503, 504, 429):
                    return answer
                await asyncio.sleep(0.3)
        return None

    async def submit(self, prefix, steps, **job):
        """Hands in a job; returns its id."""
        name = f"{random.randrange(1 << 64):016x}"
        self.world.jobs[name] = job
        answer = await self.request("POST", f"{prefix}{name}", {"spec": name, "steps": steps})
        if not answer or answer[0] != 200:
            raise CannotRun("the job was not accepted")
        return name

    async def state(self, prefix, name):
        answer = await self.request("GET", f"{prefix}{name}")
        return answer[1].get("state") if answer and answer[0] == 200 else answer

    async def end(self):
        """Ends all processes that the case has started."""
        for machine in self.entries + self.agents:
            if machine.process and machine.process.poll() is None:
                machine.process.kill()
                machine.process.wait()
        if os.environ.get("KEEP_LOGS"):
            print(f"logs: {self.folder}")
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def queue(name, prefix, priority, max_attempts):
    """A route of the configuration."""
    return {"name": name, "host": HOST, "prefix": prefix, "kind": "non_idempotent",
            "timeout_ms": 3000, "target_latency_ms": 1200, "priority": priority,
            "service": SERVICE, "max_attempts": max_attempts, "slack_factor": 3.0,
            "anonymous": False}


def play(folder, case, **sizes):
    """Plays a case. `case(system, trouble)` returns the violations that it has seen. Exit codes: 0
    if the rule held, 1 if it was broken, 2 if the case could not be played."""
    record = Record(os.path.join(folder, "record.txt"))
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record.line(f"disruption: {'yes' if trouble else 'no'}")

    async def run():
        system = System(record, **sizes)
        try:
            return await asyncio.wait_for(case(system, trouble), 110)
        finally:
            await system.end()

    def stop(*_):
        raise CannotRun("asked to terminate")

    signal.signal(signal.SIGTERM, stop)
    try:
        violations = asyncio.run(run())
    except Exception as error:  # Nothing but a broken rule may end with exit code 1.
        record.line(f"could not be played: {error!r}")
        print(f"could not be played: {error!r}")
        raise SystemExit(2) from None
    for violation in violations:
        record.line(f"BROKEN: {violation}")
        print(f"broken: {violation}")
    if not violations:
        record.line("the rule held")
        print("the rule held")
    raise SystemExit(1 if violations else 0)
