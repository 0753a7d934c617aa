"""Bounded load generator: callers with keep-alive connections on loopback addresses.

Each caller sends one request at a time to a random entry VM and stops when the duration of the
plan is over, or on SIGTERM. Every request has a unique path, so that none shares the fingerprint
of a request that was in flight on a lost server.
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
READ_CHUNK_BYTES = 65536
REASON_MAX_BYTES = 200
DEADLINE_GRACE_S = 1.0
"""Time after the deadline of a request until its caller gives up."""

REFUSED_VM_AVOIDED_S = 0.5
"""Time for which an entry VM that refused a connection is avoided, as a load balancer would do."""


@dataclasses.dataclass(frozen=True)
class Target:
    """An entry VM and the ``IP:port`` of its listener for callers."""

    entry_vm: str
    address: str


@dataclasses.dataclass(frozen=True)
class LoadService:
    """A service under load, at the paths ``<prefix><key>/<request id>[/<suffix>]``."""

    name: str
    prefix: str
    keys: tuple[str, ...]
    suffix: str = ""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Plan:
    """The load to generate.

    Attributes
    ----------
    callers : int
        Concurrent callers, at most `CALLERS_MAX`.
    rate : float
        Limit in requests per second for all callers together; 0 for none.
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
        """Raise ValueError if the load is not bounded or a target is not a loopback address."""
        if not 0 < self.callers <= CALLERS_MAX or not 0 < self.duration_s <= DURATION_MAX_S:
            raise ValueError("callers or duration_s is out of range")
        for target in self.targets:
            if not ipaddress.ip_address(target.address.rsplit(":", 1)[0]).is_loopback:
                raise ValueError(f"{target.address} is not a loopback address")


class NotConnectedError(Exception):
    """The connection was not established, so nothing was sent."""


class Answer:
    """The parts of an answer that have arrived so far."""

    def __init__(self) -> None:
        self.status = 0
        self.headers: dict[str, str] = {}
        self.body = b""
        self.complete = False

    def add_event(self, event: h11.Event) -> None:
        """Add an h11 event of the connection."""
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
        """Send a request and fill in ``answer``; raises OSError or an h11 error on failure."""
        reader, writer = await self._open()
        for event in (request, h11.Data(data=body), h11.EndOfMessage()):
            writer.write(self._http.send(event))
        await writer.drain()
        while not answer.complete:
            event = self._http.next_event()
            if event is h11.NEED_DATA:
                self._http.receive_data(await reader.read(READ_CHUNK_BYTES))
            elif isinstance(event, h11.ConnectionClosed):
                raise ConnectionResetError("closed before an answer")
            else:
                answer.add_event(event)
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
        """Close the connection; the next request opens a new one."""
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
        """Send requests until the duration of the plan is over or ``stop`` is set."""
        ends_at = time.monotonic() + self._plan.duration_s
        interval_s = self._plan.callers / self._plan.rate if self._plan.rate else 0.0
        await asyncio.sleep(self._random.uniform(0, interval_s))
        while time.monotonic() < ends_at and not self._stop.is_set():
            started_at = time.monotonic()
            self.records.append(await self._request(f"{self._name}-{len(self.records)}"))
            await asyncio.sleep(max(0.0, started_at + interval_s - time.monotonic()))
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
        answer_id, answer_key = _id_and_key(answer.body)
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
        """Send to one entry VM; others are tried only if no connection could be established.

        Returns the name of the entry VM and the error, empty if there is none.
        """
        vms = list(self._connections_by_vm)
        self._random.shuffle(vms)
        vms.sort(key=lambda vm: self._avoided_until_by_vm.get(vm, 0.0) > time.monotonic())
        error = ""
        for entry_vm in vms:
            connection = self._connections_by_vm[entry_vm]
            try:
                async with asyncio.timeout(self._plan.deadline_ms / 1000 + DEADLINE_GRACE_S):
                    await connection.exchange(request, body, answer)
                return entry_vm, ""
            except NotConnectedError as caught:
                self._avoided_until_by_vm[entry_vm] = time.monotonic() + REFUSED_VM_AVOIDED_S
                error = f"not connected: {caught}"
            except (OSError, TimeoutError, h11.ProtocolError) as caught:
                connection.close()
                return entry_vm, repr(caught)
        return vms[-1], error


def _id_and_key(body: bytes) -> tuple[str, str]:
    try:
        fields = json.loads(body)
        return fields["request_id"], fields["key"]
    except (ValueError, KeyError, TypeError):
        return "", ""


def _reason(answer: Answer) -> str:
    """Return the start of the body if the router itself answered; it contains the reason."""
    if not answer.complete or _outcome(answer) is records.Outcome.ANSWERED:
        return ""
    return answer.body[:REASON_MAX_BYTES].decode("utf-8", "replace").strip()


def _outcome(answer: Answer) -> records.Outcome:
    if not answer.complete:
        return records.Outcome.UNKNOWN
    try:
        return records.Outcome(answer.headers.get("x-celerystack-outcome", ""))
    except ValueError:
        return records.Outcome.UNKNOWN


async def run(plan: Plan, stop: asyncio.Event | None = None) -> list[records.CallerRecord]:
    """Send the planned load; returns one record per request, in the order of their starts."""
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
    """Send the load and write the records to a file."""
    parser = argparse.ArgumentParser(description="Load generator")
    parser.add_argument("--plan", required=True, help="JSON as written by plan_to_json")
    parser.add_argument("--records", required=True, type=pathlib.Path)
    options = parser.parse_args(argv)
    caller_records = asyncio.run(_run_until_terminated(plan_from_json(options.plan)))
    records.write(options.records, caller_records)


if __name__ == "__main__":
    main(sys.argv[1:])
