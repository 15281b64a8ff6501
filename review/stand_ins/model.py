"""Stand-ins for the platform's store, the promotion API and database instances, as PROTOCOL.md describes them.

All run in one asyncio loop and listen on loopback addresses. Only Python's standard library is used.
"""

import asyncio
import json
import time
import urllib.parse

LOOPBACK = "127.0.0.1"


class Record:
    """Writes record.txt: what was sent, answered and run, with the seconds since the start."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.began = time.monotonic()

    def now(self):
        return time.monotonic() - self.began

    def line(self, text):
        self.file.write(f"{self.now():9.3f} {text}\n")
        self.file.flush()


class HttpServer:
    """HTTP/1.1 with keep-alive. `handle(method, path, query, headers, body)` returns (status, object) or None for no answer."""

    async def listen(self, handle):
        async def serve(reader, writer):
            try:
                while True:
                    request = (await reader.readuntil(b"\r\n\r\n")).decode()
                    lines = request.split("\r\n")
                    method, target, _ = lines[0].split(" ", 2)
                    headers = {}
                    for item in lines[1:]:
                        name, colon, value = item.partition(":")
                        if colon:
                            headers[name.strip().lower()] = value.strip()
                    body = await reader.readexactly(int(headers.get("content-length", "0")))
                    parts = urllib.parse.urlsplit(target)
                    query = {k: v[0] for k, v in urllib.parse.parse_qs(parts.query).items()}
                    answer = await handle(method, urllib.parse.unquote(parts.path), query, headers, body)
                    if answer is None:
                        await asyncio.sleep(3600)
                        return
                    status, content = answer
                    text = json.dumps(content).encode()
                    head = f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {len(text)}\r\n\r\n"
                    writer.write(head.encode() + text)
                    await writer.drain()
            except (asyncio.IncompleteReadError, ConnectionError):
                pass
            finally:
                writer.close()

        server = await asyncio.start_server(serve, LOOPBACK, 0, backlog=256)
        return f"{LOOPBACK}:{server.sockets[0].getsockname()[1]}"


class Store:
    """The platform's metadata store. Each host gets an address of its own, so that a case can disturb the calls of one host."""

    PREFIX = "/camphorstack/objects/"

    def __init__(self, record, answer_s=0.004):
        self.record = record
        self.answer_s = answer_s
        self.revision = 100
        self.kinds = {}
        self.events = []  # (revision, kind, object, removed)
        self.changed = asyncio.Condition()
        self.before = {}  # host -> coroutine(method, path) that may delay a call or return an answer instead

    async def listen_for(self, host):
        async def handle(method, path, query, headers, body):
            hook = self.before.get(host)
            if hook is not None:
                answer = await hook(method, path)
                if answer is not None:
                    return answer
            return await self.handle(host, method, path, query, body)

        return await HttpServer().listen(handle)

    async def handle(self, host, method, path, query, body):
        if not path.startswith(self.PREFIX):
            return 404, {}
        kind, _, name = path[len(self.PREFIX):].partition("/")
        if method == "GET" and "Watch" in query:
            return await self.watch(kind, int(query["Watch"]), int(query.get("WaitMs", "0")) / 1000)
        await asyncio.sleep(self.answer_s)
        objects = self.kinds.setdefault(kind, {})
        if method == "GET" and name:
            return (200, objects[name]) if name in objects else (404, {})
        if method == "GET":
            items = [objects[n] for n in sorted(objects) if n > query.get("after", "")]
            return 200, {"items": items[:500], "HasMore": len(items) > 500, "StoreRevision": self.revision}
        if method in ("POST", "PUT"):
            sent = json.loads(body)
            name = name or sent["meta"]["Name"]
            known = objects.get(name)
            wanted = sent["meta"].get("Revision")
            if method == "POST" and known is not None:
                return 409, known
            if method == "PUT" and known is None:
                return 404, {}
            if wanted is not None and known is not None and wanted != known["meta"]["Revision"]:
                return 409, known
            await self.put(kind, name, sent.get("spec"))
            self.record.line(f"store: {host} wrote {kind}/{name} {json.dumps(sent.get('spec'))}")
            return (201 if method == "POST" else 200), objects[name]
        return 404, {}

    async def watch(self, kind, after, wait_s):
        end = time.monotonic() + wait_s
        async with self.changed:
            while True:
                found = [e for e in self.events if e[0] > after and e[1] == kind]
                left = end - time.monotonic()
                if found or left <= 0:
                    break
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass
        events = [{"Object": e[2], "Removed": e[3]} for e in found]
        return 200, {"events": events, "StoreRevision": self.revision}

    async def put(self, kind, name, spec):
        objects = self.kinds.setdefault(kind, {})
        known = objects.get(name)
        if known is not None and known["spec"] == spec:
            return
        self.revision += 1
        meta = {"Name": name, "Revision": self.revision, "Created": 0, "Finalizers": [], "Deleting": False}
        objects[name] = {"meta": meta, "spec": spec, "status": None}
        await self.publish(kind, objects[name], False)

    async def remove(self, kind, name):
        gone = self.kinds.setdefault(kind, {}).pop(name, None)
        if gone is not None:
            self.revision += 1
            await self.publish(kind, gone, True)

    async def publish(self, kind, item, removed):
        async with self.changed:
            self.events.append((self.revision, kind, item, removed))
            self.changed.notify_all()


