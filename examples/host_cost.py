"""Measures the CPU and memory that a host uses with 1, 20 and 200 tenants, on loopback.

    python examples/host_cost.py [REQUESTS]

For each number of tenants, starts `drumgw host` and sends it REQUESTS requests (default 8000) on sixteen
connections. One stub server in this process is endpoint, discovery and counter of all tenants. CPU time and
memory of the host are read from /proc, so this runs on Linux only.
"""

from __future__ import annotations

import asyncio
import os
import pathlib
import random
import sys
from dataclasses import dataclass

from host_stubs import LISTEN, StubServer, request_head, running_host

TENANT_COUNTS = (1, 20, 200)
CONNECTION_COUNT = 16
DEFAULT_REQUEST_COUNT = 8000
ACCOUNT_COUNT = 50
REQUEST_TIMEOUT_MS = 9000
IDLE_S = 4.0
TICKS_PER_S = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


@dataclass(frozen=True)
class Usage:
    """CPU time that a process has used since its start, and its resident memory."""

    cpu_ms: float
    memory_mb: float


def read_usage(pid: int) -> Usage:
    """Reads the usage of a process from /proc."""
    stat = pathlib.Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    pages = int(pathlib.Path(f"/proc/{pid}/statm").read_text().split()[1])
    user_ticks = int(stat[11])
    system_ticks = int(stat[12])
    return Usage((user_ticks + system_ticks) * 1000 / TICKS_PER_S, pages * PAGE_BYTES / 2**20)


async def send_requests(tenant_count: int, connection: int, count: int) -> int:
    """Sends requests to random tenants on one connection, one at a time; returns how many got a 200."""
    rng = random.Random(connection)
    served_count = 0
    reader, writer = await asyncio.open_connection(*LISTEN)
    for n in range(count):
        host = f"t{rng.randrange(tenant_count)}.example"
        writer.write(request_head(host, f"{connection}-{n}", n % ACCOUNT_COUNT, REQUEST_TIMEOUT_MS))
        head = await reader.readuntil(b"\r\n\r\n")
        length = int(head.lower().partition(b"content-length: ")[2].split()[0])
        await reader.readexactly(length)
        served_count += b" 200 " in head[:15]
    writer.close()
    return served_count


async def measure(tenant_count: int, address: str, request_count: int) -> str:
    """Runs a host with this number of tenants; returns the line to print."""
    requests_per_connection = request_count // CONNECTION_COUNT
    async with running_host(tenant_count, address) as process:
        started = read_usage(process.pid)
        await asyncio.sleep(IDLE_S)
        idle = read_usage(process.pid)
        served_counts = await asyncio.gather(
            *(send_requests(tenant_count, n, requests_per_connection) for n in range(CONNECTION_COUNT))
        )
        ended = read_usage(process.pid)
    sent_count = requests_per_connection * CONNECTION_COUNT
    return (
        f"{tenant_count:4} tenants: {idle.memory_mb:6.1f} MB idle, {ended.memory_mb:6.1f} MB after; "
        f"{(ended.cpu_ms - idle.cpu_ms) / sent_count:5.2f} ms of CPU a request, "
        f"{sum(served_counts)} of {sent_count} served; "
        f"idle {(idle.cpu_ms - started.cpu_ms) / IDLE_S:.0f} ms of CPU a second, "
        f"start {started.cpu_ms:.0f} ms"
    )


async def main() -> None:
    """Prints one line for each number of tenants."""
    request_count = int(sys.argv[1]) if len(sys.argv) > 1 else DEFAULT_REQUEST_COUNT
    stub_server = StubServer()
    await stub_server.open()
    for tenant_count in TENANT_COUNTS:
        print(await measure(tenant_count, stub_server.address, request_count))


if __name__ == "__main__":
    asyncio.run(main())
