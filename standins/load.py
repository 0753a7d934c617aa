"""Bounded load generator: callers with keep-alive connections on loopback addresses.

Every caller sends one request at a time to a random entry VM and stops at the end of the given
time, or on SIGTERM. Paths are unique per request, so that no request shares the fingerprint of
another one that was in flight on a lost server.
"""

from __future__ import annotations

import argparse
import asyncio
import dataclasses
import ipaddress
import json
import pathlib
import random
import signal
import sys
import time
import uuid

import h11

from standins import records

CALLERS_MAX = 500
DURATION_MAX_S = 600.0
READ_BYTES = 65536
REASON_BYTES = 200
GRACE_S = 1.0
"""Time after a request's deadline at which its caller gives up."""

AVOID_S = 0.5
"""Time for which an entry VM that refused a connection gets no requests, like behind a load
balancer."""


@dataclasses.dataclass(frozen=True)
class Target:
    """An entry VM and the ``IP:port`` of its listener for callers."""

    entry_vm: str
    address: str


@dataclasses.dataclass(frozen=True)
class LoadService:
    """Requests go to ``<prefix><key>/<request id>``, plus ``/<suffix>`` if there is one."""

    name: str
    prefix: str
    keys: tuple[str, ...]
    suffix: str = ""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Plan:
    """What to send.

    Attributes
    ----------
    callers : int
        Concurrent callers, at most `CALLERS_MAX`.
    rate : float
        Largest number of requests per second of all callers together; 0 for no limit.
    post_share : float
        Share of POST requests, 0 to 1; the others are GET.
    """

    targets: tuple[Target, ...]
    services: tuple[LoadService, ...]
    duration_s: float
    callers: int = 8
    rate: float = 0.0
    post_share: float = 0.5
    deadline_ms: int = 2000
    seed: int = 0

    def check(self) -> None:
        """Raise ValueError if the load is not bounded or leaves the machine."""
        if not 0 < self.callers <= CALLERS_MAX or not 0 < self.duration_s <= DURATION_MAX_S:
            raise ValueError("too many callers or too long")
        for target in self.targets:
            if not ipaddress.ip_address(target.address.rsplit(":", 1)[0]).is_loopback:
                raise ValueError(f"{target.address} is not a loopback address")


class NotConnectedError(Exception):
    """The connection was not established, so nothing was sent."""


class Answer:
    """Parts of an answer that have arrived."""

    def __init__(self) -> None:
        self.status = 0
        self.headers: dict[str, str] = {}
        self.body = b""
        self.complete = False

    def take(self, event: h11.Event) -> None:
        """Add an event of the connection."""
        match event:
            case h11.Response():
                self.status = event.status_code
                self.headers = {n.decode().lower(): v.decode() for n, v in event.headers}
            case h11.Data():
                self.body += bytes(event.data)
            case h11.EndOfMessage():
                self.complete = True


