"""Stand-ins for the users' platform, and the processes of a small deployment, for the scripts of the second review.

Everything runs on loopback and on the real clock: the platform's store and its promotion call (HTTP), database instances and
consumers (the wire protocol of the users' PROTOCOL.md), and proxies that can hold data back. The hosts are the project's own
processes, started with the command of deploy/system.toml and settings rendered from deploy/session_host.yaml.in.
"""

import asyncio
import json
import os
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
START = time.monotonic()


def now():
    """Seconds since the script began."""
    return time.monotonic() - START


class Record:
    """What was sent, answered and run, in the order in which it was seen."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")

    def write(self, who, text):
        self.file.write(f"{now():8.3f} {who:14} {text}\n")
        self.file.flush()


class Store:
    """The platform's metadata store. Loses nothing, answers are linearizable."""

    def __init__(self, record):
        self.record = record
        self.revision = 10
        self.kinds = {}
        self.history = []
        self.changed = asyncio.Event()

    def put(self, kind, name, part, content):
        objects = self.kinds.setdefault(kind, {})
        found = objects.get(name)
        if found is not None and found[part] == content:
            return found
        self.revision += 1
        if found is None:
            found = objects[name] = {"meta": {"Name": name, "Revision": 0, "Created": int(time.time() * 1000),
                                              "Finalizers": [], "Deleting": False}, "spec": None, "status": None}
        found = objects[name] = dict(found, meta=dict(found["meta"], Revision=self.revision))
        found[part] = content
        self.note(kind, name, found, False)
        return found

    def remove(self, kind, name):
        found = self.kinds.get(kind, {}).pop(name, None)
        if found is not None:
            self.revision += 1
            self.note(kind, name, found, True)

    def note(self, kind, name, found, removed):
        self.history.append((self.revision, kind, {"Object": found, "Removed": removed}))
        if kind == "fleet" and not removed:
            self.record.write("store", f"{kind}/{name}@{self.revision} = {json.dumps(found['spec'])}")
        event, self.changed = self.changed, asyncio.Event()
        event.set()

    async def call(self, method, path, query, body):
        parts = [urllib.parse.unquote(p) for p in path.split("/")[3:]]
        kind, name = parts[0], parts[1] if len(parts) > 1 else None
        objects = self.kinds.setdefault(kind, {})
        if method == "GET" and name is not None:
            return (200, objects[name]) if name in objects else (404, {})
        if method == "GET" and "Watch" in query:
            return await self.watch(kind, int(query["Watch"]), int(query.get("WaitMs", 0)))
        if method == "GET":
            items = [objects[n] for n in sorted(objects) if n > query.get("after", "")]
            return 200, {"items": items, "HasMore": False, "StoreRevision": self.revision}
        meta = (body or {}).get("meta", {})
        if method == "POST":
            if meta["Name"] in objects:
                return 409, objects[meta["Name"]]
            return 201, self.put(kind, meta["Name"], "spec", body.get("spec"))
        if name not in objects:
            return 404, {}
        wanted = meta.get("Revision", query.get("Revision"))
        if wanted is not None and int(wanted) != objects[name]["meta"]["Revision"]:
            return 409, objects[name]
        if method == "PUT":
            part = "status" if parts[-1] == "status" and len(parts) > 2 else "spec"
            return 200, self.put(kind, name, part, body.get(part))
        self.remove(kind, name)
        return 200, {}

    async def watch(self, kind, since, wait_ms):
        end = time.monotonic() + wait_ms / 1000
        while True:
            events = [e for revision, k, e in self.history if k == kind and revision > since]
            left = end - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "StoreRevision": self.revision}
            try:
                await asyncio.wait_for(asyncio.shield(self.changed.wait()), left)
            except asyncio.TimeoutError:
                pass


