"""A route is moved to another service and back; the session has written to both."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lab-2"))
import lab as l  # noqa: E402

STALE_MS = 2500  # MaxStalenessMs of the route kind read_your_writes


async def main(folder, trouble):
    lab = l.Lab(folder, {"amman-a": "amman", "irbid-a": "irbid", "aqaba-a": "aqaba"})
    try:
        await lab.start_platform()
        for name in ("registry-1", "registry-2"):
            database = lab.databases[name] = l.Database(name, lab.record, lab.store)
            for zone in lab.zones:
                await l.Instance(f"{name}-{zone}", database, zone).start()
        first, second = lab.databases["registry-1"], lab.databases["registry-2"]
        tenants = [{"Name": "irbid", "ApiKeys": ["key-i"], "RatePerS": 400, "Burst": 400}]

        def point_to(service):
            lab.write_document([l.route("book-return", service, "read_your_writes", stale=STALE_MS)], tenants)

        point_to("registry-1")
        for zone in lab.zones:
            lab.hosts.append(l.Host(lab, f"front-{zone}", zone, lab.store_server.address, lab.cloud_server.address))
            lab.hosts[-1].start()
        if not await lab.wait_ready():
            return 2, "the hosts did not become ready"
        await asyncio.sleep(5)
        consumer = l.Consumer(lab.record, "consumer")
        # A host in another zone than the primary, beside a replica.
        if not (await consumer.connect(lab.hosts[1].front, "book-return", "key-i")).startswith("READY"):
            return 2, "no session"
        written = []  # (acknowledged at, number in the first service's log)

        async def write(text):
            answer = await consumer.query("WRITE " + text)
            number = [c[3] for c in first.commits if c[5] == answer["id"]]
            if answer["ok"] and number:
                written.append((answer["done"], number[0]))
            return answer["ok"] and any(c[5] == answer["id"] for c in second.commits)

        for index in range(20):
            await write(f"book-{index} old")
        for _ in range(20):
            await consumer.query("READ book-1")
            await asyncio.sleep(0.1)
        first.set_deaf(True)
        await write("book-1 returned")
        if trouble:
            point_to("registry-2")
            # The write that shows that the new version is in force is the session's first to the other service.
            while not await write("book-2 returned"):
                await asyncio.sleep(0.05)
            point_to("registry-1")
        reads, end = [], l.now() + 2.4
        while l.now() < end:
            reads.append(await consumer.query("READ book-1"))
            await asyncio.sleep(0.03)
        first.set_deaf(False)
        consumer.close()
        stale, seen = [], 0
        for read in reads:
            for at, instance, role, ident, last in first.reads:
                if ident != read["id"] or not read["ok"]:
                    continue
                seen += 1
                missing = [n for done, n in written if done < read["sent"] and n > last]
                if missing:
                    stale.append(f"at {at:.3f} {ident} ran on {instance} ({role}) with entries up to {last}; the session was "
                                 f"acknowledged entry {missing[-1]} before; rows {read['rows']}")
        for line in stale:
            lab.record.write("check", line)
        if not seen:
            return 2, "no read ran on the first service"
        if stale:
            return 1, f"STALE broken: {len(stale)} of {seen} reads lack a commit of their session"
        return 0, f"held: {seen} reads on the first service have all commits of their session"
    finally:
        lab.stop()


l.run(main)
