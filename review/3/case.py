"""Hosts are stopped as planned, one after the other, while clients send their requests' heads slowly."""

import asyncio
import os
import random
import signal
import sys

sys.dont_write_bytecode = True
FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "common"))

import standin  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
SEED = int(os.environ.get("SEED", random.randrange(1 << 30)))

HOSTS = 3
SERVERS = 3
SLOTS = 6
QUEUE = 24
# Work of a request: on the sheet 60 ms in the mean, 450 ms at most.
WORK_S = (0.03, 0.12)
# Requests a second.
RATE = 90
# Time for which a client sends a request's head; the manifest allows 3 s.
HEAD_S = (0.1, 2.8)
DEADLINE_MS = 4000
TIMEOUT_MS = 2000
GRACE_S = 8
# The planned work `roll_term`: one host after the other.
STOPS = 6
STOP_EVERY_S = 14
RESTART_S = 0.3


class Desk:
    """A server of a plain service; sound all the time."""

    def __init__(self, record, store, number, draw):
        self.record, self.store, self.draw = record, store, draw
        self.id, self.zone = f"i-desk{number}", ["bcw-a", "bcw-b", "bcw-c"][number % 3]
        self.waiting = 0
        self.slots = asyncio.Semaphore(SLOTS)
        self.runs = {}

    async def start(self):
        port = standin.free_port("127.0.0.1")
        self.server = await standin.serve("127.0.0.1", port, self.handle)
        self.store.set("servers", self.id, standin.server_spec("desk", f"127.0.0.1:{port}", self.zone, SLOTS))

    async def handle(self, reader, writer):
        while True:
            request = await standin.read_message(reader)
            if request is None:
                return
            writer.write(await self.answer(request, request.get("request-id")))
            await writer.drain()

    async def answer(self, request, request_id):
        if self.waiting >= QUEUE:
            return standin.response(503, "Service Unavailable", {"Request-Id": request_id, "Not-Executed": "1"})
        self.waiting += 1
        try:
            await self.slots.acquire()
        finally:
            self.waiting -= 1
        try:
            self.runs[request_id] = self.runs.get(request_id, 0) + 1
            self.record.write(f"{self.id} runs {request_id}")
            await asyncio.sleep(self.draw.uniform(*WORK_S))
        finally:
            self.slots.release()
        self.record.write(f"{self.id} answers {request_id}")
        return standin.response(200, "OK", {"Request-Id": request_id,
                                            "Response-Signature": f"sig.{request_id}"}, request_id.encode())


class Balancer:
    """The platform's address for clients: asks each host once a second whether it is ready, and takes out one that
    misses twice."""

    def __init__(self, record, fleet):
        self.record, self.fleet = record, fleet
        self.misses = {host.name: 0 for host in fleet.hosts}

    async def ask(self, host):
        while True:
            is_ready = await host.is_ready()
            before = self.misses[host.name]
            self.misses[host.name] = 0 if is_ready else before + 1
            if not is_ready and before == 1:
                self.record.write(f"balancer takes {host.name} out")
            if is_ready and before >= 2:
                self.record.write(f"balancer takes {host.name} in")
            await asyncio.sleep(1)

    def choose(self, draw):
        ready = [host for host in self.fleet.hosts if self.misses[host.name] < 2]
        if 2 * len(ready) < len(self.fleet.hosts):
            ready = self.fleet.hosts
        return draw.choice(ready)


class Call:
    """One request of a client, and what became of it."""

    def __init__(self, request_id, host):
        self.id, self.host = request_id, host
        self.connected_at = self.sent_at = self.ended_at = None
        self.answer = None


