"""Sizes of the messages between entry VMs at the limits of the configuration and the platform.

Guards against messages that grow with names or counts until they cannot be sent (review case 14).
"""

import dataclasses
import socket

import testtools

from celerystack import ids
from celerystack.fleet import datagram_size, directory_sync, evacuations, messages
from celerystack.forwarding import owners
from celerystack.limits import crash_suspects, rate_limits
from celerystack.peers import codec as peer_codec
from celerystack.peers import messages as peer_messages
from celerystack.peers import stream as peer_stream
from celerystack.peers import sync as peer_sync
from celerystack.ranges import map_datagrams, model, range_maps
from celerystack.store import ports
from tests.fleet import test_messages
from tests.ranges import fakes

NAME_LENGTH = 200
VMS = SERVERS = 1_000
SERVICES = 220
"""Number of services whose names of 200 characters a configuration of 64 KiB can contain."""
ZONES = 9
STARTED_MS = 2**53


def name(number: int) -> str:
    return f"{number:06}".ljust(NAME_LENGTH, "n")


def names(count: int) -> list[str]:
    return [name(number) for number in range(count)]


INCARNATIONS = tuple(fakes.incarnation(server, STARTED_MS) for server in names(SERVERS))
LIMITS = tuple(
    rate_limits.RateLimit(incarnation=incarnation, per_s=1 / 3, age_s=1 / 3)
    for incarnation in INCARNATIONS
)
FINGERPRINTS = tuple(ids.Fingerprint(number.to_bytes(8, "big")) for number in range(2_000))
LIVE_OWNERS = [
    owners.Owner(vm, name(number % ZONES), ("255.255.255.255", 65_535), 1 / 3)
    for number, vm in enumerate(names(VMS))
]
LONGEST_REPORT = dataclasses.replace(
    test_messages.REPORT,
    vm=name(0),
    zone=name(0),
    versions_by_service=dict.fromkeys(names(SERVICES), 2**60),
    remaining_by_incarnation=dict.fromkeys(INCARNATIONS, 1 / 3),
    unreachable=INCARNATIONS,
    keys_by_service=dict.fromkeys(names(SERVICES), [model.KEY_MAX] * 400),
    service_time_by_server=dict.fromkeys(names(SERVERS), (1_000, 1 / 3)),
    crash_suspects=tuple(zip(FINGERPRINTS[:SERVERS], INCARNATIONS, strict=True)),
    incarnations_with_reused_address=INCARNATIONS,
    completed_suspects=FINGERPRINTS,
    rate_limits=LIMITS,
    leaving=INCARNATIONS,
    queue_wait_by_service=dict.fromkeys(names(SERVICES), 1 / 3),
    refused_tokens_by_service=dict.fromkeys(names(SERVICES), (ids.Token(2**60),) * 20),
)
LONGEST_HEARTBEAT = dataclasses.replace(
    test_messages.HEARTBEAT,
    vm=name(0),
    versions_by_service=dict.fromkeys(names(SERVICES), 2**60),
    pending=INCARNATIONS,
    admitted_fraction_by_server=dict.fromkeys(names(SERVERS), 1 / 3),
    quarantined=FINGERPRINTS,
    incarnations_with_reused_address=INCARNATIONS,
    rate_limits=LIMITS,
    leaving=INCARNATIONS,
    evacuations=evacuations.EvacuationList(
        version=ids.RowVersion(9),
        age_s=1 / 3,
        evacuations=tuple(evacuations.Evacuation(zone, 1 / 3) for zone in names(ZONES)),
    ),
    queue_owners=owners.choose_owners(LIVE_OWNERS, (), entry_vms=VMS),
    queue_waits_by_vm=dict.fromkeys(names(VMS), dict.fromkeys(names(10), 1 / 3)),
)


class DatagramSizesTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.receiver = self.open_socket()
        self.receiver.bind(("127.0.0.1", 0))
        self.sender = self.open_socket()

    def open_socket(self):
        opened = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.addCleanup(opened.close)
        opened.settimeout(5.0)
        return opened

    def send(self, data):
        """Send a datagram over a real socket and return the decoded message."""
        self.assertLessEqual(len(data), datagram_size.DATAGRAM_BYTES_MAX)
        self.sender.sendto(data, self.receiver.getsockname())
        return messages.decode(self.receiver.recv(65_000), peer="test")

    def assert_lists_are_parts(self, whole, received, left_out=()):
        for field in dataclasses.fields(whole):
            sent, got = getattr(whole, field.name), getattr(received, field.name)
            if field.name not in left_out and isinstance(sent, tuple | dict):
                self.assertTrue(got, f"{field.name} is empty")
                self.assertLessEqual(set(got), set(sent))

    def test_report(self):
        """A shortened report has a part of each list; the next reports have the others."""
        received = self.send(messages.encode(LONGEST_REPORT))
        self.assert_lists_are_parts(LONGEST_REPORT, received)
        leaving = INCARNATIONS[:100]
        report = dataclasses.replace(LONGEST_REPORT, leaving=leaving)
        self.assertLess(len(received.leaving), len(leaving))
        told = set()
        for _ in range(100):
            told.update(self.send(messages.encode(report)).leaving)
        self.assertEqual(set(leaving), told)

    def test_heartbeat(self):
        """A shortened heartbeat has a part of each list, and the update that fits."""
        received = self.send(messages.encode(LONGEST_HEARTBEAT))
        self.assert_lists_are_parts(LONGEST_HEARTBEAT, received)
        self.assertEqual(test_messages.HEARTBEAT.update, received.update)
        self.assertEqual(LONGEST_HEARTBEAT.queue_owners, received.queue_owners)

    def test_waits_for_all_services(self):
        """The waits of one entry VM for as many services as a configuration holds are told in part,
        not left out for good."""
        waits = dict.fromkeys(names(VMS), dict.fromkeys(names(SERVICES), 1 / 3))
        heartbeat = dataclasses.replace(LONGEST_HEARTBEAT, queue_waits_by_vm=waits)
        received = self.send(messages.encode(heartbeat))
        self.assertNotEqual({}, received.queue_waits_by_vm)

    def test_all_leaving_servers_are_told_within_a_bounded_number_of_reports(self):
        """A list that never fits is told as a whole after some reports."""
        told = set()
        for _ in range(400):
            told.update(self.send(messages.encode(LONGEST_REPORT)).leaving)
        self.assertEqual(set(INCARNATIONS), told)

    def test_heartbeat_with_the_longest_update(self):
        """The lists of entry VMs and owners, and the update, leave room for the others."""
        zone_vms = names(VMS)
        fitting = datagram_size.longest_prefix(zone_vms, bytes_max=12_000, extra_bytes=3)
        entry = fakes.entry(name(0), STARTED_MS, zone=name(0))
        change = directory_sync.Change(entry=entry, present=True)
        count = directory_sync.READ_BYTES_MAX // change.size_bytes
        update = dataclasses.replace(test_messages.HEARTBEAT.update, changes=(change,) * count)
        heartbeat = dataclasses.replace(
            LONGEST_HEARTBEAT, zone_vms=tuple(zone_vms[:fitting]), update=update
        )
        received = self.send(messages.encode(heartbeat))
        self.assertEqual(update, received.update)
        self.assert_lists_are_parts(heartbeat, received)

    def test_heartbeat_without_room_for_the_update(self):
        """The receiver of a heartbeat without an update reads the servers from the store."""
        entry = fakes.entry(name(0), STARTED_MS, zone=name(0))
        change = directory_sync.Change(entry=entry, present=True)
        update = dataclasses.replace(test_messages.HEARTBEAT.update, changes=(change,) * 120)
        heartbeat = dataclasses.replace(LONGEST_HEARTBEAT, update=update)
        received = self.send(messages.encode(heartbeat))
        self.assertIsNone(received.update)
        self.assert_lists_are_parts(heartbeat, received)

    def test_range_map(self):
        segments = tuple(
            model.Segment(
                start=start,
                end=start,
                token=ids.Token(2**60),
                owner=INCARNATIONS[start],
                pending=INCARNATIONS[:8],
                handover="h" * 200,
            )
            for start in range(SERVERS)
        )
        ranges = model.RangeMap(service=name(0), next_token=ids.Token(2**60), segments=segments)
        known = range_maps.KnownMap(ranges, ids.RowVersion(2**60), 0.0)
        parts = map_datagrams.encode_whole(known, term=2**30)
        received = [self.send(part) for part in parts]
        self.assertEqual(segments, tuple(s for part in received for s in part.segments))

    def test_configuration(self):
        part = messages.ConfigPart(row=ids.RowVersion(2**60), part=99, parts=100, data=b"c" * 1_200)
        self.assertEqual(part, self.send(messages.encode(part)))

    def test_broken_requests_wait_for_the_next_report(self):
        """Guards against broken requests that no report has, as the first one was full."""
        quarantine = crash_suspects.Quarantine()
        expected = set(zip(FINGERPRINTS[:SERVERS], INCARNATIONS, strict=True))
        for suspect, incarnation in expected:
            quarantine.note_broken(suspect, incarnation)
        told = set()
        for _ in range(SERVERS):
            told.update(quarantine.take_unreported())
        self.assertEqual(expected, told)
        self.assertEqual([], quarantine.take_unreported())


class FrameSizesTest(testtools.TestCase):
    def assert_fits(self, message):
        self.assertLessEqual(len(peer_codec.encode(message)), peer_stream.FRAME_BYTES_MAX)

    def test_messages_on_streams(self):
        """The lists of 17,000 VMs fit into a frame; rows are sent in several messages."""
        keys = names(17_000)
        self.assert_fits(peer_messages.RowVersions(dict.fromkeys(keys, 2**60)))
        self.assert_fits(peer_messages.RowsWanted(tuple(keys)))
        self.assert_fits(
            peer_messages.Heartbeat(
                digest=2**32,
                config_version=ids.ConfigVersion(2**60),
                silent_servers=tuple(keys),
                unanswered_by_server=dict.fromkeys(keys, 2**30),
            )
        )
        rows = [ports.Row(key, 2**60, b"v" * 65_536) for key in keys[:1_000]]
        parts = list(peer_sync._rows_messages(rows))
        for part in parts:
            self.assert_fits(part)
        sent = [row for part in parts for row in part.rows]
        self.assertEqual([(row.key, row.version, row.value) for row in rows], sent)