class HttpServer:
    """Serves `call(method, path, query, headers, body)`; `answer_s` is the time that an answer takes."""

    def __init__(self, call, answer_s=0.004):
        self.call = call
        self.answer_s = answer_s

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]
        return self

    async def serve(self, reader, writer):
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
                method, target, _ = head[0].split(" ", 2)
                headers = {k.strip().lower(): v.strip() for k, _, v in (line.partition(":") for line in head[1:] if line)}
                length = int(headers.get("content-length", 0))
                data = await reader.readexactly(length) if length else b""
                path, _, query = target.partition("?")
                body = json.loads(data) if data else None
                status, answer = await self.call(method, path, dict(urllib.parse.parse_qsl(query)), headers, body)
                await asyncio.sleep(self.answer_s)
                text = json.dumps(answer).encode()
                writer.write(b"HTTP/1.1 %d x\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n" % (status, len(text))
                             + text)
                await writer.drain()
                if headers.get("connection", "").lower() == "close":
                    break
        except (asyncio.IncompleteReadError, ConnectionError, ValueError, asyncio.CancelledError):
            pass
        finally:
            writer.close()


class Proxy:
    """A path to one address. While it is cut, bytes in both directions are held and arrive after it has healed, even if their sender
    has closed the connection meanwhile; only a reset by the sender discards them. New connections wait, too."""

    def __init__(self, target):
        self.target = target
        self.open = asyncio.Event()
        self.open.set()
        self.on_request = None  # Called with the first bytes of each request, before they are passed on.

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]
        return self

    def cut(self):
        self.open.clear()

    def heal(self):
        self.open.set()

    async def serve(self, reader, writer):
        try:
            await self.serve_connection(reader, writer)
        except asyncio.CancelledError:
            pass

    async def serve_connection(self, reader, writer):
        await self.open.wait()
        host, port = self.target.split(":")
        try:
            far_reader, far_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.transport.abort()
            return
        await asyncio.gather(self.pump(reader, far_writer, True, writer), self.pump(far_reader, writer, False, far_writer))

    async def pump(self, reader, writer, is_request, back):
        try:
            while True:
                data = await reader.read(65536)
                if data and is_request and self.on_request:
                    self.on_request(data)
                await self.open.wait()
                if not data:
                    if writer.can_write_eof():
                        writer.write_eof()
                    break
                writer.write(data)
                await writer.drain()
        except (ConnectionError, OSError):
            writer.transport.abort()
            back.transport.abort()
        except asyncio.CancelledError:
            pass


class Promotions:
    """The platform's promotion call. Does not check fences (FencingEnforced = false)."""

    def __init__(self, record, databases, promote_s=0.3):
        self.record = record
        self.databases = databases
        self.promote_s = promote_s
        self.calls = []  # (time, holder, fence, id)

    async def call(self, method, path, query, headers, body):
        if method != "POST" or path != "/promotion":
            return 404, {}
        holder, fence = headers.get("lease-holder"), int(headers.get("fencing-token", -1))
        database = self.databases.get(body["Service"])
        target = database.instances.get(body["Id"]) if database else None
        running = target is not None and target.running
        self.calls.append((now(), holder, fence, body["Id"]))
        self.record.write("platform", f"POST /promotion holder={holder} fence={fence} id={body['Id']} running={running}")
        if not running:
            return 409, {}
        if database.primary is not target:
            asyncio.get_running_loop().call_later(self.promote_s, database.promote, target)
        return 200, {}


class Database:
    """One service: instances with a replicated log. A replica receives the primary's log `lag_s` later."""

    def __init__(self, name, record, store, lag_s=0.008):
        self.name = name
        self.record = record
        self.store = store
        self.lag_s = lag_s
        self.instances = {}
        self.primary = None
        self.term = 3
        self.promoted_at = []  # (time, id, term): when promotions took effect.
        self.commits = []      # (time, instance, term, number, tenant, id, items)
        self.runs = []         # (time, instance, tenant, id, text)
        self.reads = []        # (time, instance, role, id, number of the last entry in its log)
        self.deaf = False      # The replicas receive nothing.

    def add(self, instance):
        self.instances[instance.id] = instance
        if self.primary is None:
            self.primary = instance
            instance.role, instance.term = "primary", self.term

    def set_deaf(self, deaf):
        """The replicas receive nothing, or receive again all that they lack."""
        self.deaf = deaf
        self.record.write(self.name, "replicas receive nothing" if deaf else "replicas receive again")
        for other in self.instances.values():
            if not deaf and other.role == "replica" and not other.cut_off:
                other.follow(self.primary)

    def promote(self, target):
        if not target.running or self.primary is target:
            return
        old, self.primary = self.primary, target
        self.term += 1
        target.role, target.term = "primary", self.term
        kept = len(target.log)
        self.promoted_at.append((now(), target.id, self.term))
        self.record.write("platform", f"promotion of {target.id} takes effect: term {self.term}, {kept} entries")
        target.report()
        for other in self.instances.values():
            if other is not target and other.role == "replica":
                other.follow(target)
        asyncio.get_running_loop().call_later(1.0, old.step_down, target)  # The old primary learns of it a second later.


