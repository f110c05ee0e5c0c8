"""Stand-ins and helpers that the review's cases share: discovery, bricks, clients and the host process.

Every address is a loopback address on a free port. Everything that happens is appended to a log with the
time in milliseconds since the start of the test; `Run.finish` writes it to record.txt.
"""

import asyncio
import json
import os
import signal
import sys
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
LONGEST_RUN_S = 105


def run_command():
    """The command `run` of deploy/balancer.toml."""
    with open(os.path.join(ROOT, "deploy", "balancer.toml")) as file:
        for line in file:
            if line.startswith("run = "):
                return line.split('"')[1]
    raise RuntimeError("deploy/balancer.toml has no command `run`")


class CouldNotRun(Exception):
    """The case could not run, which says nothing about the rule."""


class Run:
    """One run of a case: its clock, its record, its folder and its processes."""

    def __init__(self, folder):
        self.folder = folder
        self.started = time.monotonic()
        self.lines = []
        self.hosts = []
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.temporary = tempfile.TemporaryDirectory(prefix="review-")

    def now(self):
        return (time.monotonic() - self.started) * 1000.0

    def log(self, text):
        self.lines.append(f"{self.now():10.1f} {text}")

    def say(self, text):
        self.log(text)
        print(text, flush=True)

    async def end_hosts(self):
        for host in self.hosts:
            if host.is_running():
                host.process.kill()
                await host.process.wait()

    def finish(self):
        for host in self.hosts:
            host.append_log()
        self.temporary.cleanup()
        with open(os.path.join(self.folder, "record.txt"), "w") as file:
            file.write("\n".join(self.lines) + "\n")


def main(folder, case):
    """Runs `case(run)`, which returns whether the rule held, and exits with the code of the result."""
    run = Run(folder)
    code = COULD_NOT_RUN

    async def limited():
        task = asyncio.current_task()
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
        try:
            return await asyncio.wait_for(case(run), LONGEST_RUN_S)
        finally:
            await run.end_hosts()

    try:
        held = asyncio.run(limited())
        code = HELD if held else BROKEN
    except CouldNotRun as error:
        run.say(f"could not run: {error}")
    except (Exception, asyncio.CancelledError) as error:  # any other fault of the test is no verdict either
        run.say(f"could not run: {type(error).__name__}: {error}")
    finally:
        names = {HELD: "the rule held", BROKEN: "the rule was broken", COULD_NOT_RUN: "no verdict"}
        run.say(f"result: {names[code]} (trouble {'on' if run.trouble else 'off'})")
        run.finish()
    sys.exit(code)


class Head:
    """The start line, headers and body of one HTTP message."""

    def __init__(self, first, headers, body):
        self.first, self.headers, self.body = first, headers, body

    def get(self, name, default=None):
        return self.headers.get(name.lower(), default)


