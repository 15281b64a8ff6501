"""The hosts get SIGTERM and start again in turn while consumers have transactions open. Checks LOST: see claim.txt."""

import asyncio
import os
import random
import signal
import sys

from deployment import GRACE_PERIOD_S, Deployment, run_case
from model import Consumer, Database, Record, SessionClosed

TROUBLE = os.environ.get("TROUBLE") != "0"
STABILITY_WINDOW_S = 4.0
STATEMENTS = 10  # Between BEGIN and COMMIT.
PAUSE_S = 0.38
WORK_S = 0.024  # book-return: 14 ms in the mean, up to 34 ms; serial-verify: 22 ms in the mean, up to 170 ms.


class Kind:
    """A kind of request of the site."""

    def __init__(self, name, route_kind, sessions, budget_s, timeout_s, target_s, staleness_s, writes):
        self.name = name
        self.route_kind = route_kind
        self.sessions = sessions  # For each of the three databases.
        self.budget_s = budget_s
        self.timeout_s = timeout_s
        self.target_s = target_s
        self.staleness_s = staleness_s
        self.writes = writes

    def route(self, database):
        return {"Name": f"r-{self.name}-{database.name}", "Host": f"{self.name}-{database.name}", "PathPrefix": "/",
                "Kind": self.route_kind, "TimeoutMs": self.timeout_s * 1000, "TargetLatencyMs": self.target_s * 1000, "Priority": 2,
                "Service": database.name, "MaxAttempts": 2, "MaxStalenessMs": self.staleness_s * 1000, "Public": False,
                "AllowedRegions": []}

    def statements(self, consumer):
        reads = [f"READ {random.randrange(2000):x}" for _ in range(STATEMENTS)]
        if not self.writes:
            return ["BEGIN READ"] + reads + ["COMMIT"]
        return ["BEGIN"] + reads[1:] + [f"WRITE {random.randrange(2000):x} by-{consumer.name}", "COMMIT"]


KINDS = [Kind("book-return", "read_your_writes", 11, 5.0, 0.8, 0.5, 2.5, True),
         Kind("serial-verify", "bounded_staleness", 22, 10.0, 1.5, 0.6, 1.5, False)]

record = Record("record.txt")


async def transaction(kind, consumer, lost):
    """One operation: a transaction of 12 statements with pauses between them."""
    await asyncio.sleep(random.uniform(0.9, 1.4))
    began = record.now()
    try:
        for text in kind.statements(consumer):
            _, _, outcome, _ = await consumer.query(text)
            if outcome.startswith("ERROR"):
                break
            await asyncio.sleep(PAUSE_S)
    except SessionClosed as closed:
        lost.append((closed, began, kind))
    consumer.close()


async def stop_under_load(deployment, databases, host):
    """Stops and starts one host while consumers have transactions open. Returns the number of lost requests."""
    operations, lost = [], []
    for database in databases:
        for kind in KINDS:
            for number in range(kind.sessions):
                consumer = Consumer(record, f"{host.zone}-{kind.name}-{database.name}-{number}")
                await consumer.open(host.callers, f"{kind.name}-{database.name}", "key1")
                operations.append((kind, consumer, lost))
    stopped = record.now()
    if TROUBLE:
        deployment.signal(host, signal.SIGTERM)
    # The consumers' sessions were open before, and each starts an operation within the next 1.4 s.
    await asyncio.gather(*(transaction(*operation) for operation in operations))
    if TROUBLE:
        while host.process.poll() is None:
            await asyncio.sleep(0.05)
        deployment.start_host(host)
        await deployment.wait_ready(host)
    return judge(databases, stopped, lost)


async def main():
    deployment = Deployment(record, ["amman-a", "irbid-a", "aqaba-a"])
    databases = [Database(deployment.store, record, name, lambda word: WORK_S) for name in ("books", "ranges", "voids")]
    deployment.databases.extend(databases)
    tenant = {"Name": "tenant", "ApiKeys": ["key1"], "Priority": 1, "RatePerS": 500, "Burst": 500, "AllowedRegions": []}
    try:
        for database in databases:
            await database.start(["amman-a", "irbid-a", "aqaba-a"])
        await deployment.put_config(1, [kind.route(database) for database in databases for kind in KINDS], [tenant])
        await deployment.start()
        await asyncio.sleep(STABILITY_WINDOW_S + 1)
        broken = 0
        for host in deployment.hosts:
            broken += await stop_under_load(deployment, databases, host)
        record.line(f"check: {broken} requests lost in all")
        print(f"{broken} requests lost")
        return broken == 0
    finally:
        deployment.end()


def judge(databases, stopped, lost):
    """LOST: the process has read a whole request, and the connection ends without a complete answer once the request has been
    passed on to an instance. Not counted: the time budget or the timeout was reached, or the instance was at work in the last
    sixth of the grace period on a request that was sent no later than 3 s after the SIGTERM."""
    ran = {query_id: instance for database in databases for _, instance, query_id in database.runs}
    kept = {query_id for database in databases for commit in database.primary.log for query_id in commit.ids}
    broken = 0
    for closed, began, kind in lost:
        if closed.query_id not in ran:
            continue
        excused = (closed.ended - began >= kind.budget_s or closed.ended - closed.sent >= kind.timeout_s or
                   closed.sent - stopped <= 3.0 or closed.ended - stopped > GRACE_PERIOD_S + 1)
        record.line(f"check: {closed.query_id} sent {closed.sent - stopped:.3f} s after the SIGTERM, run by {ran[closed.query_id]}, "
                    f"connection ended after {closed.ended - stopped:.3f} s: {'excused' if excused else 'LOST'}"
                    f"{', and its transaction was committed' if closed.query_id in kept else ''}")
        broken += 0 if excused else 1
    record.line(f"check: {len(lost)} connections ended without a complete answer, {broken} requests lost")
    return broken


sys.exit(run_case(main, record))