class Instance:
    """A database instance on the wire protocol."""

    def __init__(self, ident, database, zone, slots=2, work_s=0.004, cap=16):
        self.id, self.database, self.zone = ident, database, zone
        self.slots, self.work_s, self.cap = asyncio.Semaphore(slots), work_s, cap
        self.slot_count = slots
        self.role, self.term = "replica", database.term
        self.log = []      # (term, number, {item: data})
        self.data = {}
        self.running, self.state = True, "ready"
        self.cut_off = False  # From the other zones, the store among them.
        self.path = None      # A proxy, if the instance is reached through one.
        self.sequence = 0
        self.connections = 0
        database.add(self)

    async def start(self, behind_proxy=False):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]
        if behind_proxy:
            self.path = await Proxy(self.address).start()
            self.address = self.path.address
        self.report()
        self.beating = asyncio.create_task(self.beat())
        return self

    async def beat(self):
        while self.running:
            await asyncio.sleep(1.2)
            self.report()

    def cut(self):
        """Cuts the instance off. Its entry in the store expires after three heartbeat intervals."""
        self.cut_off = True
        self.path.cut()
        asyncio.get_running_loop().call_later(3.6, self.expire)

    def expire(self):
        if self.cut_off:
            self.database.store.remove("servers", self.id)

    def heal(self):
        self.cut_off = False
        self.path.heal()
        if self.role == "replica":
            self.follow(self.database.primary)
        self.report()

    def report(self):
        if self.cut_off:
            return
        self.sequence += 1
        spec = {"Service": self.database.name, "Address": self.address, "Zone": self.zone, "Version": "v1",
                "Slots": self.slot_count, "State": self.state, "ColdRemainingMs": 0, "Sequence": self.sequence,
                "DatabaseRole": self.role, "born": 1}
        known = self.database.store.kinds.get("servers", {}).get(self.id)
        if known and {**known["spec"], "Sequence": 0} == {**spec, "Sequence": 0}:
            return
        self.database.store.put("servers", self.id, "spec", spec)

    def position(self):
        return "%d.%d" % (self.log[-1][0], self.log[-1][1]) if self.log else "%d.0" % self.term

    def at_least(self, text):
        term, number = (int(x) for x in text.split("."))
        last = (self.log[-1][0], self.log[-1][1]) if self.log else (self.term, 0)
        return last >= (term, number)

    def apply(self, entry):
        self.log.append(entry)
        self.data.update(entry[2])

    def follow(self, leader):
        """Rolls back what the leader lacks, and takes the rest."""
        self.log = list(leader.log)
        self.data = {}
        for entry in self.log:
            self.data.update(entry[2])
        self.term = leader.term

    def step_down(self, leader):
        if self.database.primary is not self and self.role == "primary":
            self.database.record.write(self.id, "learns that it was replaced")
            self.role = "replica"
            self.follow(self.database.primary)
            self.report()

    def commit(self, tenant, ident, items):
        number = (self.log[-1][1] if self.log else 0) + 1
        entry = (self.term, number, items)
        self.apply(entry)
        self.database.commits.append((now(), self.id, self.term, number, tenant, ident, items))
        loop = asyncio.get_running_loop()
        for other in self.database.instances.values():
            if other is not self and other.running:
                loop.call_later(self.database.lag_s, self.replicate, other, entry)

    def replicate(self, other, entry):
        if other.role == "replica" and not other.cut_off and not self.database.deaf and self.database.primary is self and entry not in other.log:
            other.apply(entry)

    async def serve(self, reader, writer):
        session = {"values": {}, "prepared": {}, "tx": None}
        try:
            line = (await reader.readuntil(b"\r\n"))[:-2].decode()
            words = line.split(" ")
            if words[0] != "START" or words[1] != self.database.name or (len(words) > 3 and words[3] != self.id):
                writer.write(b"ERROR MISROUTED other\r\n")
                return
            if self.connections >= self.cap:
                writer.write(b"ERROR TOOMANY connections\r\n")
                return
            self.connections += 1
            try:
                tenant = words[2]
                writer.write(f"READY I {self.position()}\r\n".encode())
                while True:
                    line = (await reader.readuntil(b"\r\n"))[:-2].decode()
                    if line == "BYE":
                        return
                    _, ident, text = line.split(" ", 2)
                    answer = await self.run(session, tenant, ident, text)
                    writer.write(answer.encode())
                    await writer.drain()
            finally:
                self.connections -= 1
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def run(self, session, tenant, ident, text):
        def ready():
            return f"READY {session['tx']['state'] if session['tx'] else 'I'} {self.position()}\r\n"

        def error(code, more=""):
            if session["tx"] and code not in ("BUSY",):
                session["tx"]["state"] = "E"
            return f"ERROR {code} {more or self.id}\r\n" + ready()

        after = re.match(r"AFTER (\S+) (.*)$", text, re.S)
        if after:
            if not self.at_least(after.group(1)):
                return error("LAGGING")
            text = after.group(2)
        word, _, rest = text.partition(" ")
        if ident != "-":
            self.database.runs.append((now(), self.id, tenant, ident, text))
            self.database.record.write(self.id, f"tenant={tenant} runs {ident} {text!r} as {self.role} term={self.term}")
        proof = "%d.%s.%s" % (self.term, ident, os.urandom(4).hex())
        tx = session["tx"]
        if tx and tx["state"] == "E" and word not in ("ROLLBACK", "COMMIT"):
            return error("MALFORMED")
        if word == "STATUS":
            return f"ROW {self.role} {self.term} {self.position()} 0 0 0 {self.connections}\r\nDONE -\r\nREADY I {self.position()}\r\n"
        if word == "DEMOTE":
            self.step_down(self.database.primary)
            return f"ROW {self.role} {self.term} {self.position()} 0 0 0 {self.connections}\r\nDONE -\r\nREADY I {self.position()}\r\n"
        if word == "RESET":
            session["values"], session["prepared"] = {}, {}
            return "DONE -\r\n" + ready()
        if word == "SET":
            name, _, value = rest.partition(" ")
            session["values"][name] = value
            return "DONE -\r\n" + ready()
        if word == "PREPARE":
            name, mode, shape = rest.split(" ", 2)
            session["prepared"][name] = (mode, shape)
            return "DONE -\r\n" + ready()
        if word == "BEGIN":
            if rest != "READ" and self.role != "primary":
                return error("READONLY")
            session["tx"] = {"state": "T", "items": {}, "plain": rest != "READ", "term": self.term}
            return "DONE -\r\n" + ready()
        if word == "ROLLBACK" or (word == "COMMIT" and tx and tx["state"] == "E"):
            session["tx"] = None
            return "DONE -\r\n" + ready() if word == "ROLLBACK" else error("ABORTED")
        async with self.slots:
            await asyncio.sleep(self.work_s)
            writes = word == "WRITE" or (word == "EXECUTE" and session["prepared"].get(rest.split(" ")[0], ("READ",))[0] == "WRITE")
            lost_lead = tx and tx["plain"] and (self.role != "primary" or self.term != tx["term"])
            if lost_lead and not (word == "COMMIT" and not tx["items"]):
                return error("READONLY")
            if writes and self.role != "primary":
                return error("READONLY")
            if word == "EXECUTE":
                rest = rest.split(" ", 1)[1]
            if word == "COMMIT":
                session["tx"] = None
                if tx["items"]:
                    self.commit(tenant, ident, tx["items"])
                return f"DONE {proof}\r\n" + ready()
            item, _, data = rest.partition(" ")
            if writes:
                if tx:
                    tx["items"][item] = data
                else:
                    self.commit(tenant, ident, {item: data})
                return f"DONE {proof}\r\n" + ready()
            self.database.reads.append((now(), self.id, self.role, ident, self.log[-1][1] if self.log else 0))
            value = (tx or {"items": {}})["items"].get(item, self.data.get(item, "none"))
            # The items of a list are its rows.
            rows = value.split(";") if item.startswith("list-") else [value]
            return "".join(f"ROW {row}\r\n" for row in rows) + f"DONE {proof}\r\n" + ready()


