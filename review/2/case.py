"""A primary crashes while one of its two replicas is being replaced. Checks LOST for a service with SyncReplicas: see claim.txt."""

import asyncio
import os
import sys

from deployment import Deployment, run_case
from model import Consumer, Database, Record, SessionClosed

TROUBLE = os.environ.get("TROUBLE") != "0"
CONSUMERS = 6
WRITE_S = 0.0045  # range-reserve: 4.5 ms in the mean.
LAG_S = {"i-registry-2": 0.024, "i-registry-3": 0.008}  # 8 ms behind in the mean, up to 48 ms.
PROMOTE_S = 0.3

record = Record("record.txt")


async def write_until(stop, name, address, acknowledged):
    """Writes one item after the other, a write an operation, on a session that is opened again when it ends."""
    count = 0
    consumer = None
    while not stop.is_set():
        try:
            if consumer is None:
                consumer = Consumer(record, name)
                consumer.count = count
                await consumer.open(address, "reserve", "key1")
            count = consumer.count + 1
            query_id, _, outcome, _ = await consumer.query(f"WRITE {count % 50:x} {name}-{count}")
            if outcome.startswith("DONE proof."):
                acknowledged.append((record.now(), query_id))
            else:
                await asyncio.sleep(0.2)
        except (SessionClosed, OSError):
            consumer = None
            await asyncio.sleep(0.2)
        await asyncio.sleep(0.02)


async def main():
    deployment = Deployment(record, ["amman-a", "irbid-a", "aqaba-a"])
    database = Database(deployment.store, record, "registry", lambda word: WRITE_S, promote_s=PROMOTE_S, sync_replicas=1)
    deployment.databases.append(database)
    route = {"Name": "r-1", "Host": "reserve", "PathPrefix": "/", "Kind": "primary", "TimeoutMs": 800, "TargetLatencyMs": 300,
             "Priority": 1, "Service": "registry", "MaxAttempts": 2, "Public": False, "AllowedRegions": []}
    tenant = {"Name": "tenant", "ApiKeys": ["key1"], "Priority": 1, "RatePerS": 500, "Burst": 500, "AllowedRegions": []}
    stop = asyncio.Event()
    try:
        await database.start(["amman-a", "irbid-a", "aqaba-a"])
        for instance in database.instances:
            instance.lag_s = LAG_S.get(instance.name, 0.008)
        await deployment.put_config(1, [route], [tenant])
        await deployment.start()
        await asyncio.sleep(5)
        acknowledged = []
        hosts = deployment.hosts
        writers = [asyncio.ensure_future(write_until(stop, f"c{index}", hosts[index % 3].callers, acknowledged))
                   for index in range(CONSUMERS)]
        await asyncio.sleep(3)
        if TROUBLE:
            # Planned work: the replica reports `draining` and goes on for DrainMs. Its log goes to its successor.
            leaving = database.instances[2]
            leaving.state = "draining"
            record.line(f"instance {leaving.name}: reports draining")
            await leaving.report()
            await asyncio.sleep(3)
            record.line(f"instance {database.primary.name}: crashes, its log ends at {database.primary.position_text()}")
            crashed = asyncio.ensure_future(database.primary.crash())
            for _ in range(300):
                if database.promotions:
                    break
                await asyncio.sleep(0.1)
            else:
                raise RuntimeError("nothing was promoted")
            for instance in database.instances[1:]:
                record.line(f"instance {instance.name}: log ends at {instance.position_text()}")
            crashed.cancel()
        await asyncio.sleep(4)
        stop.set()
        await asyncio.gather(*writers)
        if not TROUBLE and database.promotions:
            raise RuntimeError("promoted without trouble")
        return judge(database, acknowledged)
    finally:
        deployment.end()


def judge(database, acknowledged):
    """LOST: where the service has SyncReplicas, an acknowledged commit isn't in the log of the instance that is promoted."""
    broken = 0
    for when, name, kept, position in database.promotions:
        for answered, query_id in acknowledged:
            if answered < when and query_id not in kept:
                broken += 1
                record.line(f"check: {query_id} was acknowledged {when - answered:.3f} s before {name} took over at "
                            f"{position[0]}.{position[1]}, and isn't in its log: LOST")
    record.line(f"check: {len(acknowledged)} commits acknowledged, {len(database.promotions)} promotions, {broken} commits lost")
    print(f"{len(acknowledged)} commits acknowledged, {len(database.promotions)} promotions, {broken} commits lost")
    return broken == 0


sys.exit(run_case(main, record))
