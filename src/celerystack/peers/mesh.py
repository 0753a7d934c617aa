"""Full mesh of streams between entry VMs, and which of the entry VMs are live."""

from __future__ import annotations

import dataclasses
import logging
from collections.abc import Callable, Iterable

from twisted.internet import error, interfaces, protocol
from twisted.python import failure as failures

from celerystack import ids, model, periodic, timing
from celerystack.peers import messages, stream

CONNECT_TIMEOUT_S = 1.0
PEER_FORGET_S = 60.0
"""Time after which a silent entry VM is forgotten; longer than the deadlines of requests."""
RECONNECT_MAX_S = 0.5
_log = logging.getLogger(__name__)

MessageHandler = Callable[[model.EntryVm, messages.Message], None]


@dataclasses.dataclass
class Peer:
    """Last known state of another entry VM; times are in seconds.

    Attributes
    ----------
    live_deadline : float
        Time on the local monotonic clock at which the peer counts as down without a heartbeat.
    last_heard_at : float
        Time of the last heartbeat on the local monotonic clock, or an earlier one if a connection
        was refused since.
    stamp : float
        Newest stamp of the peer, on the peer's clock.
    echo_stamp : float
        Newest own stamp that the peer has echoed, on the local monotonic clock.
    """

    entry_vm: model.EntryVm
    live_deadline: float
    last_heard_at: float
    heartbeat: messages.Heartbeat | None = None
    stamp: float = 0.0
    echo_stamp: float = 0.0


class _SenderFactory(protocol.ReconnectingClientFactory):
    initialDelay = 0.05  # noqa: N815
    maxDelay = RECONNECT_MAX_S  # noqa: N815
    noisy = False

    def __init__(
        self, build: Callable[[], stream.PeerSender], on_refused: Callable[[], None]
    ) -> None:
        self._build = build
        self._on_refused = on_refused

    def buildProtocol(self, addr: object) -> stream.PeerSender:  # noqa: N802
        self.resetDelay()
        return self._build()

    def clientConnectionFailed(  # noqa: N802
        self, connector: interfaces.IConnector, reason: failures.Failure
    ) -> None:
        if reason.check(error.ConnectionRefusedError):
            self._on_refused()
        super().clientConnectionFailed(connector, reason)


class _ReceiverFactory(protocol.Factory):
    noisy = False

    def __init__(self, build: Callable[[], stream.PeerReceiver]) -> None:
        self._build = build

    def buildProtocol(self, addr: object) -> stream.PeerReceiver:  # noqa: N802
        return self._build()