class Clients:
    def __init__(self, record, balancer, draw):
        self.record, self.balancer, self.draw = record, balancer, draw
        self.calls = []

    async def one(self, number):
        call = Call(f"r{number:05d}", self.balancer.choose(self.draw))
        self.calls.append(call)
        text = standin.request_bytes("POST", f"/once/{number}", call.id, DEADLINE_MS, body=b"order", close=False)
        middle = self.draw.randrange(30, text.index(b"\r\n\r\n"))
        writer = None
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(call.host.ip, call.host.front), 1)
            call.connected_at = self.record.now()
            writer.write(text[:middle])
            await asyncio.sleep(self.draw.uniform(*HEAD_S))
            writer.write(text[middle:])
            await writer.drain()
            call.sent_at = self.record.now()
            self.record.write(f"client has sent {call.id} to {call.host.name}")
            answer = await asyncio.wait_for(standin.read_message(reader), DEADLINE_MS / 1000 + 1)
            call.answer = answer.status if answer is not None else "closed"
        except asyncio.TimeoutError:
            call.answer = "no answer"
        except asyncio.IncompleteReadError:
            call.answer = "broken off"
        except OSError as error:
            call.answer = f"failed: {type(error).__name__}"
        finally:
            call.ended_at = self.record.now()
            if call.sent_at is not None:
                self.record.write(f"client gets {call.answer} for {call.id}")
            if writer is not None:
                writer.close()

    async def play(self, until):
        tasks = []
        while self.record.now() < until:
            tasks.append(asyncio.create_task(self.one(len(self.calls) + 1)))
            await asyncio.sleep(self.draw.expovariate(RATE))
        await asyncio.gather(*tasks)


async def stop_in_turn(record, fleet, stops):
    start = record.now()
    for number in range(STOPS):
        host = fleet.hosts[number % HOSTS]
        if TROUBLE:
            stops.append((host, record.now()))
            record.write(f"SIGTERM to {host.name}")
            host.signal(signal.SIGTERM)
            code = await host.process.wait()
            record.write(f"{host.name} ended by itself with {code}")
            await asyncio.sleep(RESTART_S)
            await host.start()
        await asyncio.sleep(max(0, start + (number + 1) * STOP_EVERY_S - record.now()))


async def main():
    record = standin.Record(FOLDER)
    draw = random.Random(SEED)
    record.write(f"seed {SEED}, trouble {TROUBLE}")
    store = standin.Store()
    await store.start("127.0.0.1")
    routes = [standin.route("once", "/once/", "non_idempotent", "desk", 1, TIMEOUT_MS, 300, 2)]
    store.set("config", "main", standin.manifest(7, routes, [standin.plain_service("desk")]))
    desks = [Desk(record, store, number + 1, draw) for number in range(SERVERS)]
    for desk in desks:
        await desk.start()
    fleet = standin.Fleet(record, store, HOSTS, budget_extra=54, again_s=7.3, fencing_enforced=False)
    balancer = Balancer(record, fleet)
    stops = []
    try:
        if not await fleet.start():
            record.write("the hosts did not become ready")
            return 2
        asking = [asyncio.create_task(balancer.ask(host)) for host in fleet.hosts]
        await asyncio.sleep(3)
        clients = Clients(record, balancer, draw)
        playing = asyncio.create_task(clients.play(record.now() + 2 + STOPS * STOP_EVERY_S))
        await asyncio.sleep(2)
        await stop_in_turn(record, fleet, stops)
        await playing
        for task in asking:
            task.cancel()
        await asyncio.gather(*asking, return_exceptions=True)
    finally:
        await fleet.stop()
    runs = {}
    for desk in desks:
        for request_id, count in desk.runs.items():
            runs[request_id] = runs.get(request_id, 0) + count
    lost = []
    for call in clients.calls:
        is_cut = call.sent_at is not None and not isinstance(call.answer, int) and call.answer != "no answer"
        is_planned = any(host is call.host and at <= call.sent_at <= at + GRACE_S + 1
                         for host, at in stops) if is_cut else False
        # The client's time counts from the opening of its channel.
        is_in_time = is_cut and (call.ended_at - call.connected_at) * 1000 < DEADLINE_MS
        if is_cut and is_planned and is_in_time and call.id in runs:
            lost.append(call)
            at = max(at for host, at in stops if host is call.host and at <= call.sent_at)
            record.write(f"LOST: {call.id}, sent {call.sent_at - at:.3f} s after the SIGTERM of {call.host.name}, run by "
                         f"a server, {call.answer} after {call.ended_at - call.sent_at:.3f} s")
    answers = {}
    for call in clients.calls:
        answers[call.answer] = answers.get(call.answer, 0) + 1
    record.write(f"requests {len(clients.calls)}, by answer {answers}; stops {len(stops)}; lost {len(lost)}")
    print(f"lost {len(lost)} in {len(stops)} stops, of {len(clients.calls)} requests, {answers}")
    record.close()
    if len(clients.calls) < 100:
        return 2
    return 1 if lost else 0


standin.run(main)
