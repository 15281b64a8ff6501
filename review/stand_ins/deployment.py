"""Starts session hosts with the command and the settings template of the deploy file, and ends them."""

import asyncio
import os
import re
import shutil
import signal
import socket
import subprocess
import tempfile
import tomllib

from model import LOOPBACK, Cloud, Store

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))

# Zones and bounds of the site file hrna-camphor.
ZONES = {"amman-a": "amman", "irbid-a": "irbid", "aqaba-a": "aqaba"}
GRACE_PERIOD_S = 6
REVOCATION_MS = 5000
CONFIGURATION_APPLY_MS = 3000


def render(template, fields):
    """Fills in the placeholders that the template of this project uses: values and the section over the zones."""

    def section(found):
        return "".join(found.group(2).replace("{{@}}", key).replace("{{.}}", value)
                       for key, value in fields[found.group(1)].items())

    def value(found):
        result = fields
        for part in found.group(1).split("."):
            result = result[int(part)] if isinstance(result, list) else result[part]
        return str(result)

    text = re.sub(r"\{\{#(\w+)\}\}\n(.*?)\{\{/\1\}\}\n?", section, template, flags=re.S)
    return re.sub(r"\{\{([\w.]+)\}\}", value, text)


def free_ports(count):
    sockets = [socket.create_server((LOOPBACK, 0)) for _ in range(count)]
    ports = [item.getsockname()[1] for item in sockets]
    for item in sockets:
        item.close()
    return ports


class Host:
    def __init__(self, name, zone):
        self.name = name
        self.zone = zone
        self.process = None
        self.callers = self.ready = ""


class Deployment:
    def __init__(self, record, zones):
        with open(os.path.join(ROOT, "deploy/system.toml"), "rb") as file:
            self.role = tomllib.load(file)["roles"]["session-host"]
        with open(os.path.join(ROOT, self.role["template"]), encoding="utf-8") as file:
            self.template = file.read()
        self.record = record
        self.store = Store(record)
        self.databases = []
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.hosts = [Host(f"front-{zone}-{index + 1}", zone) for index, zone in enumerate(zones)]

    async def put_config(self, version, routes, tenants):
        services = [{"Name": d.name, "HealthPath": "/health", "MaxConnections": d.max_connections, "Protocol": "h1", "Tls": False,
                     "ColdStartS": 0.0, "ColdPerS": 0.0, "SyncReplicas": d.sync_replicas} for d in self.databases]
        await self.store.put("config", "main", {
            "Version": version, "Routes": routes, "Services": services, "Tenants": tenants,
            "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 262144, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000,
                       "TransactionIdleMs": 3000}})

    async def start(self):
        self.cloud = Cloud(self.record, self.databases)
        self.cloud_address = await self.cloud.listen()
        for host in self.hosts:
            ports = free_ports(4)
            fields = {
                "NodeName": host.name, "Zone": host.zone, "IpAddress": LOOPBACK, "InternalPorts": ports[:2], "Zones": ZONES,
                "Listen": {"Front": f"{LOOPBACK}:{ports[2]}", "Ready": f"{LOOPBACK}:{ports[3]}"},
                "platform": {"Address": await self.store.listen_for(host.name)}, "Cloud": {"Address": self.cloud_address},
                "Bounds": {"GracePeriodS": GRACE_PERIOD_S, "RevocationMs": REVOCATION_MS,
                           "ConfigurationApplyMs": CONFIGURATION_APPLY_MS}}
            host.callers, host.ready = fields["Listen"]["Front"], fields["Listen"]["Ready"]
            host.settings = os.path.join(self.folder, host.name + ".yaml")
            with open(host.settings, "w", encoding="utf-8") as file:
                file.write(render(self.template, fields))
        for host in self.hosts:
            self.start_host(host)
        for host in self.hosts:
            await self.wait_ready(host)

    def start_host(self, host):
        words = [word.replace("/etc/camphorstack/boot.toml", host.settings) for word in self.role["run"].split(" ")]
        log = open(os.path.join(self.folder, host.name + ".log"), "ab")
        host.process = subprocess.Popen([os.path.join(ROOT, words[0])] + words[1:], cwd=ROOT, stdout=log, stderr=log)
        self.record.line(f"host {host.name}: started")

    def signal(self, host, number):
        self.record.line(f"host {host.name}: {signal.Signals(number).name}")
        host.process.send_signal(number)

    async def is_ready(self, host):
        try:
            name, _, port = host.ready.rpartition(":")
            reader, writer = await asyncio.open_connection(name, int(port))
            writer.write(b"GET /camphorstack/readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            status = await asyncio.wait_for(reader.readline(), 2)
            writer.close()
            return b" 200 " in status
        except (OSError, asyncio.TimeoutError):
            return False

    async def wait_ready(self, host, limit_s=20):
        for _ in range(limit_s * 10):
            if host.process.poll() is None and await self.is_ready(host):
                return
            await asyncio.sleep(0.1)
        raise RuntimeError(f"{host.name} is not ready")

    def end(self, keep_logs=False):
        for host in self.hosts:
            if host.process is not None and host.process.poll() is None:
                host.process.send_signal(signal.SIGCONT)
                host.process.kill()
                host.process.wait()
        if keep_logs:
            print("logs:", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def run_case(main, record):
    """Runs `main`, which returns True if the rule held. Returns the exit code: 0 held, 1 broken, 2 could not run."""
    signal.signal(signal.SIGTERM, signal.default_int_handler)  # So that the hosts are ended then too.
    try:
        return 0 if asyncio.run(asyncio.wait_for(main(), 110)) else 1
    except Exception as error:  # The case could not run, whatever the reason.
        record.line(f"could not run: {error!r}")
        print(f"could not run: {error!r}")
        return 2