class Commit:
    def __init__(self, term, number, ids, writes):
        self.term = term
        self.number = number
        self.ids = ids
        self.writes = writes


class Instance:
    """One instance of a database service: `slots`, a log, and the wire protocol."""

    def __init__(self, database, name, zone, lag_s):
        self.database = database
        self.name = name
        self.zone = zone
        self.lag_s = lag_s
        self.role = "replica"
        self.term = database.term
        self.log = []
        self.running = False
        self.state = "ready"
        self.slots = asyncio.Semaphore(database.slots)
        self.waiting = 0
        self.connections = set()
        self.received = asyncio.Condition()
        self.server = None
        self.address = ""
        self.follower = None

    def position(self):
        return (self.log[-1].term, self.log[-1].number) if self.log else (self.database.first_term, 0)

    def position_text(self):
        return "%d.%d" % self.position()

    async def start(self):
        port = int(self.address.rpartition(":")[2]) if self.address else 0
        self.server = await asyncio.start_server(self.serve, LOOPBACK, port, backlog=256)
        self.address = f"{LOOPBACK}:{self.server.sockets[0].getsockname()[1]}"
        self.running = True
        self.follower = asyncio.ensure_future(self.follow())
        await self.report()

    async def report(self):
        await self.database.store.put("servers", self.name, {
            "Service": self.database.name, "Address": self.address, "Zone": self.zone, "Version": "v1",
            "Slots": self.database.slots, "State": self.state, "ColdRemainingMs": 0, "DatabaseRole": self.role,
            "Sequence": 1})

    async def crash(self):
        """The process ends at once. Its entry in the store expires after three heartbeat intervals."""
        self.running = False
        self.server.close()
        self.follower.cancel()
        for writer in list(self.connections):
            writer.transport.abort()
        await asyncio.sleep(3 * 1.2)
        if not self.running:
            await self.database.store.remove("servers", self.name)

    async def follow(self):
        """Receives the primary's commits, each `lag_s` after it was made."""
        database = self.database
        while True:
            await asyncio.sleep(0.001)
            primary = database.primary
            if primary is self or not primary.running or self.role != "replica":
                continue
            common = 0
            while common < min(len(self.log), len(primary.log)) and self.log[common] is primary.log[common]:
                common += 1
            del self.log[common:]
            now = time.monotonic()
            for commit in primary.log[len(self.log):]:
                if now - commit.made < self.lag_s:
                    break
                self.log.append(commit)
            async with primary.received:
                primary.received.notify_all()

    async def take_slot(self, seconds):
        if self.waiting >= self.database.queue:
            return False
        self.waiting += 1
        async with self.slots:
            self.waiting -= 1
            await asyncio.sleep(seconds)
        return True

    async def serve(self, reader, writer):
        self.connections.add(writer)
        try:
            await self.converse(reader, writer)
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    async def converse(self, reader, writer):
        database = self.database
        words = (await reader.readuntil(b"\n")).decode().rstrip("\r\n").split(" ")
        if words[0] != "START" or words[1] != database.name or (len(words) > 3 and words[3] != self.name):
            writer.write(b"ERROR MISROUTED " + self.name.encode() + b"\r\n")
            return
        if len(self.connections) > database.max_connections:
            writer.write(b"ERROR TOOMANY full\r\n")
            return
        await self.take_slot(0.012)
        session = {"values": {}, "prepared": {}, "state": "I", "plain": False, "writes": [], "ids": [], "tenant": words[2]}

        def answer(rows, outcome):
            text = "".join(f"ROW {row}\r\n" for row in rows) + outcome + f"\r\nREADY {session['state']} {self.position_text()}\r\n"
            writer.write(text.encode())

        writer.write(f"READY I {self.position_text()}\r\n".encode())
        while True:
            line = (await reader.readuntil(b"\n")).decode().rstrip("\r\n")
            if line == "BYE":
                return
            _, query_id, text = line.split(" ", 2)
            rows, outcome = await self.run(session, query_id, text)
            if not self.running:
                return
            answer(rows, outcome)
            await writer.drain()

    def fail(self, session, code):
        if session["state"] == "T":
            session["state"] = "E"
        return [], f"ERROR {code} {self.name}"

    def proof(self, query_id):
        return f"DONE proof.{self.name}.{query_id}"

    async def run(self, session, query_id, text):
        """Runs one statement. Returns its rows and its DONE or ERROR line."""
        database = self.database
        if text.startswith("AFTER "):
            _, wanted, text = text.split(" ", 2)
            term, number = wanted.split(".")
            if self.position() < (int(term), int(number)):
                return [], f"ERROR LAGGING {self.name}"
        words = text.split(" ")
        word = words[0]
        if word == "STATUS":
            if not await self.take_slot(0.001):
                return [], "ERROR BUSY full"
            row = f"{self.role} {self.term} {self.position_text()} 0 {int(self.lag_s * 1000)} 0 {len(self.connections)}"
            return [row], "DONE -"
        if word == "RESET":
            session["values"], session["prepared"] = {}, {}
            return [], "DONE -"
        if word == "SET":
            session["values"][words[1]] = " ".join(words[2:])
            return [], "DONE -"
        if word == "PREPARE":
            session["prepared"][words[1]] = (words[2], words[3])
            return [], "DONE -"
        if word == "BEGIN":
            plain = len(words) == 1
            if plain and self.role != "primary":
                return [], f"ERROR READONLY {self.name}"
            session.update(state="T", plain=plain, writes=[], ids=[])
            return [], "DONE -"
        if word == "ROLLBACK":
            session.update(state="I", writes=[], ids=[])
            return [], "DONE -"
        if session["state"] == "E" and word != "COMMIT":
            return [], f"ERROR MALFORMED {self.name}"
        if word == "EXECUTE":
            if words[1] not in session["prepared"]:
                return self.fail(session, "NOSTMT")
            mode, _ = session["prepared"][words[1]]
            words = [mode] + words[2:]
            word = mode
        if word == "WRITE" and self.role != "primary":
            return self.fail(session, "READONLY")
        if not await self.take_slot(database.work_s(word)):
            return self.fail(session, "BUSY") if session["state"] == "I" else ([], "ERROR BUSY full")
        if not self.running:
            return [], ""
        if session["state"] == "T" and session["plain"] and self.role != "primary" and (word != "COMMIT" or session["writes"]):
            return self.fail(session, "READONLY")
        database.ran(self, session, query_id, text)
        if word == "READ":
            value = database.value(self, words[1])
            return [value], self.proof(query_id)
        if word == "WRITE":
            session["writes"].append((words[1], " ".join(words[2:])))
            session["ids"].append(query_id)
            if session["state"] == "I":
                ids, writes = session["ids"], session["writes"]
                session.update(writes=[], ids=[])
                await self.commit(ids, writes)
            return [], self.proof(query_id)
        if word == "COMMIT":
            ids, writes = session["ids"] + [query_id], session["writes"]
            session.update(state="I", writes=[], ids=[])
            if writes:
                await self.commit(ids, writes)
            return [], self.proof(query_id)
        return [], f"ERROR MALFORMED {self.name}"

    async def commit(self, ids, writes):
        number = self.position()[1] + 1
        commit = Commit(self.term, number, ids, writes)
        commit.made = time.monotonic()
        self.log.append(commit)
        self.database.record.line(f"instance {self.name}: commit {self.term}.{number} of {','.join(ids)}")
        if self.database.sync_replicas:
            async with self.received:
                while self.running and not any(commit in other.log for other in self.database.instances
                                               if other is not self and other.running):
                    await self.received.wait()