class Consumer:
    """A consumer's session."""

    count = 0

    def __init__(self, record, name):
        self.record, self.name = record, name

    async def connect(self, address, database, key):
        host, port = address.split(":")
        self.reader, self.writer = await asyncio.open_connection(host, int(port))
        self.writer.write(f"START {database} {key}\r\n".encode())
        line = await asyncio.wait_for(self.line(), 5)
        self.record.write(self.name, f"START {database} {key} -> {line}")
        return line

    async def line(self):
        return (await self.reader.readuntil(b"\r\n"))[:-2].decode()

    async def query(self, text, limit=6):
        Consumer.count += 1
        ident = "%04x%s" % (Consumer.count, os.urandom(6).hex())
        self.record.write(self.name, f"sends {ident} {text!r}")
        sent = now()
        rows, outcome = [], None
        try:
            self.writer.write(f"QUERY {ident} {text}\r\n".encode())
            while True:
                line = await asyncio.wait_for(self.line(), limit)
                if line.startswith("ROW "):
                    rows.append(line[4:])
                elif line.startswith(("DONE ", "ERROR ")):
                    outcome = line
                elif line.startswith("READY "):
                    break
        except (asyncio.IncompleteReadError, asyncio.TimeoutError, ConnectionError) as failure:
            outcome = f"BROKEN {type(failure).__name__}"
        self.record.write(self.name, f"gets  {ident} {outcome} {rows}")
        return {"id": ident, "sent": sent, "done": now(), "outcome": outcome, "rows": rows, "text": text,
                "ok": bool(outcome) and outcome.startswith("DONE ")}

    def close(self):
        if hasattr(self, "writer"):
            self.writer.close()