async def read_message(reader):
    """Reads one HTTP message with a Content-Length or no body. Returns None at the end of the connection."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    length = int(headers.get("content-length", "0"))
    body = await reader.readexactly(length) if length else b""
    return Head(lines[0], headers, body)


def response(status, headers="", body=b""):
    reason = {200: "OK", 503: "Unavailable", 500: "Error"}.get(status, "Answer")
    head = f"HTTP/1.1 {status} {reason}\r\nContent-Length: {len(body)}\r\n{headers}\r\n"
    return head.encode() + body


class Discovery:
    """The list of bricks over HTTP/1.1: the whole list, and watches that wait for a newer revision."""

    def __init__(self, run, revision=41):
        self.run, self.revision = run, revision
        self.entries = {}  # uid -> (revision, entry)
        self.changed = asyncio.Condition()
        self.refusing = False
        self.told = []  # (time, uid, state) of each entry that was written to the host

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]

    def put(self, uid, endpoint, shard, state="ready", zone="athlone", boot_ms=0):
        entry = {"uid": uid, "endpoint": endpoint, "az": zone, "model": "std-2core", "pod_group": shard,
                 "state": state, "capacity_hint": 1.0, "boot_ms": boot_ms}
        self.entries[uid] = (self.revision, entry)

    async def change(self, uid, state):
        async with self.changed:
            self.revision += 1
            entry = dict(self.entries[uid][1], state=state)
            self.entries[uid] = (self.revision, entry)
            self.run.log(f"discovery: {uid} is {state} from revision {self.revision} on")
            self.changed.notify_all()

    def whole(self):
        return {"rev": self.revision, "all": True, "targets": [e for _, e in self.entries.values()]}

    async def serve(self, reader, writer):
        try:
            while True:
                call = await read_message(reader)
                if self.refusing:
                    self.run.log(f"discovery: {call.first} refused with 503")
                    writer.write(response(503))
                    await writer.drain()
                    continue
                target = call.first.split(" ")[1]
                query = dict(p.split("=", 1) for p in target.partition("?")[2].split("&") if "=" in p)
                if "since" in query:
                    since = int(query["since"])
                    wait = min(int(query.get("timeout_ms", "0")), 60000) / 1000.0
                    async with self.changed:
                        try:
                            await asyncio.wait_for(
                                self.changed.wait_for(lambda: self.revision > since), wait)
                        except asyncio.TimeoutError:
                            pass
                    targets = [e for r, e in self.entries.values() if r > since]
                    document = {"rev": self.revision, "all": False, "targets": targets}
                else:
                    document = self.whole()
                writer.write(response(200, "Content-Type: application/json\r\n",
                                      json.dumps(document).encode()))
                await writer.drain()
                self.run.log(f"discovery: {call.first} answered with revision {document['rev']}, "
                             f"{len(document['targets'])} entries")
                for entry in document["targets"]:
                    self.told.append((self.run.now(), entry["uid"], entry["state"]))
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()


class Brick:
    """A brick: `handle(attempt, reader, writer)` serves each request whose last byte has come."""

    def __init__(self, run, uid, shard, handle):
        self.run, self.uid, self.shard, self.handle = run, uid, shard, handle
        self.received = []  # (time, request)

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0, limit=1 << 20)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]

    async def serve(self, reader, writer):
        try:
            while True:
                request = await read_message(reader)
                self.received.append((self.run.now(), request))
                await self.handle(self, request, reader, writer)
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()


class Host:
    """One process of the host, started with the deploy file's command."""

    def __init__(self, run, name, config):
        self.run, self.name, self.config = run, name, config
        self.file = os.path.join(run.temporary.name, f"{name}.json")
        self.log_path = os.path.join(run.temporary.name, f"{name}.log")
        self.process = None
        run.hosts.append(self)

    async def start(self):
        with open(self.file, "w") as file:
            json.dump(self.config, file)
        environment = dict(os.environ, LB_CONFIG=self.file, LB_NAME=self.config["name"],
                           LB_LISTEN=self.config["listen"], LB_DISCOVERY=self.config["discovery"])
        log = open(self.log_path, "ab")
        self.process = await asyncio.create_subprocess_exec(
            "/bin/sh", "-c", run_command(), cwd=ROOT, env=environment, stdout=log, stderr=log)
        log.close()
        self.run.log(f"host {self.name}: started")
        await self.until_ready()

    async def until_ready(self):
        deadline = time.monotonic() + 30
        ip, port = self.config["listen"].split(":")
        while time.monotonic() < deadline:
            if self.process.returncode is not None:
                raise CouldNotRun(f"host {self.name} ended with {self.process.returncode}: "
                                  + open(self.log_path).read()[-500:])
            try:
                reader, writer = await asyncio.open_connection(ip, int(port))
                writer.write(b"GET /health/ready HTTP/1.1\r\nHost: backend.local\r\n\r\n")
                answer = await read_message(reader)
                writer.close()
                if " 200 " in answer.first:
                    self.run.log(f"host {self.name}: ready")
                    return
            except (OSError, asyncio.IncompleteReadError):
                pass
            await asyncio.sleep(0.02)
        raise CouldNotRun(f"host {self.name} was not ready in 30 s")

    def signal(self, number):
        self.process.send_signal(number)
        self.run.log(f"host {self.name}: {signal.Signals(number).name}")

    async def kill(self):
        self.signal(signal.SIGKILL)
        await self.process.wait()

    def is_running(self):
        return self.process is not None and self.process.returncode is None

    def append_log(self):
        if os.path.exists(self.log_path):
            with open(self.log_path, errors="replace") as file:
                text = file.read()
            self.run.lines.append(f"--- log of host {self.name} (last 200 lines)")
            self.run.lines.extend(text.splitlines()[-200:])


def free_address(last=1):
    """A free port of a loopback address."""
    import socket
    with socket.socket() as probe:
        probe.bind((f"127.0.0.{last}", 0))
        return "127.0.0.%d:%d" % (last, probe.getsockname()[1])


class Answer:
    def __init__(self, status, body, sent, at):
        self.status, self.body, self.sent, self.at = status, body, sent, at


