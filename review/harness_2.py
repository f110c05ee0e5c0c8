"""What the cases 6 to 10 share: a temporary folder, the record, the programs, and stand-ins over HTTP/1.1.

Every address is a loopback address, every port is free when the case starts, every process that a
case starts ends with it. Clocks are real: times in the record are seconds since the case began.
"""

import json
import os
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
BROKEN, HELD, COULD_NOT_RUN = 1, 0, 2
BEGAN = time.monotonic()
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
LONGEST_RUN = 110.0


class CouldNotRun(Exception):
    """The case cannot tell whether the rule holds."""


def now():
    return time.monotonic() - BEGAN


class Case:
    """One run of a case: its record, its folder and its processes."""

    def __init__(self, folder):
        self.lock = threading.Lock()
        self.record_file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self.folder = tempfile.mkdtemp(prefix="grebecleat-review-")
        self.processes = []
        self.record(f"disruption: {'yes' if TROUBLE else 'no (TROUBLE=0)'}")

    def record(self, line):
        with self.lock:
            self.record_file.write(f"{now():8.3f}  {line}\n")
            self.record_file.flush()

    def path(self, name):
        return os.path.join(self.folder, name)

    def start(self, what, command, environment=None, output=None):
        """Starts a program from the root of the repository, as the deploy file's commands are started."""
        log = open(self.path(f"{what}.log"), "ab")
        process = subprocess.Popen(
            command,
            shell=isinstance(command, str),
            cwd=ROOT,
            env={**os.environ, **(environment or {})},
            stdin=subprocess.DEVNULL,
            stdout=output or log,
            stderr=log,
        )
        self.processes.append((what, process))
        self.record(f"started {what}")
        return process

    def log_of(self, what):
        with open(self.path(f"{what}.log"), "r", encoding="utf-8", errors="replace") as file:
            return file.read()

    def close(self):
        for what, process in self.processes:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
        self.record_file.close()
        shutil.rmtree(self.folder, ignore_errors=True)


def run(folder, body):
    """Runs a case; `body` returns the sentences that say how the rule was broken, or none."""
    watchdog = threading.Timer(LONGEST_RUN, lambda: os.kill(os.getpid(), signal.SIGTERM))
    watchdog.daemon = True
    watchdog.start()

    def stop(*_):
        raise CouldNotRun("the run took too long, or was told to end")

    signal.signal(signal.SIGTERM, stop)
    signal.signal(signal.SIGINT, stop)
    case = Case(folder)
    code = COULD_NOT_RUN
    try:
        broken = body(case)
        for sentence in broken:
            case.record(f"BROKEN: {sentence}")
            print(f"broken: {sentence}")
        code = BROKEN if broken else HELD
        if not broken:
            case.record("held")
            print("held")
    except (CouldNotRun, OSError, subprocess.SubprocessError) as error:
        case.record(f"could not run: {error!r}")
        print(f"could not run: {error!r}")
    finally:
        watchdog.cancel()
        case.close()
    sys.stdout.flush()
    os._exit(code)


def program():
    """The program of the deploy file's build."""
    path = os.path.join(ROOT, "target", "release", "grebecleat")
    if not os.access(path, os.X_OK):
        raise CouldNotRun("target/release/grebecleat: build it first")
    return path


def deploy_command(key):
    """The command that the deploy file names."""
    with open(os.path.join(ROOT, "deploy", "balancer.toml"), encoding="utf-8") as file:
        found = re.search(rf'^{key}\s*=\s*"([^"]*)"', file.read(), re.MULTILINE)
    if not found:
        raise CouldNotRun(f"deploy/balancer.toml has no {key}")
    return found.group(1)


def free_address(host="127.0.0.1"):
    with socket.socket() as probe:
        probe.bind((host, 0))
        return f"{host}:{probe.getsockname()[1]}"


def split(address):
    host, port = address.rsplit(":", 1)
    return host, int(port)


def wait_for(what, condition, seconds):
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        found = condition()
        if found:
            return found
        time.sleep(0.01)
    raise CouldNotRun(f"{what}: not within {seconds} s")


class MessageSocket:
    """Reads HTTP/1.1 messages with a length from a socket."""

    def __init__(self, sock):
        self.sock = sock
        self.bytes = b""

    def message(self):
        """Returns start line, headers (names in lower case) and body, or None at the end of the connection."""
        while b"\r\n\r\n" not in self.bytes:
            if not self.fill():
                return None
        head, rest = self.bytes.split(b"\r\n\r\n", 1)
        lines = head.decode("latin-1").split("\r\n")
        headers = {}
        for line in lines[1:]:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
        length = int(headers.get("content-length", "0"))
        self.bytes = rest
        while len(self.bytes) < length:
            if not self.fill():
                return None
        body, self.bytes = self.bytes[:length], self.bytes[length:]
        return lines[0], headers, body

    def fill(self):
        try:
            more = self.sock.recv(65536)
        except socket.timeout:
            raise
        except OSError:
            return False
        self.bytes += more
        return bool(more)


def listen(serve, backlog=256):
    """Serves each connection on a thread of its own. Returns the address."""
    listener = socket.socket()
    listener.bind(("127.0.0.1", 0))
    listener.listen(backlog)

    def accept():
        while True:
            try:
                sock, _ = listener.accept()
            except OSError:
                return
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=serve, args=(sock,), daemon=True).start()

    threading.Thread(target=accept, daemon=True).start()
    return f"127.0.0.1:{listener.getsockname()[1]}"


