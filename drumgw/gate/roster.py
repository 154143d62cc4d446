"""The worker list's actor: starts from the known list, then watches discovery without a gap."""
from __future__ import annotations

import asyncio
import hashlib
import json
from math import isfinite
from typing import Any

import aiohttp
from aiohttp import hdrs
from loguru import logger
from yarl import URL

from drumgw import interface as api
from drumgw.gate.charter import BadCharter, Charter
from drumgw.gate.desk import Desk
from drumgw.gate.workers import Workers
from drumgw.interface import Health

WATCH_MS, SILENT_MS = 1000, 1000    # guards drains: a watch that got lost says nothing till both are over
AGAIN_MS = 50                       # under the protocol's gap of 200 ms
STATES = {"up": Health.READY, "draining": Health.DRAINING, "removed": Health.GONE}


def worker_id(instance: str) -> int:
    """The same number at every gateway: they rank the workers by it."""
    return int.from_bytes(hashlib.blake2b(instance.encode(), digest_size=6).digest(), "big")


class Roster:
    def __init__(self, charter: Charter, desk: Desk, workers: Workers) -> None:
        self.charter, self.desk, self.workers = charter, desk, workers
        self.base = ""      # where discovery is asked; set by move
        self.asking: asyncio.Task[dict[str, Any]] | None = None     # the call that is out
        self.generation: int | None = None
        self.heard = True
        self.states: dict[str, Health] = {}     # workers on the list; emptied by it
        self.session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=2, use_dns_cache=False),
            cookie_jar=aiohttp.DummyCookieJar(), skip_auto_headers=(hdrs.USER_AGENT,),
            timeout=aiohttp.ClientTimeout(total=(WATCH_MS + SILENT_MS) / 1000))

        self.move(charter.discovery)

    def move(self, address: tuple[str, int]) -> None:
        """The watch goes on there at once: the old address may keep its call for as long as it likes."""
        self.base = "http://{}:{}/registry/instances".format(*address)
        asking, self.asking = self.asking, None
        if asking is not None:
            asking.cancel()

    def first(self) -> api.Listed:
        try:
            return self.read(self.charter.known, whole=True)
        except (KeyError, TypeError, AttributeError) as bad:
            raise BadCharter(f"known cannot be read: {bad!r}") from bad

    async def close(self) -> None:
        await self.session.close()

    async def watch(self) -> None:
        """Each next call at once after an answer; while discovery is silent the last list stands."""
        while True:
            asking = self.asking = asyncio.create_task(self.ask())
            try:
                told = await asking
                if told.get("instances") or told.get("reset"):
                    self.take(told, bool(told.get("reset")))
                self.generation = told.get("generation", self.generation)
                self.hear(None)
            except asyncio.CancelledError:
                if asking is self.asking:       # it is the watch that ends, not a call that moves
                    raise
            except Exception as error:      # no answer, or none that can be read
                self.hear(error)
                await asyncio.sleep(AGAIN_MS / 1000)

    def hear(self, error: Exception | None) -> None:
        """A line for each change of mode; a silent watch that ends in time is no loss."""
        if self.heard is (error is None):
            return
        self.heard = error is None
        if error is None:
            logger.info("discovery heard")
        else:
            logger.warning("discovery lost: {}; the last list stands", error or type(error).__name__)

    async def ask(self) -> dict[str, Any]:
        query = "" if self.generation is None else f"?since={self.generation}&timeout_ms={WATCH_MS}"
        async with self.session.get(URL(self.base + query, encoded=True)) as answer:
            answer.raise_for_status()
            told: dict[str, Any] = json.loads(await answer.read())
            return told

    def take(self, told: dict[str, Any], whole: bool) -> None:
        """The module first: what the drained workers give back must not go to others of the same list."""
        self.desk.post(self.desk.core.listed, self.read(told, whole))
        for name, health in self.states.items():
            if health is Health.DRAINING:
                self.workers.drain(worker_id(name), gone=False)
        for number in self.workers.actors.keys() - {worker_id(name) for name in self.states}:
            self.workers.drain(number, gone=True)

    def read(self, told: dict[str, Any], whole: bool) -> api.Listed:
        entries, named = [], set[str]()
        for row in told["instances"]:
            try:
                entry, name = self.entry(row), str(row["instanceId"])
            except (KeyError, TypeError, ValueError) as bad:    # one bad entry does not hide the others
                logger.warning("an entry of the worker list cannot be read: {!r} in {}", bad, row)
                continue
            entries.append(entry)
            named.add(name)
            if entry.health is Health.READY:
                self.workers.place(entry.worker, row["hostPort"], entry.born_ms)
            self.change(name, entry.health)
        for name in set(self.states) - named if whole else ():
            self.change(name, Health.GONE)
        if self.generation is None:
            self.generation = told.get("generation")
        return api.Listed(whole, tuple(entries))

    def entry(self, row: dict[str, Any]) -> api.Entry:
        born, weight = float(row["startedAtMs"]), float(row["weight"])
        if not (isfinite(born) and isfinite(weight)):
            raise ValueError("not a number to count with")
        return api.Entry(
            worker_id(row["instanceId"]), self.charter.names.zone(row["zone"]), int(row["cell"]),
            row["machineType"], STATES[row["lifecycle"]], born or None, weight)

    def change(self, name: str, health: Health) -> None:
        if self.states.get(name) is health:
            return
        logger.info("worker {} ({}) is {}", worker_id(name), name, health.value)
        if health is Health.GONE:
            self.states.pop(name, None)
        else:
            self.states[name] = health