class Database:
    def __init__(self, store, record, name, work_s, lag_s=0.008, promote_s=0.3, slots=2, max_connections=16, sync_replicas=0):
        self.store = store
        self.record = record
        self.name = name
        self.work_s = work_s
        self.lag_s = lag_s
        self.promote_s = promote_s
        self.slots = slots
        self.queue = 16
        self.max_connections = max_connections
        self.sync_replicas = sync_replicas
        self.first_term = 3
        self.term = 3
        self.instances = []
        self.primary = None
        self.runs = []
        self.promotions = []

    def ran(self, instance, session, query_id, text):
        self.runs.append((self.record.now(), instance.name, query_id))
        self.record.line(f"instance {instance.name}: ran {query_id} {text} (tenant {session['tenant']})")

    def value(self, instance, item):
        for commit in reversed(instance.log):
            for name, data in reversed(commit.writes):
                if name == item:
                    return data
        return "none"

    async def start(self, zones):
        for index, zone in enumerate(zones):
            self.instances.append(Instance(self, f"i-{self.name}-{index + 1}", zone, self.lag_s))
        self.primary = self.instances[0]
        self.primary.role = "primary"
        for instance in self.instances:
            await instance.start()

    async def promote(self, name):
        """POST /promotion. Returns the HTTP status."""
        target = next((i for i in self.instances if i.name == name), None)
        if target is None or not target.running:
            return 409
        if target is self.primary:
            return 200

        async def take_effect():
            await asyncio.sleep(self.promote_s)
            if not target.running:
                return
            old = self.primary
            self.term += 1
            target.term, target.role = self.term, "primary"
            self.primary = target
            kept = [i for commit in target.log for i in commit.ids]
            self.promotions.append((self.record.now(), target.name, set(kept), target.position()))
            self.record.line(f"instance {target.name}: promoted, term {self.term}, log ends at {target.position_text()}")
            await target.report()
            await asyncio.sleep(1)
            if old.running and old is not self.primary:
                old.role = "replica"
                await old.report()

        asyncio.ensure_future(take_effect())
        return 200