def answer(status, body=b"", headers=()):
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}", *headers]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


class Discovery:
    """Serves the list of bricks, and watches that wait for a change."""

    def __init__(self, targets):
        self.changed = threading.Condition()
        self.rev = 1
        self.targets = targets
        self.address = listen(self.serve)

    def serve(self, sock):
        reader = MessageSocket(sock)
        while True:
            message = reader.message()
            if message is None:
                return sock.close()
            target = message[0].split(" ")[1]
            since = re.search(r"since=(\d+)", target)
            wait = re.search(r"timeout_ms=(\d+)", target)
            with self.changed:
                if since:
                    seconds = min(int(wait.group(1)) if wait else 0, 60000) / 1000
                    self.changed.wait_for(lambda: self.rev > int(since.group(1)), seconds)
                news = not since or self.rev > int(since.group(1))
                body = {"rev": self.rev, "all": news, "targets": self.targets if news else []}
            try:
                sock.sendall(answer(200, json.dumps(body).encode()))
            except OSError:
                return sock.close()


class Brick:
    """A brick: records each complete request and calls `handle(request, sock)` to answer it."""

    def __init__(self, case, name, handle):
        self.case, self.name, self.handle = case, name, handle
        self.lock = threading.Lock()
        self.requests = []
        self.address = listen(self.serve)

    def serve(self, sock):
        reader = MessageSocket(sock)
        while True:
            message = reader.message()
            if message is None:
                return sock.close()
            line, headers, body = message
            request = {"at": now(), "line": line, "headers": headers, "body": body, "id": headers.get("x-txn")}
            with self.lock:
                self.requests.append(request)
            left = headers.get("x-remaining-ms")
            self.case.record(f"{self.name}: request {request['id']} has come, X-Remaining-Ms: {left}")
            if self.handle(request, sock) is False:
                return sock.close()

    def entry(self, shard, boot_ms=0):
        return {"uid": self.name, "endpoint": self.address, "az": "a", "model": "m1", "pod_group": shard,
                "state": "ready", "capacity_hint": 1.0, "boot_ms": boot_ms}


def traffic_class(name, idempotency, deadline_ms, **more):
    return {"name": name, "objective-ms": 200.0, "deadline-ms": float(deadline_ms), "idempotency": idempotency,
            "key-scope": "all", "dedup-window-ms": 1500.0, "worth": 3.0, "late-value": 0.2, "stream": False, **more}


def settings(classes, writes):
    """Settings of a small deployment."""
    return {
        "balancers": 1, "registry-mode": "on_request", "zones": ["a"],
        "caps": {"max-attempts": 3, "retry-after": True, "max-retry-after-ms": 500.0, "conn-idle-ms": 30000.0,
                 "dial-timeout-ms": 250.0, "max-open": 1000, "probing": False},
        "family-info": {"largest": 6, "mean-units": 2.0, "writes": writes, "cold-units": 40.0, "meter-ms": 500.0,
                        "within-share": 0.35, "spare-worth": 0.08, "shards": 1},
        "profiles": classes,
        "plans": [{"name": "gold", "base-rate": 2000.0, "guaranteed": 2000.0, "proportion": 1.0, "price": 1.0}],
        "rules": {"answer-slack-ms": 58.0, "ask-every-ms": 9000.0, "cold-from": 0.2, "cold-ms": 9000.0,
                  "fall-ms": 2000.0, "tip-multiple": 4.0, "drain-grace-ms": 250.0},
    }


class PlatformHost:
    """A host on the platform, started with the deploy file's command."""

    def __init__(self, case, discovery, values, sockets=512, name="n1"):
        program()
        self.case, self.name = case, name
        self.address = free_address()
        config = {"name": name, "listen": self.address, "discovery": discovery.address, "seed": "8c1f30d27a5be964",
                  "limits": {"cores": 1.0, "memory_mb": 128, "sockets": sockets}, "settings": values}
        path = case.path(f"{name}.json")
        with open(path, "w", encoding="utf-8") as file:
            json.dump(config, file)
        environment = {"LB_NAME": name, "LB_LISTEN": self.address, "LB_DISCOVERY": discovery.address,
                       "LB_CONFIG": path}
        self.process = case.start(name, deploy_command("run"), environment)
        wait_for(f"{name} is ready", self.is_ready, 30)
        case.record(f"{name} is ready")

    def is_ready(self):
        if self.process.poll() is not None:
            raise CouldNotRun(f"{self.name} ended: {self.case.log_of(self.name)[-500:]}")
        try:
            with self.connect() as sock:
                sock.settimeout(1)
                sock.sendall(b"GET /health/ready HTTP/1.1\r\nHost: backend.local\r\n\r\n")
                message = MessageSocket(sock).message()
                return message is not None and " 200 " in message[0]
        except OSError:
            return False

    def connect(self):
        sock = socket.create_connection(split(self.address), timeout=5)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        return sock


def request(txn, cls="read", method="GET", key=7, remaining_ms=1000, body=b"", units=1, shard=0, headers=()):
    lines = [f"{method} /{cls}/{key:016x} HTTP/1.1", "Host: backend.local", f"X-Txn: {txn}", "X-Qos-Policy: gold",
             f"X-Remaining-Ms: {remaining_ms}",
             f"X-Placement: volume=00000003b4d60021,units={units},shard={shard},hosts=1", *headers]
    if method == "PUT":
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body