async def ask(run, address, txn, class_name, key, shard, left_ms, *, method="GET", plan="standard",
              volume="00000000000000a1", units=2, hosts=1, body=b"", idempotency=None, wait_ms=None):
    """Sends one request on a new connection. Returns its answer, or status None if there was none."""
    ip, port = address.split(":")
    headers = [f"{method} /{class_name}/{key:016x} HTTP/1.1", "Host: backend.local", f"X-Txn: {txn}",
               f"X-Qos-Policy: {plan}", f"X-Remaining-Ms: {left_ms}",
               f"X-Placement: volume={volume},units={units},shard={shard},hosts={hosts}"]
    if method == "PUT" or body:
        headers.append(f"Content-Length: {len(body)}")
    if idempotency:
        headers.append(f"Idempotency-Key: {idempotency}")
    try:
        reader, writer = await asyncio.open_connection(ip, int(port))
    except OSError as error:
        run.log(f"client: {txn} could not connect: {error}")
        return Answer(None, b"", run.now(), run.now())
    sent = run.now()
    try:
        writer.write("\r\n".join(headers).encode() + b"\r\n\r\n" + body)
        await writer.drain()
        sent = run.now()  # the time of a request counts from its last byte
        run.log(f"client: {txn} sent {method} /{class_name}/{key:016x} shard {shard}")
        answer = await asyncio.wait_for(read_message(reader), (wait_ms or left_ms + 550) / 1000.0)
        status = int(answer.first.split(" ")[1])
        run.log(f"client: {txn} answered {status} after {run.now() - sent:.1f} ms")
        return Answer(status, answer.body, sent, run.now())
    except (asyncio.TimeoutError, asyncio.IncompleteReadError, ConnectionError) as error:
        run.log(f"client: {txn} has no answer after {run.now() - sent:.1f} ms: {type(error).__name__}")
        return Answer(None, b"", sent, run.now())
    finally:
        writer.close()


def settings(**changes):
    """Settings like those of the deployment athlone-depot-store, as the users' wire names them."""
    base = {
        "balancers": 3, "me": 0, "family": "stores", "registry-mode": "on_request",
        "zones": ["athlone"], "zone": 0, "models": ["std-2core", "slow-2core"], "period-ms": 2.0,
        "stage": 0, "stages": ["route-store"], "weight-kind": "rough",
        "callers": {"marks-retry": False},
        "caps": {"cancel": True, "conn-idle-ms": 30000.0, "cpu-us-per-request": 0.0,
                 "cpu-us-per-s": 300000, "dial-timeout-ms": 250.0, "max-attempts": 3, "max-open": 1000,
                 "max-retry-after-ms": 500.0, "multiplex": 1, "peers": False, "probing": True,
                 "retry-after": True, "second-copies": True},
        "family-info": {"cold-units": 21.0, "counts-others": True, "largest": 6, "mean-units": 2.0,
                        "meter-ms": 500.0, "shards": 2, "spare-worth": 0.08, "within-share": 0.35,
                        "writes": [False, True, False]},
        "report": {"fields": [], "via": "none"},
        "rules": {"answer-slack-ms": 58.0, "ask-every-ms": 9000.0, "cold-from": 0.15, "cold-ms": 18000.0,
                  "drain-grace-ms": 250.0, "fall-ms": 2000.0, "tip-multiple": 4.0,
                  "extra-floor": 3.0, "further-ratio": 0.25, "extra-window-ms": 5000.0,
                  "settle-after-doubt-ms": 200.0},
        "plans": [
            {"name": "basic", "base-rate": 20.0, "guaranteed": 0.0, "proportion": 1.0, "price": 0.96,
             "never-over": 0.0, "most-at-once": 0.0, "cap-slack": 0.0},
            {"name": "standard", "base-rate": 40.0, "guaranteed": 40.0, "proportion": 2.0, "price": 1.0,
             "never-over": 0.0, "most-at-once": 0.0, "cap-slack": 0.0},
            {"name": "priority", "base-rate": 60.0, "guaranteed": 60.0, "proportion": 6.0, "price": 1.8,
             "never-over": 0.0, "most-at-once": 0.0, "cap-slack": 0.0}],
        "profiles": [
            {"name": "map-read", "objective-ms": 200.0, "deadline-ms": 1200.0, "idempotency": "free",
             "key-scope": "all", "dedup-window-ms": 1500.0, "late-value": 0.2, "worth": 3.0,
             "stream": False},
            {"name": "trip-write", "objective-ms": 200.0, "deadline-ms": 1000.0, "idempotency": "guarded",
             "key-scope": "cell", "dedup-window-ms": 1500.0, "late-value": 0.1, "worth": 3.0,
             "stream": False, "serial-by-key": True},
            {"name": "bulk-read", "objective-ms": 1000.0, "deadline-ms": 3000.0, "idempotency": "free",
             "key-scope": "all", "dedup-window-ms": 1500.0, "late-value": 0.3, "worth": 1.0,
             "stream": False}],
    }
    for path, value in changes.items():
        at = base
        names = path.split("__")
        for name in names[:-1]:
            at = at[int(name)] if isinstance(at, list) else at[name.replace("_", "-")]
        last = names[-1].replace("_", "-")
        at[last] = value
    return base


def config(name, listen, discovery, known, site, seed="8c1f30d27a5be964", memory_mb=192, sockets=1024):
    return {"name": name, "listen": listen, "discovery": discovery, "seed": seed,
            "limits": {"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets},
            "known": known, "settings": site}
