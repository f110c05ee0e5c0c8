"""The project's own protocol for stand-ins: frames, the few messages that the cases need, a node and a client."""

import socket
import struct
import threading
import time

from harness_2 import CouldNotRun, listen, now, split

CLIENT, NODE = 1, 3
HELLO, SUBMIT, RESPONSE, ATTEMPT, ATTEMPT_RESPONSE, ANNOUNCE = 2, 3, 4, 6, 7, 15
OUTCOMES = {1: "done", 2: "deferred", 3: "abandoned"}
OK = 1


def crc_table():
    table = []
    for byte in range(256):
        for _ in range(8):
            byte = byte >> 1 ^ (0x82F63B78 if byte & 1 else 0)
        table.append(byte)
    return table


CRC_TABLE = crc_table()


def crc32c(data):
    crc = 0xFFFFFFFF
    for byte in data:
        crc = CRC_TABLE[(crc ^ byte) & 0xFF] ^ crc >> 8
    return crc ^ 0xFFFFFFFF


def varint(value):
    out = bytearray()
    while value > 0x7F:
        out.append(value & 0x7F | 0x80)
        value >>= 7
    out.append(value)
    return bytes(out)


def encode(fields):
    """Encodes (number, value) pairs: whole numbers, floats, bytes and texts."""
    out = b""
    for number, value in fields:
        if isinstance(value, float):
            out += varint(number << 3 | 1) + struct.pack("<d", value)
        elif isinstance(value, int):
            out += varint(number << 3) + varint(value)
        else:
            value = value.encode() if isinstance(value, str) else value
            out += varint(number << 3 | 2) + varint(len(value)) + value
    return out


def decode(data):
    """Returns the last value of each field."""
    fields, at = {}, 0

    def read_varint(at):
        value = shift = 0
        while True:
            byte = data[at]
            value |= (byte & 0x7F) << shift
            at, shift = at + 1, shift + 7
            if byte < 0x80:
                return value, at

    while at < len(data):
        tag, at = read_varint(at)
        kind = tag & 7
        if kind == 0:
            value, at = read_varint(at)
        elif kind == 1:
            value, at = struct.unpack("<d", data[at : at + 8])[0], at + 8
        elif kind == 2:
            length, at = read_varint(at)
            value, at = data[at : at + length], at + length
        else:
            raise CouldNotRun(f"a field of wire type {kind}")
        fields[tag >> 3] = value
    return fields


class Connection:
    """One connection: sends and receives frames."""

    def __init__(self, sock):
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.sock, self.lock, self.bytes = sock, threading.Lock(), b""

    def send(self, body, fields):
        message = encode([(1, int(time.monotonic() * 1e6)), (body, encode(fields))])
        with self.lock:
            self.sock.sendall(struct.pack("<II", len(message), crc32c(message)) + message)

    def greet(self, role, name):
        self.send(HELLO, [(1, 1), (2, role), (3, name), (4, time.time_ns()), (5, 1 << 24)])

    def receive(self):
        """Returns the number and the fields of the next message, or None at the end of the connection."""
        while True:
            if len(self.bytes) >= 8:
                length = struct.unpack("<I", self.bytes[:4])[0]
                if len(self.bytes) >= 8 + length:
                    frame = decode(self.bytes[8 : 8 + length])
                    self.bytes = self.bytes[8 + length :]
                    body = next((number for number in frame if number != 1), None)
                    return body, decode(frame[body]) if body else {}
            try:
                more = self.sock.recv(65536)
            except OSError:
                return None
            if not more:
                return None
            self.bytes += more

    def reset(self):
        """Ends the connection with a reset."""
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.sock.close()


class Node:
    """A node that announces itself to discovery. `handle(attempt, connection)` answers each attempt."""

    def __init__(self, case, number, discovery, handle):
        self.case, self.number, self.handle = case, number, handle
        # The time until a new connection is greeted.
        self.greets_after = 0.0
        self.connections = []
        self.address = listen(self.serve)
        self.discovery = Connection(socket.create_connection(split(discovery)))
        self.discovery.greet(NODE, f"node-{number}")
        self.discovery.receive()
        endpoint = encode([(1, number), (2, 0), (3, number), (4, 1), (5, self.address), (6, 1)])
        self.discovery.send(ANNOUNCE, [(1, endpoint)])

    def serve(self, sock):
        connection = Connection(sock)
        if self.greets_after:
            self.case.record(f"node: a connection comes up {self.greets_after * 1000:.0f} ms late")
            time.sleep(self.greets_after)
        connection.greet(NODE, f"node-{self.number}")
        self.connections.append(connection)
        while True:
            message = connection.receive()
            if message is None:
                return
            if message[0] == ATTEMPT:
                fields = message[1]
                attempt = {"at": now(), "attempt": fields[1], "id": fields[2].decode(), "number": fields.get(3, 0),
                           "piece": fields.get(14, b"").decode(), "left_us": fields.get(10, 0)}
                self.handle(attempt, connection)

    @staticmethod
    def complete(attempt, connection):
        try:
            connection.send(ATTEMPT_RESPONSE, [(1, attempt["attempt"]), (2, OK)])
        except OSError:
            pass  # the connection was reset meanwhile


class Client:
    """A client of a host; records the answers to its requests."""

    def __init__(self, case, address):
        self.case = case
        self.connection = Connection(socket.create_connection(split(address)))
        self.connection.greet(CLIENT, "client")
        self.answers = {}
        self.sent = 0
        threading.Thread(target=self.read, daemon=True).start()

    def read(self):
        while True:
            message = self.connection.receive()
            if message is None:
                return
            body, fields = message
            if body == RESPONSE:
                self.answers[fields[1].decode()] = (now(), OUTCOMES.get(fields.get(2, 0), "unknown"))

    def submit(self, name, volume, shard, key, left_us, traffic_class=0):
        """Sends a write of one unit; returns its id, which begins with the name."""
        self.sent += 1
        txn = f"{name}-{self.sent}".ljust(36, ".")
        self.connection.send(SUBMIT, [(1, txn), (2, txn), (3, traffic_class), (5, volume), (7, shard), (8, key),
                                      (9, 1.0), (10, left_us), (11, key), (12, 4), (13, 1), (14, b"data")])
        return txn
