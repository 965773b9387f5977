"""Memory that the entry uses for open, idle caller connections."""

from pathlib import Path

import gevent
import psutil
from gevent import socket

from bench.cluster import Cluster
from bench.processes import Processes
from bench.speed import PLAN

SETTLE_S = 1.0
REQUEST = b"GET /v1/none HTTP/1.1\r\nHost: entry\r\n\r\n"


def measure(sizes: tuple[int, ...], directory: Path) -> list[float]:
    """Returns the resident memory of the entry in KiB at each number of idle connections.

    Each connection sends one request first, so that its buffers and greenlet exist.
    """
    with Processes(directory) as processes:
        cluster = Cluster(PLAN, processes, directory)
        cluster.start()
        vm = next(iter(cluster.vms.values()))
        listen = vm.settings.entry.listen
        entry_process = psutil.Process(processes.get(vm.process_name("entry")).pid)
        opened: list[socket.socket] = []
        memory_kib = []
        for size in sizes:
            while len(opened) < size:
                sock = socket.create_connection((listen.host, listen.port))
                sock.sendall(REQUEST)
                if not sock.recv(4096):
                    raise RuntimeError("the entry closed an idle connection")
                opened.append(sock)
            gevent.sleep(SETTLE_S)
            memory_kib.append(entry_process.memory_info().rss / 1024)
        for sock in opened:
            sock.close()
        return memory_kib
