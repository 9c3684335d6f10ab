"""A full server answers one request twice; the second copy comes late, where the next answer is due."""

import asyncio
import os
import random
import sys

sys.dont_write_bytecode = True
FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "common"))

import standin  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
SEED = int(os.environ.get("SEED", random.randrange(1 << 30)))

HOSTS = 3
SERVERS = 2
SLOTS = 6
QUEUE = 2
WORK_S = 0.06
LOAD_S = 60
# Requests a second; the servers do 200.
RATE = 260
DEADLINE_MS = 2500
# The trouble `garble`, how `extra late`: at half of the servers, such a share of their answers, so long each time.
EXTRA_SERVERS = 1
EXTRA_SHARE = 0.03
EXTRA_FOR_S = 5.0
EXTRA_EVERY_S = 6.0


class Desk:
    """A server of a plain service: works on `slots` requests at once, queues a few, turns others away unrun."""

    def __init__(self, record, store, number, ip, zone, draw):
        self.record, self.store, self.draw = record, store, draw
        self.id, self.ip, self.zone = f"i-desk{number}", ip, zone
        self.waiting = 0
        self.has_trouble = TROUBLE and number <= EXTRA_SERVERS
        self.slots = asyncio.Semaphore(SLOTS)
        self.runs = {}
        self.answers, self.extras = 0, 0
        self.window, self.window_start, self.window_extras = -1, 0, 0

    async def start(self):
        self.port = standin.free_port(self.ip)
        self.server = await standin.serve(self.ip, self.port, self.handle)
        address = f"{self.ip}:{self.port}"
        self.store.set("servers", self.id, standin.server_spec("desk", address, self.zone, SLOTS))

    async def handle(self, reader, writer):
        late = None
        while True:
            request = await standin.read_message(reader)
            if request is None:
                return
            request_id = request.get("request-id")
            if late is not None:
                # One answer more than expected, in the spot where the next answer is due.
                text, of = late
                late = None
                self.record.write(f"{self.id} extra copy of the answer to {of}, before that to {request_id}"
                                  + (" (the same request)" if of == request_id else ""))
                writer.write(text)
                await writer.drain()
            answer, is_declined = await self.answer(request, request_id)
            writer.write(answer)
            await writer.drain()
            self.answers += 1
            if is_declined and self.is_due():
                late = (answer, request_id)
                self.extras += 1
                self.window_extras += 1

    def is_due(self):
        """Whether an answer may be given once more: within the share of the answers since the trouble began."""
        window, at = divmod(self.record.now(), EXTRA_EVERY_S)
        if not self.has_trouble or at >= EXTRA_FOR_S:
            return False
        if window != self.window:
            self.window, self.window_extras, self.window_start = window, 0, self.answers
        return self.window_extras + 1 <= (self.answers - self.window_start) * EXTRA_SHARE

    async def answer(self, request, request_id):
        if request.get("target-instance", self.id) != self.id:
            return standin.response(421, "Misdirected Request", {"Request-Id": request_id}), False
        if self.waiting >= QUEUE and self.slots.locked():
            self.record.write(f"{self.id} turned away {request_id}")
            return standin.response(503, "Service Unavailable",
                                    {"Request-Id": request_id, "Not-Executed": "1"}), True
        self.waiting += 1
        try:
            await self.slots.acquire()
        finally:
            self.waiting -= 1
        try:
            self.runs[request_id] = self.runs.get(request_id, 0) + 1
            self.record.write(f"{self.id} runs {request_id}")
            await asyncio.sleep(WORK_S * self.draw.uniform(0.7, 1.3))
        finally:
            self.slots.release()
        return standin.response(200, "OK", {"Request-Id": request_id,
                                            "Response-Signature": f"sig.{self.id}.{request_id}"},
                                f"done {request_id}".encode()), False


class Clients:
    """Clients that send `non_idempotent` requests, and come back once after a promise that nothing ran."""

    def __init__(self, record, fleet, draw):
        self.record, self.fleet, self.draw = record, fleet, draw
        self.answers = {}
        self.mixed = []

    async def one(self, number):
        left = DEADLINE_MS
        for attempt in range(2):
            request_id = f"r{number:06d}{'ab'[attempt]}"
            host = self.draw.choice(self.fleet.hosts)
            body = f"order {number}".encode()
            text = standin.request_bytes("POST", f"/once/{number}", request_id, left, body=body)
            self.record.write(f"client sends {request_id} to {host.name}")
            started = self.record.now()
            answer = await standin.call(host, text, left / 1000 + 1)
            status = answer if isinstance(answer, str) else answer.status
            self.answers[request_id] = status
            self.record.write(f"client gets {status} for {request_id}")
            if not isinstance(answer, str) and status == 200 and answer.body != f"done {request_id}".encode():
                self.mixed.append(request_id)
            if status not in (429, 503):
                return
            wait = min(float(answer.get("retry-after", "0.1")), left / 3000)
            await asyncio.sleep(wait)
            left -= int((self.record.now() - started) * 1000)
            if left < 300:
                return

    async def play(self):
        tasks = []
        number = 0
        until = self.record.now() + LOAD_S
        while self.record.now() < until:
            number += 1
            tasks.append(asyncio.create_task(self.one(number)))
            await asyncio.sleep(self.draw.expovariate(RATE))
        await asyncio.gather(*tasks)


async def main():
    record = standin.Record(FOLDER)
    draw = random.Random(SEED)
    record.write(f"seed {SEED}, trouble {TROUBLE}")
    store = standin.Store()
    await store.start("127.0.0.1")
    routes = [standin.route("once", "/once/", "non_idempotent", "desk", 1, 1200, 150, 2)]
    store.set("config", "main", standin.manifest(7, routes, [standin.plain_service("desk")]))
    desks = []
    for number in range(SERVERS):
        desk = Desk(record, store, number + 1, "127.0.0.1", ["bcw-a", "bcw-b", "bcw-c"][number % 3], draw)
        await desk.start()
        desks.append(desk)
    fleet = standin.Fleet(record, store, HOSTS)
    try:
        if not await fleet.start():
            record.write("the hosts did not become ready")
            return 2
        await asyncio.sleep(3)
        clients = Clients(record, fleet, draw)
        await clients.play()
        await asyncio.sleep(1)
    finally:
        await fleet.stop()
    runs = {}
    for desk in desks:
        for request_id, count in desk.runs.items():
            runs[request_id] = runs.get(request_id, 0) + count
    twice = sorted(request_id for request_id, count in runs.items() if count > 1)
    refused = sorted(request_id for request_id, status in clients.answers.items()
                     if status in (408, 421, 429, 503) and runs.get(request_id, 0) > 0)
    statuses = {}
    for status in clients.answers.values():
        statuses[status] = statuses.get(status, 0) + 1
    answers, extras = (sum(getattr(desk, name) for desk in desks) for name in ("answers", "extras"))
    record.write(f"requests {len(clients.answers)}, by answer {statuses}")
    record.write(f"answers of servers {answers}, given once more {extras}")
    record.write(f"TWICE: run more than once: {twice}")
    record.write(f"REFUSED: promised not to have run, and ran: {refused}")
    record.write(f"MIXED: answer of another request: {clients.mixed}")
    print(f"twice {len(twice)}, refused {len(refused)}, mixed {len(clients.mixed)}, of {len(clients.answers)} "
          f"requests; {extras} extra of {answers} answers; {statuses}")
    record.close()
    if len(clients.answers) < 100:
        return 2
    return 1 if twice or refused or clients.mixed else 0


standin.run(main)
