"""A planned stop of an entry VM whose clients send further requests and read slowly."""

from __future__ import annotations

import asyncio
import pathlib
import random
import signal
import socket
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))
import rig_2

ANSWER_BYTES = 30_000
TIMEOUT_S = 3.0
"""Timeout of the route, which is shorter than the deadline of the clients."""
CLIENTS = 20
OUTSTANDING_MAX = 3
PAUSE_S = (0.02, 0.2)
"""Time between two requests of a client."""
RECEIVE_BUFFER_BYTES = 4096
READ_BYTES, READ_EVERY_S = 2048, 0.01
"""A client reads at most 200 kB/s."""
GRACE_S = 6.0


class PressServer(rig_2.KeyServer):
    """Server with answers of `ANSWER_BYTES`."""

    async def _run(self, request: rig_2.Request) -> bytes:
        await super()._run(request)
        request_id = request.headers["celerystack-request-attempt-id"]
        return rig_2.response(
            "200 OK",
            b"d" * ANSWER_BYTES,
            Celerystack_Request_Attempt_Id=request_id,
            Celerystack_Server_Signature=f"signed-{self.name}",
        )


class Client:
    """A client that sends further safe requests before the first one is answered."""

    def __init__(self, rig: rig_2.Rig, number: int) -> None:
        self._rig = rig
        self._number = number
        self._sent_at: dict[str, float] = {}
        self._answered: list[str] = []
        self._is_closing = False
        self._ended_at = float("inf")

    async def run(self) -> None:
        """Use one connection until it ends."""
        vm = self._rig.vms["front-1"]
        loop = asyncio.get_running_loop()
        opened = socket.socket()
        opened.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        opened.setblocking(False)
        await loop.sock_connect(opened, (vm.ip, vm.ports["front"]))
        sending = asyncio.create_task(self._send(opened))
        try:
            await self._receive(opened)
            how = "closed"
        except OSError as error:
            how = type(error).__name__
        finally:
            sending.cancel()
            opened.close()
        self._ended_at = rig_2.CLOCK()
        self._rig.record.note(f"connection of client {self._number} has ended: {how}")

    def _outstanding(self) -> list[str]:
        return list(self._sent_at)[len(self._answered) :]

    async def _send(self, opened: socket.socket) -> None:
        while not self._is_closing:
            if len(self._outstanding()) < OUTSTANDING_MAX:
                request_id = f"{self._number:04x}{len(self._sent_at):012x}"
                head = (
                    f"GET /press/x HTTP/1.1\r\nHost: {rig_2.HOST}\r\n"
                    f"Celerystack-Request-Attempt-Id: {request_id}\r\n"
                    "Celerystack-Deadline-Remaining-Ms: 6000\r\n\r\n"
                )
                self._rig.record.note(f"client {self._number} sends {request_id}")
                self._sent_at[request_id] = rig_2.CLOCK()
                await asyncio.get_running_loop().sock_sendall(opened, head.encode())
            await asyncio.sleep(random.uniform(*PAUSE_S))

    async def _receive(self, opened: socket.socket) -> None:
        received = b""
        body_bytes: int | None = None
        while True:
            data = await asyncio.get_running_loop().sock_recv(opened, READ_BYTES)
            if not data:
                return
            received += data
            while body_bytes is not None or b"\r\n\r\n" in received:
                if body_bytes is None:
                    head, _, received = received.partition(b"\r\n\r\n")
                    lines = head.decode("latin-1").split("\r\n")
                    headers = dict(rig_2.read_header(line) for line in lines[1:])
                    body_bytes = int(headers["content-length"])
                    self._is_closing |= headers.get("connection", "").lower() == "close"
                if len(received) < body_bytes:
                    break
                received, body_bytes = received[body_bytes:], None
                request_id = self._outstanding()[0]
                self._answered.append(request_id)
                self._rig.record.note(f"client {self._number} gets all of {request_id}: {lines[0]}")
            await asyncio.sleep(READ_EVERY_S)

    def lost(self, ran: set[str]) -> list[str]:
        """Return the requests that servers ran and whose answers the end of the connection cut."""
        return [
            request_id
            for request_id in self._outstanding()
            if request_id in ran and self._ended_at - self._sent_at[request_id] < TIMEOUT_S
        ]


async def case(rig: rig_2.Rig) -> bool:
    """Stop one of three entry VMs in order, and look for answers that were cut off."""
    press = rig_2.route("press", "press", "safe") | {"timeout": f"{TIMEOUT_S * 1000:.0f}ms"}
    rig.write_config(1, [press], [rig_2.service("press")])
    for number in range(12):
        server = PressServer(rig.store, rig.record, f"i-press-{number}", "press", "eire-a")
        rig.servers[server.name] = server
        await server.start()
    for vm in ("front-1", "front-2", "front-3"):
        rig.add_vm(vm)
    await rig.wait_ready()
    await asyncio.sleep(1.0)
    clients = [Client(rig, number) for number in range(CLIENTS)]
    tasks = [asyncio.create_task(client.run()) for client in clients]
    await asyncio.sleep(4.0)
    if rig.has_trouble:
        rig.vms["front-1"].process.send_signal(signal.SIGTERM)
        rig.record.tell("front-1 gets SIGTERM")
    await asyncio.sleep(GRACE_S)
    ran = {run[1] for server in rig.servers.values() for run in server.runs}
    lost = [request_id for client in clients for request_id in client.lost(ran)]
    for task in tasks:
        task.cancel()
    rig.record.note(f"run, and cut off before timeout and deadline: {lost}")
    rig.record.tell(f"{len(lost)} requests were run and their answers cut off")
    return bool(lost)


sys.exit(rig_2.run(case, pathlib.Path(__file__).resolve().parent))