class Connection:
    """A keep-alive connection to one entry VM, opened on demand."""

    def __init__(self, address: str) -> None:
        self._host, port = address.rsplit(":", 1)
        self._port = int(port)
        self._streams: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None
        self._http = h11.Connection(h11.CLIENT)

    async def exchange(self, request: h11.Request, body: bytes, answer: Answer) -> None:
        """Send a request and fill in ``answer``; raises OSError or h11 errors if it breaks."""
        reader, writer = await self._open()
        for event in (request, h11.Data(data=body), h11.EndOfMessage()):
            writer.write(self._http.send(event))
        await writer.drain()
        while not answer.complete:
            event = self._http.next_event()
            if event is h11.NEED_DATA:
                self._http.receive_data(await reader.read(READ_BYTES))
            elif isinstance(event, h11.ConnectionClosed):
                raise ConnectionResetError("closed before an answer")
            else:
                answer.take(event)
        if self._http.our_state is h11.DONE and self._http.their_state is h11.DONE:
            self._http.start_next_cycle()
        else:
            self.close()

    async def _open(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        if self._streams is not None and self._streams[0].at_eof():
            self.close()
        if self._streams is None:
            self._http = h11.Connection(h11.CLIENT)
            try:
                self._streams = await asyncio.open_connection(self._host, self._port)
            except OSError as error:
                raise NotConnectedError(str(error)) from error
        return self._streams

    def close(self) -> None:
        """Close the connection; the next request opens another one."""
        if self._streams is not None:
            self._streams[1].transport.abort()
            self._streams = None


class Caller:
    """Sends requests one after the other."""

    def __init__(self, plan: Plan, *, number: int, run_id: str, stop: asyncio.Event) -> None:
        self._plan = plan
        self._name = f"{run_id}-{number}"
        self._random = random.Random(f"{plan.seed}/{number}")
        self._stop = stop
        self._connections_by_vm = {t.entry_vm: Connection(t.address) for t in plan.targets}
        self._avoided_until_by_vm: dict[str, float] = {}
        self.records: list[records.CallerRecord] = []

    async def run(self) -> None:
        """Send until the plan's time is over."""
        ends = time.monotonic() + self._plan.duration_s
        interval_s = self._plan.callers / self._plan.rate if self._plan.rate else 0.0
        await asyncio.sleep(self._random.uniform(0, interval_s))
        while time.monotonic() < ends and not self._stop.is_set():
            started = time.monotonic()
            self.records.append(await self._request(f"{self._name}-{len(self.records)}"))
            await asyncio.sleep(max(0.0, started + interval_s - time.monotonic()))
        for connection in self._connections_by_vm.values():
            connection.close()

    async def _request(self, request_id: str) -> records.CallerRecord:
        service = self._random.choice(self._plan.services)
        key = self._random.choice(service.keys)
        method = "POST" if self._random.random() < self._plan.post_share else "GET"
        suffix = f"/{service.suffix}" if service.suffix else ""
        body = request_id.encode() if method == "POST" else b""
        request = h11.Request(
            method=method,
            target=f"{service.prefix}{key}/{request_id}{suffix}",
            headers=[
                ("Host", "router"),
                ("Content-Length", str(len(body))),
                ("X-Request-Id", request_id),
                ("X-Deadline-Ms", str(self._plan.deadline_ms)),
            ],
        )
        answer = Answer()
        start = time.monotonic()
        entry_vm, error = await self._send(request, body, answer)
        answer_id, answer_key = _names(answer.body)
        length = answer.headers.get("content-length")
        return records.CallerRecord(
            request_id=request_id,
            service=service.name,
            key=key,
            method=method,
            entry_vm=entry_vm,
            outcome=_outcome(answer),
            start=start,
            end=time.monotonic(),
            status=answer.status,
            answer_id=answer_id,
            answer_key=answer_key,
            declared_length=None if length is None else int(length),
            received_length=len(answer.body),
            complete=answer.complete,
            error=error or _reason(answer),
        )

    async def _send(self, request: h11.Request, body: bytes, answer: Answer) -> tuple[str, str]:
        """Send to one entry VM; another one is tried only while nothing has been sent."""
        vms = list(self._connections_by_vm)
        self._random.shuffle(vms)
        vms.sort(key=lambda vm: self._avoided_until_by_vm.get(vm, 0.0) > time.monotonic())
        error = ""
        for entry_vm in vms:
            connection = self._connections_by_vm[entry_vm]
            try:
                async with asyncio.timeout(self._plan.deadline_ms / 1000 + GRACE_S):
                    await connection.exchange(request, body, answer)
                return entry_vm, ""
            except NotConnectedError as caught:
                self._avoided_until_by_vm[entry_vm] = time.monotonic() + AVOID_S
                error = f"not connected: {caught}"
            except (OSError, TimeoutError, h11.ProtocolError) as caught:
                connection.close()
                return entry_vm, repr(caught)
        return vms[-1], error


def _names(body: bytes) -> tuple[str, str]:
    try:
        fields = json.loads(body)
        return fields["request_id"], fields["key"]
    except (ValueError, KeyError, TypeError):
        return "", ""


def _reason(answer: Answer) -> str:
    """Return the start of the body if the router gave no server's answer; it says why."""
    if not answer.complete or _outcome(answer) is records.Outcome.ANSWERED:
        return ""
    return answer.body[:REASON_BYTES].decode("utf-8", "replace").strip()


def _outcome(answer: Answer) -> records.Outcome:
    if not answer.complete:
        return records.Outcome.UNKNOWN
    try:
        return records.Outcome(answer.headers.get("x-celerystack-outcome", ""))
    except ValueError:
        return records.Outcome.UNKNOWN


async def run(plan: Plan, stop: asyncio.Event | None = None) -> list[records.CallerRecord]:
    """Send the planned load and return one record per request, in order of their starts."""
    plan.check()
    stop = stop or asyncio.Event()
    run_id = uuid.uuid4().hex[:12]
    callers = [Caller(plan, number=n, run_id=run_id, stop=stop) for n in range(plan.callers)]
    await asyncio.gather(*(caller.run() for caller in callers))
    return sorted(
        (record for caller in callers for record in caller.records), key=lambda r: r.start
    )


def plan_to_json(plan: Plan) -> str:
    """Encode a plan for the command line."""
    return json.dumps(dataclasses.asdict(plan))


def plan_from_json(text: str) -> Plan:
    """Decode a plan encoded by `plan_to_json`."""
    fields = json.loads(text)
    fields["targets"] = tuple(Target(**target) for target in fields["targets"])
    fields["services"] = tuple(
        LoadService(**{**service, "keys": tuple(service["keys"])}) for service in fields["services"]
    )
    return Plan(**fields)


async def _run_until_terminated(plan: Plan) -> list[records.CallerRecord]:
    stop = asyncio.Event()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, stop.set)
    return await run(plan, stop)


def main(argv: list[str]) -> None:
    """Send the load and write the records."""
    parser = argparse.ArgumentParser(description="Load generator")
    parser.add_argument("--plan", required=True, help="JSON as written by plan_to_json")
    parser.add_argument("--records", required=True, type=pathlib.Path)
    options = parser.parse_args(argv)
    found = asyncio.run(_run_until_terminated(plan_from_json(options.plan)))
    records.write(options.records, found)


if __name__ == "__main__":
    main(sys.argv[1:])
