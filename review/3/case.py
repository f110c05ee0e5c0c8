"""The memory limit of a host while hundreds of clients stop in the middle of their requests and stay."""

import asyncio
import os
import signal
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
import harness as h

FOLDER = os.path.dirname(os.path.abspath(__file__))
MEMORY_MB = 32  # "32 to 192 MB"
SOCKETS = 1024  # "256 to 1,024 descriptors"
CLIENTS = 335  # that stop in the middle of a request; with the usual ones under a third of the descriptors (341)
HEAD_BYTES = 15500  # of a header that means nothing to the host; the host takes heads of up to 16 KiB
BODY_BYTES = 64 << 10  # "No body is larger than 64 KiB"
CHUNK_BYTES = 128  # the body comes in chunks of this size
MISSING_BYTES = 100  # at its end, which a client that stops has not sent
CONNECTS_PER_S = 170  # with the usual requests under 200 a second
STAY_S = 4.0  # longer than the host takes to answer or close
REQUESTS = 150  # requests of the usual clients
PACE_S = 0.04
DEADLINE_MS = 1200  # map-read: expiry 1.2 s
WORK_S = 0.022
WATCH_S = 0.01  # time between two looks of the platform at a host's memory


async def serve(brick, request, reader, writer):
    await asyncio.sleep(WORK_S)
    writer.write(h.response(200, body=b"data"))
    await writer.drain()


def anonymous_kb(process):
    """The memory that belongs to the process alone, without the pages of its program file."""
    with open(f"/proc/{process.pid}/status") as status:
        for line in status:
            if line.startswith("RssAnon:"):
                return int(line.split()[1])
    raise h.CouldNotRun("the system does not report RssAnon")


async def case(run):
    discovery = h.Discovery(run)
    await discovery.start()
    for shard in range(3):
        brick = h.Brick(run, f"s-{shard}", shard, serve)
        await brick.start()
        discovery.put(brick.uid, brick.address, shard)
    host = h.Host(run, "n1", h.config("n1", h.free_address(), discovery.address, discovery.whole(),
                                      h.settings(), memory_mb=MEMORY_MB, sockets=SOCKETS))
    await host.start()
    await asyncio.sleep(0.5)
    address = host.config["listen"]
    ip, port = address.split(":")
    peak = 0
    killed = False

    async def platform():
        """The platform: "Over `memory_mb` the host is killed." """
        nonlocal peak, killed
        while host.is_running():
            peak = max(peak, anonymous_kb(host.process))
            if peak > MEMORY_MB << 10:
                run.say(f"platform: with {connected} of the other clients connected, the host has {peak} kB of its "
                        f"own, over {MEMORY_MB} MB, and is killed")
                killed = True
                host.signal(signal.SIGKILL)
                return
            await asyncio.sleep(WATCH_S)

    outcomes = {}
    connected = 0

    async def other(number):
        nonlocal connected
        try:
            reader, writer = await asyncio.open_connection(ip, int(port))
        except OSError:
            outcomes["no connection"] = outcomes.get("no connection", 0) + 1
            return
        connected += 1
        try:
            head = (f"PUT /trip-write/{number:016x} HTTP/1.1\r\nHost: backend.local\r\n"
                    f"X-Txn: {number:016x}\r\nX-Qos-Policy: basic\r\nX-Remaining-Ms: 1000\r\n"
                    f"X-Placement: volume={number % 7:016x},units=1,shard=2,hosts=3\r\n"
                    f"Idempotency-Key: k{number}\r\nX-Trace: {'t' * HEAD_BYTES}\r\nTransfer-Encoding: chunked\r\n\r\n").encode()
            chunk = b"%x\r\n%s\r\n" % (CHUNK_BYTES, b"b" * CHUNK_BYTES)
            message = head + chunk * (BODY_BYTES // CHUNK_BYTES) + b"0\r\n\r\n"
            writer.write(message[:-MISSING_BYTES] if run.trouble else message)
            answer = await asyncio.wait_for(h.read_message(reader), STAY_S)
            outcome = answer.first.split(" ")[1]
        except asyncio.TimeoutError:
            outcome = "nothing"
        except (OSError, asyncio.IncompleteReadError):
            outcome = "closed"
        finally:
            outcomes[outcome] = outcomes.get(outcome, 0) + 1
            writer.close()

    answers = []

    async def usual(number):
        answers.append(await h.ask(run, address, f"{number:016x}", "map-read", number, number % 2,
                                   DEADLINE_MS, plan="priority", volume=f"{number % 5:016x}", hosts=3))

    async def all_others():
        tasks = []
        for number in range(1 << 40, (1 << 40) + CLIENTS):
            tasks.append(asyncio.ensure_future(other(number)))
            await asyncio.sleep(1 / CONNECTS_PER_S)
        await asyncio.gather(*tasks)

    watching = asyncio.ensure_future(platform())
    tasks = []
    others = None
    for number in range(1, REQUESTS + 1):
        if number == 25:
            others = asyncio.ensure_future(all_others())
        tasks.append(asyncio.ensure_future(usual(number)))
        await asyncio.sleep(PACE_S)
        if killed:
            break
    await asyncio.gather(*tasks)
    await others
    watching.cancel()
    counts = {}
    for answer in answers:
        counts[answer.status] = counts.get(answer.status, 0) + 1
    run.say(f"other clients, by outcome: {outcomes}")
    run.say(f"usual clients, by status: {counts} (None: lost)")
    run.say(f"most memory seen: {peak} kB of {MEMORY_MB << 10} kB")
    if not killed and not host.is_running():
        run.say("the host has ended by itself")
        return False
    return not killed


h.main(FOLDER, case)
