"""Runs a case of review/ until its hosts are ready. Exits with 1, and shows the hosts' logs, if they do not become ready.

usage: start_hosts.py CASE_FILE
"""

import glob
import itertools
import os
import random
import runpy
import socket
import sys


def unused_ports():
    """Yields loopback ports, each once, from below the range from which the system takes ports by itself.

    The cases' own `free_ports` closes the sockets that it got its ports from, so a later call, a stand-in or an outgoing
    connection can get one of them again; the host that was given the port then ends with "Address already in use".
    """
    with open("/proc/sys/net/ipv4/ip_local_port_range", encoding="ascii") as text:
        first_of_system = int(text.read().split()[0])
    ports = list(range(max(1024, first_of_system - 8192), first_of_system))
    random.shuffle(ports)
    for port in ports:
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
        yield port


def give_unused_ports(*modules):
    """Replaces `free_ports(count)` of the modules."""
    ports = unused_ports()
    for module in modules:
        module.free_ports = lambda count: list(itertools.islice(ports, count))


def show_logs(folder):
    for path in sorted(glob.glob(os.path.join(folder, "*.log"))):
        with open(path, encoding="utf-8", errors="replace") as log:
            print(f"{os.path.basename(path)}:\n{log.read()[-4000:]}")


def stop_when_ready(owner, method, end):
    """Makes `owner.method` end the case if the hosts are ready, and show their logs if they are not."""
    original = getattr(owner, method)

    async def start(self, *arguments):
        try:
            result = await original(self, *arguments)
        except Exception:
            show_logs(self.folder)
            raise
        if result is False:
            show_logs(self.folder)
            return result
        end(self)
        print("the hosts became ready", flush=True)
        # Not by an exception: asyncio can wait without limit for the tasks of the stand-ins when it cancels them.
        os._exit(0)

    setattr(owner, method, start)


def main(case):
    review = os.path.dirname(os.path.dirname(os.path.abspath(case)))
    sys.path[:0] = [os.path.join(review, "lab-2"), os.path.join(review, "stand_ins")]
    import deployment
    import lab

    give_unused_ports(lab, deployment)
    stop_when_ready(lab.Lab, "wait_ready", lab.Lab.stop)
    stop_when_ready(deployment.Deployment, "start", deployment.Deployment.end)
    sys.argv = [case]
    try:
        runpy.run_path(case, run_name="__main__")
    except SystemExit as end:
        print(f"ended with {end.code} before its hosts were ready")
    return 1


if __name__ == "__main__":
    sys.exit(main(sys.argv[1]))