def free_ports(count):
    sockets = [socket.socket() for _ in range(count)]
    for each in sockets:
        each.bind(("127.0.0.1", 0))
    ports = [each.getsockname()[1] for each in sockets]
    for each in sockets:
        each.close()
    return ports


class Host:
    """One session host process."""

    def __init__(self, lab, name, zone, store_address, promotion_address):
        self.lab, self.name, self.zone = lab, name, zone
        peer, front, ready, metrics = ("127.0.0.1:%d" % port for port in free_ports(4))
        self.front, self.ready = front, ready
        zones = "\n".join(f'  "{z}": "{r}"' for z, r in lab.zones.items())
        self.settings = os.path.join(lab.folder, name + ".yaml")
        with open(self.settings, "w", encoding="utf-8") as out:
            out.write(f'id: "{name}"\ndata_centre: "{zone}"\npeer_address: "{peer}"\ncallers_address: "{front}"\n'
                      f'readiness_address: "{ready}"\nmetrics_address: "{metrics}"\nstore_address: "{store_address}"\n'
                      f'promotion_address: "{promotion_address}"\nfleet_secret: "camphorstack-session-fleet"\nstop_grace: 6s\n'
                      f'memory_limit: 260MB\ndescriptor_limit: 4300\nkey_withdrawal: 5000ms\ndocument_in_force: 3000ms\n'
                      f'data_centres:\n{zones}\n')
        self.process = None

    def start(self):
        log = open(os.path.join(self.lab.folder, self.name + ".log"), "ab")
        self.process = subprocess.Popen(["target/bin/camphorstack", "serve-sessions", "--settings=" + self.settings], cwd=ROOT,
                                        stdin=subprocess.DEVNULL, stdout=log, stderr=subprocess.STDOUT,
                                        env={"PATH": os.environ.get("PATH", ""), "HOME": self.lab.folder, "LANG": "C.UTF-8"})
        self.lab.record.write(self.name, f"started, process {self.process.pid}")

    def signal(self, number):
        if self.process and self.process.poll() is None:
            self.lab.record.write(self.name, f"gets {signal.Signals(number).name}")
            self.process.send_signal(number)

    def kill(self):
        if self.process and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection(*self.ready.split(":"))
            writer.write(b"GET /camphorstack/readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            head = await asyncio.wait_for(reader.readline(), 1)
            writer.close()
            return b" 200 " in head
        except (OSError, asyncio.TimeoutError):
            return False

    def log_text(self):
        try:
            with open(os.path.join(self.lab.folder, self.name + ".log"), encoding="utf-8", errors="replace") as text:
                return text.read()
        except OSError:
            return ""


class Lab:
    """A deployment on this machine."""

    def __init__(self, folder, zones):
        self.out = folder
        self.record = Record(folder)
        self.folder = tempfile.mkdtemp(prefix="camphor-review-")
        self.zones = zones
        self.store = Store(self.record)
        self.databases = {}
        self.hosts = []
        self.version = 1000

    async def start_platform(self):
        self.promotions = Promotions(self.record, self.databases)
        self.store_server = await HttpServer(lambda m, p, q, h, b: self.store.call(m, p, q, b)).start()
        self.cloud_server = await HttpServer(self.promotions.call).start()

    def write_document(self, routes, tenants, idle_ms=20000):
        self.version += 3
        services = [{"Name": name, "MaxConnections": 16, "SyncReplicas": 0} for name in self.databases]
        self.store.put("config", "main", "spec", {"Version": self.version, "Routes": routes, "Services": services,
                                                  "Tenants": tenants, "Limits": {"TransactionIdleMs": idle_ms}})
        self.record.write("operator", f"version {self.version} is acknowledged: tenants {json.dumps(tenants)}")
        return now()

    async def wait_ready(self, limit=20):
        end = now() + limit
        while now() < end:
            if all([await host.is_ready() for host in self.hosts]) and \
                    all("leader-" + name in self.store.kinds.get("fleet", {}) for name in self.databases) and \
                    len(json.loads(json.dumps(self.store.kinds["fleet"].get("members", {"spec": {"hosts": []}})["spec"]))["hosts"]) \
                    == len(self.hosts):
                return True
            await asyncio.sleep(0.1)
        return False

    def stop(self):
        for host in self.hosts:
            host.kill()
            text = host.log_text()
            for line in text.splitlines():
                if re.search(r"event=(leader_|promotion_|duty_|transaction_refused|coordinator_|members_adopted)", line):
                    self.record.write(host.name + ".log", line[:300])
        shutil.rmtree(self.folder, ignore_errors=True)


def route(name, service, kind, **more):
    return {"Name": name, "Host": name, "Service": service, "Kind": kind, "MaxStalenessMs": more.get("stale", 1500),
            "TimeoutMs": 800, "TargetLatencyMs": 500, "Priority": 0, "Public": False}


def run(main):
    """Runs `main(folder, trouble)`, which returns (exit code, text)."""
    folder = os.path.dirname(os.path.abspath(sys.argv[0]))
    trouble = os.environ.get("TROUBLE", "1") != "0"
    try:
        code, text = asyncio.run(asyncio.wait_for(main(folder, trouble), 110))
    except Exception as failure:  # The case could not run.
        code, text = 2, f"{type(failure).__name__}: {failure}"
    print(text)
    with open(os.path.join(folder, "record.txt"), "a", encoding="utf-8") as out:
        out.write(f"{now():8.3f} {'result':14} exit {code}: {text}\n")
    sys.exit(code)