class Mesh:
    """Manages all peer streams of this entry VM.

    Parameters
    ----------
    reactor : IReactorTCP
    clock : IReactorTime
        Monotonic time source.
    own_entry_vm : EntryVm
        This entry VM; ``peer_address`` is the address that peers connect to.
    secrets : tuple of bytes
        The first signs outgoing frames; any of them may have signed incoming ones.
    heartbeat : callable
        Returns the next heartbeat; the mesh sets its stamp and echo.
    """

    def __init__(
        self,
        reactor: interfaces.IReactorTCP,
        *,
        clock: interfaces.IReactorTime,
        own_entry_vm: model.EntryVm,
        secrets: tuple[bytes, ...],
        heartbeat: Callable[[], messages.Heartbeat],
    ) -> None:
        self._reactor = reactor
        self._clock = clock
        self._secrets = secrets
        self._make_heartbeat = heartbeat
        self._senders_by_address: dict[str, stream.PeerSender | None] = {}
        self._factories_by_address: dict[str, _SenderFactory] = {}
        self._refused_addresses: set[str] = set()
        self._addresses_by_process: dict[model.LessorRef, str] = {}
        self._handlers: list[MessageHandler] = []
        self._listening_port: interfaces.IListeningPort | None = None
        self._heartbeat_loop = periodic.Periodic(
            clock, self._send_heartbeats, interval_s=timing.PEER_HEARTBEAT_S
        )
        self.own_entry_vm = own_entry_vm
        self.peers_by_vm: dict[ids.EntryVmId, Peer] = {}

    def add_handler(self, handler: MessageHandler) -> None:
        """Call ``handler`` with each received message and its sender."""
        self._handlers.append(handler)

    def start(self, listen_address: str) -> None:
        """Listen for connections of peers and start sending heartbeats."""
        host, _, port = listen_address.rpartition(":")
        factory = _ReceiverFactory(
            lambda: stream.PeerReceiver(secrets=self._secrets, on_message=self._on_message)
        )
        self._listening_port = self._reactor.listenTCP(int(port), factory, interface=host)
        self._heartbeat_loop.start()

    def stop(self) -> None:
        """Close all streams and stop sending heartbeats."""
        self._heartbeat_loop.stop()
        if self._listening_port is not None:
            self._listening_port.stopListening()
        for factory in self._factories_by_address.values():
            factory.stopTrying()
        for sender in self._senders_by_address.values():
            if sender is not None and sender.transport is not None:
                sender.transport.loseConnection()

    def dial(self, addresses: Iterable[str]) -> None:
        """Connect to peers and reconnect after failures; addresses dialled before are ignored."""
        for address in addresses:
            if address and address != self.own_entry_vm.peer_address:
                self._dial_one(address)

    def _dial_one(self, address: str) -> None:
        if address in self._factories_by_address:
            return
        host, _, port = address.rpartition(":")
        factory = _SenderFactory(
            lambda: self._build_sender(address), lambda: self._connection_refused(address)
        )
        self._factories_by_address[address] = factory
        self._senders_by_address[address] = None
        self._reactor.connectTCP(host, int(port), factory, timeout=CONNECT_TIMEOUT_S)

    def disconnect(self, address: str) -> None:
        """Disconnect from an address and stop dialling it, for example after a VM left."""
        self._refused_addresses.discard(address)
        factory = self._factories_by_address.pop(address, None)
        if factory is not None:
            factory.stopTrying()
        sender = self._senders_by_address.pop(address, None)
        if sender is not None and sender.transport is not None:
            sender.transport.loseConnection()

    def _build_sender(self, address: str) -> stream.PeerSender:
        hello = messages.Hello(
            vm=self.own_entry_vm.vm,
            incarnation=self.own_entry_vm.incarnation,
            zone=self.own_entry_vm.zone,
            address=self.own_entry_vm.peer_address,
        )
        return stream.PeerSender(
            secret=self._secrets[0],
            hello=hello,
            on_ready=lambda sender: self._sender_ready(address, sender),
            on_lost=lambda sender: self._sender_lost(address, sender),
        )

    def _connection_refused(self, address: str) -> None:
        """Mark the peer at an address as down: its host is reachable, but no process listens.

        After a partition or with a suspended process, the connection attempt would time out
        instead.
        """
        self._refused_addresses.add(address)
        now = self._clock.seconds()
        for peer in self.peers_by_vm.values():
            if peer.entry_vm.peer_address == address and peer.live_deadline > now:
                peer.live_deadline = now
                peer.last_heard_at = min(peer.last_heard_at, now - timing.PEER_DOWN_S)

    def address_of(self, ref: model.LessorRef) -> str | None:
        """Return the address that a process announced; None if it is unknown or forgotten."""
        return self._addresses_by_process.get(ref)

    def is_refused(self, address: str) -> bool:
        """Return whether a connection to an address was refused since the last successful one."""
        return address in self._refused_addresses

    def _sender_ready(self, address: str, sender: stream.PeerSender) -> None:
        self._senders_by_address[address] = sender
        self._refused_addresses.discard(address)
        self._send_heartbeat(address, self._make_heartbeat())

    def _sender_lost(self, address: str, sender: stream.PeerSender) -> None:
        if self._senders_by_address.get(address) is sender:
            self._senders_by_address[address] = None

    def send(self, vm: ids.EntryVmId, message: messages.Message) -> bool:
        """Send to one entry VM; return False if there is no stream to it.

        A message to this entry VM is passed to the handlers directly.
        """
        if vm == self.own_entry_vm.vm:
            self._dispatch(self.own_entry_vm, message)
            return True
        peer = self.peers_by_vm.get(vm)
        sender = self._senders_by_address.get(peer.entry_vm.peer_address) if peer else None
        if sender is None:
            return False
        sender.send(message)
        return True

    def broadcast(self, message: messages.Message) -> None:
        """Send to all connected entry VMs."""
        for sender in self._senders_by_address.values():
            if sender is not None:
                sender.send(message)

    def now(self) -> float:
        """Return the time of the local monotonic clock in seconds."""
        return self._clock.seconds()

    def live_peers(self) -> list[Peer]:
        """Return the live peers, sorted by id; this entry VM is not among them."""
        now = self._clock.seconds()
        peers = sorted(self.peers_by_vm.values(), key=lambda peer: peer.entry_vm.vm)
        return [peer for peer in peers if peer.live_deadline > now]

    def live_entry_vms(self) -> list[model.EntryVm]:
        """Return this entry VM and the live peers that are not draining, sorted by id."""
        live = [
            peer.entry_vm
            for peer in self.live_peers()
            if peer.heartbeat is None or not peer.heartbeat.draining
        ]
        return sorted([self.own_entry_vm, *live], key=lambda entry_vm: entry_vm.vm)

    def _send_heartbeats(self) -> None:
        forget_before = self._clock.seconds() - PEER_FORGET_S
        for vm in [v for v, peer in self.peers_by_vm.items() if peer.last_heard_at < forget_before]:
            self.disconnect(self.peers_by_vm.pop(vm).entry_vm.peer_address)
            for ref in [ref for ref in self._addresses_by_process if ref.vm == vm]:
                del self._addresses_by_process[ref]
        heartbeat = self._make_heartbeat()
        for address in list(self._senders_by_address):
            self._send_heartbeat(address, heartbeat)

    def _send_heartbeat(self, address: str, heartbeat: messages.Heartbeat) -> None:
        sender = self._senders_by_address.get(address)
        if sender is None:
            return
        echo_stamp = next(
            (p.stamp for p in self.peers_by_vm.values() if p.entry_vm.peer_address == address), 0.0
        )
        sender.send(
            dataclasses.replace(heartbeat, stamp=self._clock.seconds(), echo_stamp=echo_stamp)
        )

    def _on_message(self, receiver: stream.PeerReceiver, message: messages.Message) -> None:
        hello = receiver.hello
        if hello is None or hello.vm == self.own_entry_vm.vm:
            return
        peer = self._get_or_add_peer(hello)
        if peer is None:
            return
        match message:
            case messages.Hello():
                self.dial([hello.address])
            case messages.Heartbeat():
                self._record_heartbeat(peer, message)
        self._dispatch(peer.entry_vm, message)

    def _get_or_add_peer(self, hello: messages.Hello) -> Peer | None:
        entry_vm = model.EntryVm(
            vm=hello.vm, incarnation=hello.incarnation, zone=hello.zone, peer_address=hello.address
        )
        known = self.peers_by_vm.get(hello.vm)
        if known is not None and known.entry_vm == entry_vm:
            return known
        self._addresses_by_process[model.LessorRef(hello.vm, hello.incarnation)] = hello.address
        now = self._clock.seconds()
        if known is not None and known.live_deadline > now and known.heartbeat is not None:
            _log.info(
                "entry VM %s restarted with a new incarnation",
                hello.vm,
                extra={"peer": hello.address},
            )
        peer = Peer(entry_vm, live_deadline=now + timing.PEER_DOWN_S, last_heard_at=now)
        self.peers_by_vm[hello.vm] = peer
        return peer

    def _record_heartbeat(self, peer: Peer, heartbeat: messages.Heartbeat) -> None:
        now = self._clock.seconds()
        peer.live_deadline = now + timing.PEER_DOWN_S
        peer.last_heard_at = now
        peer.heartbeat = heartbeat
        peer.stamp = max(peer.stamp, heartbeat.stamp)
        peer.echo_stamp = max(peer.echo_stamp, heartbeat.echo_stamp)

    def _dispatch(self, sender: model.EntryVm, message: messages.Message) -> None:
        for handler in self._handlers:
            handler(sender, message)