class Cloud:
    """The platform's promotion API."""

    def __init__(self, record, databases):
        self.record = record
        self.databases = databases
        self.calls = []

    async def listen(self):
        async def handle(method, path, query, headers, body):
            await asyncio.sleep(0.004)
            if method != "POST" or path != "/promotion":
                return 404, {}
            sent = json.loads(body)
            database = next((d for d in self.databases if d.name == sent["Service"]), None)
            status = 404 if database is None else await database.promote(sent["Id"])
            holder, fence = headers.get("lease-holder"), headers.get("fencing-token")
            self.calls.append((self.record.now(), holder, int(fence), sent["Service"], sent["Id"], status))
            self.record.line(f"platform: promotion of {sent['Id']} by {holder} with fence {fence}: {status}")
            return status, {}

        return await HttpServer().listen(handle)


class SessionClosed(Exception):
    """The connection ended before the statement had a complete answer."""


class Consumer:
    """A consumer's session."""

    def __init__(self, record, name):
        self.record = record
        self.name = name
        self.reader = self.writer = None
        self.count = 0

    async def open(self, address, database, key):
        host, _, port = address.rpartition(":")
        self.reader, self.writer = await asyncio.open_connection(host, int(port))
        self.writer.write(f"START {database} {key}\r\n".encode())
        line = await self.line()
        if not line.startswith("READY"):
            raise SessionClosed(line)

    async def line(self):
        data = await self.reader.readuntil(b"\n")
        return data.decode().rstrip("\r\n")

    async def query(self, text):
        """Sends one statement. Returns its id, its rows, its outcome line and the session's state."""
        self.count += 1
        query_id = f"{self.name}-{self.count}"
        self.record.line(f"consumer {self.name}: sent {query_id} {text}")
        sent = self.record.now()
        try:
            self.writer.write(f"QUERY {query_id} {text}\r\n".encode())
            rows, outcome = [], None
            while True:
                line = await self.line()
                if line.startswith("ROW "):
                    rows.append(line[4:])
                elif line.startswith("READY "):
                    break
                else:
                    outcome = line
        except (asyncio.IncompleteReadError, ConnectionError) as error:
            self.record.line(f"consumer {self.name}: {query_id}: the connection ended without a complete answer")
            closed = SessionClosed(query_id)
            closed.query_id, closed.sent, closed.ended = query_id, sent, self.record.now()
            raise closed from error
        self.record.line(f"consumer {self.name}: {query_id} answered {outcome} {rows if rows else ''} state {line.split(' ')[1]}")
        return query_id, rows, outcome, line.split(" ")[1]

    def close(self):
        if self.writer is not None:
            self.writer.close()
