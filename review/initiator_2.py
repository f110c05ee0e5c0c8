"""A small iSCSI initiator (RFC 7143, one connection a session, no digests, no CHAP) and a site for it."""

import os
import signal
import socket
import struct
import threading
import time

from harness_2 import CouldNotRun, free_address, listen, now, program, split, wait_for

TARGET = "iqn.2026-12.org.example:bookings"
INITIATOR = "iqn.2026-12.org.example:clerk"
BLOCK = 512
GOOD, CHECK_CONDITION, BUSY, RESERVATION_CONFLICT = 0x00, 0x02, 0x08, 0x18
STATUS = {GOOD: "GOOD", CHECK_CONDITION: "CHECK CONDITION", BUSY: "BUSY", RESERVATION_CONFLICT: "RESERVATION CONFLICT"}

SITE = """
deployment(name = "review")
zone(name = "a")
stream_type(name = "slot-read", slo = ms(400), expiry = ms(2500), repeat = "repeatable", unit_work = ms(1))
stream_type(name = "booking-write", slo = ms(600), expiry = s(3), repeat = "repeatable", ordered = True, write = True,
            unit_work = ms({write_work}))
plan(name = "p", rate = 2000, reservation = 2000)
host(name = "h")
for i in range({nodes}):
    node(id = i + 1, zone = "a", cores = 4)
for i in range({units}):
    volume(id = 100 + i, plan = "p", blocks = 65536)
node_list(lag = ms(10))
units(mean = 2, largest = 8)
rules(drain_grace = ms(2000))
portal(listen = "{portal}", read = "slot-read", write = "booking-write", large_read = "slot-read")
target(name = "{target}", volumes = [100 + i for i in range({units})])
"""


class Site:
    """Discovery, nodes and one host with a portal, each a process of its own."""

    def __init__(self, case, nodes=1, units=1, write_work=1):
        self.case = case
        self.portal = free_address()
        self.script = case.path("site.star")
        with open(self.script, "w", encoding="utf-8") as file:
            file.write(SITE.format(portal=self.portal, target=TARGET, nodes=nodes, units=units,
                                   write_work=write_work))
        self.list = free_address()
        self.start("discovery", f"discovery-service {self.script} --listen {self.list}", self.list)
        self.nodes = []
        for number in range(1, nodes + 1):
            arguments = f"node --list {self.list} --ids {number} {self.script}"
            self.nodes.append(self.start(f"node-{number}", arguments))
        self.start_host()

    def start(self, what, arguments, address=None):
        process = self.case.start(what, f"exec {program()} {arguments}")
        if address:
            wait_for(f"{what} listens", lambda: listens(address), 10)
        return process

    def start_host(self):
        store, at = self.case.path("h.store"), free_address()
        self.host = self.start("host", f"run {self.script} --host h --list {self.list} --listen {at} --store {store}",
                               self.portal)

    def hold_node(self, index):
        self.nodes[index].send_signal(signal.SIGSTOP)
        self.case.record(f"node {index + 1} of {len(self.nodes)} hangs (SIGSTOP)")

    def release_node(self, index):
        self.nodes[index].send_signal(signal.SIGCONT)
        self.case.record(f"node {index + 1} goes on (SIGCONT)")


def listens(address):
    try:
        socket.create_connection(split(address), timeout=1).close()
        return True
    except OSError:
        return False


class Relay:
    """A relay in front of an address. While it holds, what the initiator sends waits in it."""

    def __init__(self, case, to):
        self.case, self.to = case, to
        self.may_pass = threading.Event()
        self.may_pass.set()
        self.address = listen(self.serve)

    def serve(self, sock):
        onward = socket.create_connection(split(self.to))
        onward.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        threading.Thread(target=self.pump, args=(onward, sock, False), daemon=True).start()
        self.pump(sock, onward, True)

    def pump(self, source, sink, waits):
        while True:
            try:
                received = source.recv(65536)
                if waits:
                    self.may_pass.wait()
                if not received:
                    sink.shutdown(socket.SHUT_WR)
                    return
                sink.sendall(received)
            except OSError:
                return

    def hold(self):
        self.may_pass.clear()
        self.case.record("the network between initiator and portal holds what is sent")

    def release(self):
        self.may_pass.set()
        self.case.record("the network delivers what it held")


