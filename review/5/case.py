"""A desired state allows a route reads that are 30 days old; then all processes are killed. Checks RECOVER: see claim.txt."""

import asyncio
import os
import signal
import sys

from deployment import REVOCATION_MS, Deployment, run_case
from model import Consumer, Database, Record, SessionClosed

TROUBLE = os.environ.get("TROUBLE") != "0"
RECOVERY_S = 12
CONSUMERS = 6
STATEMENT_LIMIT_S = 5.0  # The time budget of range-reserve and book-return.
STALENESS_MS = 30 * 24 * 3600 * 1000 if TROUBLE else 2500

record = Record("record.txt")


def route(name, kind, staleness_ms):
    return {"Name": f"r-{name}", "Host": name, "PathPrefix": "/", "Kind": kind, "TimeoutMs": 800, "TargetLatencyMs": 500,
            "Priority": 1, "Service": "registry", "MaxAttempts": 2, "MaxStalenessMs": staleness_ms, "Public": False,
            "AllowedRegions": []}


def tenant(name, keys):
    return {"Name": name, "ApiKeys": keys, "Priority": 1, "RatePerS": 500, "Burst": 500, "AllowedRegions": []}


async def work(stop, name, hosts, key, results):
    """Sends one write after the other, each at the next host. Records when it was sent and whether it was served."""
    count = 0
    while not stop.is_set():
        host = hosts[count % len(hosts)]
        count += 1
        consumer = Consumer(record, f"{name}-{count}")
        sent = record.now()
        served = False
        try:
            await asyncio.wait_for(consumer.open(host.callers, "reserve", key), 2)
            _, _, outcome, _ = await asyncio.wait_for(consumer.query(f"WRITE {count % 50:x} data"), STATEMENT_LIMIT_S)
            served = outcome.startswith("DONE proof.")
        except (SessionClosed, OSError, asyncio.TimeoutError, asyncio.IncompleteReadError) as error:
            record.line(f"consumer {consumer.name}: not served: {error!r}")
        consumer.close()
        results.append((sent, served))
        await asyncio.sleep(0.1)


def share(results, begin, end):
    chosen = [served for sent, served in results if begin <= sent < end]
    return sum(chosen) / len(chosen) if chosen else 0.0


async def main():
    deployment = Deployment(record, ["amman-a", "irbid-a", "aqaba-a"])
    database = Database(deployment.store, record, "registry", lambda word: 0.0045)
    deployment.databases.append(database)
    reserve = route("reserve", "primary", 0)
    stop = asyncio.Event()
    try:
        await database.start(["amman-a", "irbid-a", "aqaba-a"])
        await deployment.put_config(1, [reserve], [tenant("ministry", ["key1"]), tenant("cashier", ["key2", "key3"])])
        await deployment.start()
        await asyncio.sleep(4)
        kept, withdrawn = [], []
        workers = [asyncio.ensure_future(work(stop, f"c{index}", deployment.hosts, "key1", kept)) for index in range(CONSUMERS)]
        workers.append(asyncio.ensure_future(work(stop, "d", deployment.hosts, "key2", withdrawn)))
        began = record.now()
        await asyncio.sleep(4)
        # The new version adds a route for reports and takes a key of one tenant away.
        record.line(f"operator: version 2 adds a route with MaxStalenessMs {STALENESS_MS} and takes key2 away")
        await deployment.put_config(2, [reserve, route("reports", "bounded_staleness", STALENESS_MS)],
                                    [tenant("ministry", ["key1"]), tenant("cashier", ["key3"])])
        acknowledged = record.now()
        await asyncio.sleep(REVOCATION_MS / 1000 + 3)
        killed = record.now()
        late = sum(served for sent, served in withdrawn if acknowledged + REVOCATION_MS / 1000 < sent < killed)
        record.line(f"note: {late} requests with key2, sent later than RevocationMs after the ack of version 2, were served")
        for host in deployment.hosts:
            deployment.signal(host, signal.SIGKILL)
        await asyncio.sleep(1)
        for host in deployment.hosts:
            host.process.wait()
            deployment.start_host(host)
        back = record.now()
        await asyncio.sleep(RECOVERY_S + 10)
        stop.set()
        ended = record.now()
        await asyncio.gather(*workers)
        before, after = share(kept, began, killed), share(kept, back + RECOVERY_S, ended)
        ready = [host.name for host in deployment.hosts if await deployment.is_ready(host)]
        record.line(f"check: {before:.2f} served before all processes were killed; {after:.2f} of what was sent later than "
                    f"{RECOVERY_S} s after they were back; ready at the end: {ready}; {late} served with the key taken away")
        print(f"{before:.2f} served before, {after:.2f} after; ready: {ready}; {late} served with the key taken away")
        if before < 0.25:
            raise RuntimeError("less than a quarter was served before the fault")
        return after >= 0.25
    finally:
        deployment.end()


sys.exit(run_case(main, record))
