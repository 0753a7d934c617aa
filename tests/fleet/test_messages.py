"""Guards against fields that are lost or changed when a datagram is encoded and decoded."""

import testtools

from celerystack import errors, ids
from celerystack.fleet import directory_sync, evacuations, messages
from celerystack.forwarding import owners
from celerystack.limits import rate_limits
from tests.ranges import fakes

LIMIT = rate_limits.RateLimit(incarnation=fakes.incarnation("a"), per_s=3.8, age_s=0.5)
ENDED_LIMIT = rate_limits.RateLimit(incarnation=fakes.incarnation("b"), per_s=None, age_s=0.0)
UPDATE = directory_sync.DirectoryUpdate(
    since=ids.RowVersion(4),
    position=ids.RowVersion(9),
    age_s=0.25,
    digest=77,
    config_row=ids.RowVersion(3),
    config_age_s=0.5,
    changes=(
        directory_sync.Change(entry=fakes.entry("a", 5, cold_s=1.5), present=True),
        directory_sync.Change(entry=fakes.entry("b"), present=False),
    ),
)
HEARTBEAT = messages.PlannerHeartbeat(
    vm=ids.EntryVmId("v1"),
    term=3,
    echo_vm_incarnation=8,
    echo_stamp=1.5,
    confirm_age_s=0.1,
    versions_by_service={fakes.SERVICE: 12},
    zone_vms=(ids.EntryVmId("v1"),),
    entry_vms=4,
    pending=(fakes.incarnation("a"),),
    admitted_fraction_by_server={ids.ServerId("a"): 0.5},
    quarantined=(ids.Fingerprint(b"\x00\xff"),),
    update=UPDATE,
    incarnations_with_reused_address=(fakes.incarnation("c"),),
    rate_limits=(LIMIT, ENDED_LIMIT),
    leaving=(fakes.incarnation("d"),),
    evacuations=evacuations.EvacuationList(
        version=ids.RowVersion(9),
        age_s=0.2,
        evacuations=(evacuations.Evacuation(fakes.ZONE, 1.5),),
    ),
    queue_owners=(owners.Owner(ids.EntryVmId("v1"), fakes.ZONE, ("10.0.0.1", 7000), 2.0),),
    queue_waits_by_vm={ids.EntryVmId("v1"): {fakes.SERVICE: 0.25}},
)
REPORT = messages.Report(
    vm=ids.EntryVmId("v1"),
    zone=fakes.ZONE,
    vm_incarnation=8,
    stamp=2.5,
    versions_by_service={fakes.SERVICE: 12},
    remaining_by_incarnation={fakes.incarnation("a"): 4.0},
    unreachable=(fakes.incarnation("b"),),
    keys_by_service={fakes.SERVICE: [1, 2]},
    service_time_by_server={ids.ServerId("a"): (2, 0.5)},
    crash_suspects=((ids.Fingerprint(b"\x01"), fakes.incarnation("a")),),
    position=ids.RowVersion(9),
    incarnations_with_reused_address=(fakes.incarnation("c"),),
    completed_suspects=(ids.Fingerprint(b"\x02"),),
    config_row=ids.RowVersion(5),
    rate_limits=(LIMIT,),
    leaving=(fakes.incarnation("d"),),
    queue_weight=1.5,
    queue_wait_by_service={fakes.SERVICE: 0.25},
    refused_tokens_by_service={fakes.SERVICE: (ids.Token(7),)},
)


class MessagesTest(testtools.TestCase):
    def test_messages_survive_encoding(self):
        """Guards against fields that the encoder and the decoder treat differently."""
        for message in (HEARTBEAT, REPORT):
            decoded = messages.decode(messages.encode(message), peer="10.0.0.1")
            self.assertEqual(message, decoded)

    def test_malformed_datagram_is_an_error(self):
        """Guards against decoding errors of other types, which callers do not handle."""
        for data in (b"", b"\xc1", messages.encode(HEARTBEAT)[:-3]):
            self.assertRaises(errors.BadFrameError, messages.decode, data, peer="10.0.0.1")