class Initiator:
    """One session with one connection. `name` is for the record; the same `isid` names the same initiator port."""

    def __init__(self, case, name, address, isid=1, timeout=5, units=range(1)):
        self.case, self.name, self.timeout = case, name, timeout
        self.sock = socket.create_connection(split(address), timeout=timeout)
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.cmd_sn, self.exp_stat_sn, self.itt = 1, 0, 0
        # ExpCmdSN and MaxCmdSN: which commands the portal has taken, and which it will take.
        self.exp_cmd_sn, self.max_cmd_sn = 1, 1
        self.data, self.answers = {}, {}
        self.login(isid)
        for unit in units:
            self.until_ready(unit)

    def login(self, isid):
        keys = {"InitiatorName": INITIATOR, "SessionType": "Normal", "TargetName": TARGET, "HeaderDigest": "None",
                "DataDigest": "None", "ImmediateData": "Yes", "InitialR2T": "Yes", "MaxRecvDataSegmentLength": "65536",
                "ErrorRecoveryLevel": "0", "MaxConnections": "1"}
        data = "".join(f"{key}={value}\0" for key, value in keys.items()).encode()
        head = bytearray(48)
        head[0], head[1] = 0x43, 0x87
        head[5:8] = len(data).to_bytes(3, "big")
        head[8:14] = bytes([0x80, 0, 0, 0, 0, isid])
        head[24:28] = struct.pack(">I", self.cmd_sn)
        self.send(bytes(head), data)
        head, _ = self.receive()
        if head[0] & 0x3F != 0x23 or head[36] != 0:
            raise CouldNotRun(f"{self.name}: login refused: {head.hex()}")
        self.exp_stat_sn = struct.unpack(">I", head[24:28])[0] + 1
        self.case.record(f"{self.name}: logged in, TSIH {struct.unpack('>H', head[14:16])[0]}")

    def until_ready(self, unit):
        """The first command of a session to a unit is answered with the event that the target started."""
        for _ in range(5):
            if self.wait(self.command(f"TEST UNIT READY to unit {unit}", bytes(16), unit=unit))[0] == GOOD:
                return
        raise CouldNotRun(f"{self.name}: unit {unit} is not ready")

    def send(self, head, data=b""):
        self.sock.sendall(head + data + b"\0" * (-len(data) % 4))

    def read_bytes(self, count):
        read = b""
        while len(read) < count:
            try:
                more = self.sock.recv(count - len(read))
            except socket.timeout as error:
                raise TimeoutError("the time is up") from error
            if not more:
                raise ConnectionError("the portal closed the connection")
            read += more
        return read

    def receive(self):
        head = self.read_bytes(48)
        self.exp_cmd_sn, self.max_cmd_sn = struct.unpack(">II", head[28:36])
        length = int.from_bytes(head[5:8], "big")
        data = self.read_bytes(length + (-length % 4))[:length]
        return head, data

    def command(self, what, cdb, out=b"", expected=0, unit=0):
        """Sends a command, with its data if it writes, to a logical unit; returns its task tag."""
        self.itt += 1
        head = bytearray(48)
        head[0] = 0x01
        head[1] = 0x81 | (0x20 if out else 0) | (0x40 if expected else 0)
        head[5:8] = len(out).to_bytes(3, "big")
        head[8:16] = struct.pack(">Q", unit << 48)
        head[16:20] = struct.pack(">I", self.itt)
        head[20:24] = struct.pack(">I", len(out) or expected)
        head[24:28] = struct.pack(">I", self.cmd_sn)
        head[28:32] = struct.pack(">I", self.exp_stat_sn)
        head[32:48] = cdb.ljust(16, b"\0")
        self.cmd_sn += 1
        self.send(bytes(head), out)
        self.case.record(f"{self.name}: sent command {self.itt}, {what}")
        return self.itt

    def write(self, data, unit=0):
        """Writes the first block of a unit."""
        cdb = struct.pack(">BBQIBB", 0x8A, 0, 0, 1, 0, 0)
        return self.command(f"WRITE to unit {unit}: {data[:4].decode()}", cdb, out=data, unit=unit)

    def read(self, unit=0):
        """Reads the first block of a unit."""
        cdb = struct.pack(">BBQIBB", 0x88, 0, 0, 1, 0, 0)
        return self.command(f"READ from unit {unit}", cdb, expected=BLOCK, unit=unit)

    def wait(self, itt, timeout=None):
        """Returns status and data of a command's answer. Raises at a time-out or the connection's end."""
        end = time.monotonic() + (timeout or self.timeout)
        while itt not in self.answers:
            self.sock.settimeout(max(0.001, end - time.monotonic()))
            head, data = self.receive()
            self.handle(head, data)
        return self.answers[itt]

    def handle(self, head, data):
        opcode, tag = head[0] & 0x3F, struct.unpack(">I", head[16:20])[0]
        status = None
        if opcode == 0x25:
            self.data[tag] = self.data.get(tag, b"") + data
            status = head[3] if head[1] & 0x01 else None
        elif opcode == 0x21:
            status = head[3]
        if status is None:
            return
        self.exp_stat_sn = struct.unpack(">I", head[24:28])[0] + 1
        read = self.data.pop(tag, b"")
        sense = f", sense {data[4] & 15:x}/{data[14]:02x}/{data[15]:02x}" if status == CHECK_CONDITION and len(data) > 15 else ""
        shown = f", data {read[:4]!r}" if read else ""
        self.case.record(f"{self.name}: command {tag} answered {STATUS.get(status, status)}{sense}{shown}")
        self.answers[tag] = (status, read)

    def until_good(self, send, seconds=30):
        """Sends a command again while the unit is busy or reports an event; returns the data of its GOOD."""
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            status, data = self.wait(send())
            if status == GOOD:
                return data
            time.sleep(0.25)
        raise CouldNotRun(f"{self.name}: no GOOD within {seconds} s")

    def close(self):
        self.sock.close()
        self.case.record(f"{self.name}: gave up its connection")
