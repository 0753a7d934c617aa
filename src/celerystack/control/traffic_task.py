"""Estimates request rates per shard and key, and reports them to each service's placer."""

from __future__ import annotations

import random

from twisted.internet import interfaces

from celerystack import ids, model, periodic
from celerystack.control import view as cluster_view
from celerystack.lease import rendezvous
from celerystack.peers import mesh as peer_mesh
from celerystack.peers import messages
from celerystack.placement import loads, sketch

REPORT_S = 1.0
"""Interval of the reports in seconds."""
REPORT_KEYS_MAX = 32
"""Largest number of keys in one report; the most frequent ones are reported."""

REPORT_SHARDS_MAX = 512
"""Largest number of shards in one report; the most loaded ones are reported, the others count as
idle."""

SKETCH_KEYS = 256
"""Number of keys whose rates are kept: per service at each entry VM, and after merging at the
placer."""
SAMPLE_PROBABILITY = 0.25
"""Probability that a lookup is counted: saves CPU time, and still detects keys with a few
requests/s."""

REPORT_TTL_S = 5.0
"""Time in seconds for which the newest report of an entry VM counts."""
_SAMPLE_WEIGHT = 1 / SAMPLE_PROBABILITY


def placer_of(service: ids.ServiceName, vms: list[model.EntryVm]) -> ids.EntryVmId:
    """Return the placer of a service: the entry VM that ranks first by rendezvous hash."""
    return ids.EntryVmId(rendezvous.ranked(f"placer/{service}", [vm.vm for vm in vms])[0])


class _ServiceTraffic:
    """Request counters of one service at this entry VM."""

    def __init__(self, now: float) -> None:
        self.loads = loads.ShardLoads(started_at=now)
        self.keys = sketch.HotKeySketch(capacity=SKETCH_KEYS, started_at=now)


class TrafficTask:
    """Counts the requests of this entry VM.

    Also keeps the newest reports of all entry VMs for the services that this entry VM places.
    """

    def __init__(
        self,
        clock: interfaces.IReactorTime,
        *,
        view: cluster_view.ClusterView,
        mesh: peer_mesh.Mesh,
    ) -> None:
        self._clock = clock
        self._view = view
        self._mesh = mesh
        self._random = random.Random()
        self._traffic_by_service: dict[ids.ServiceName, _ServiceTraffic] = {}
        self._reports: dict[
            tuple[ids.ServiceName, ids.EntryVmId], tuple[float, messages.Traffic]
        ] = {}
        self._loop = periodic.Periodic(clock, self._report, interval_s=REPORT_S)
        mesh.add_handler(self._handle)

    def start(self) -> None:
        """Start sending reports."""
        self._loop.start()

    def stop(self) -> None:
        """Stop sending reports."""
        self._loop.stop()

    def count_request(self, service: ids.ServiceName, key: ids.KeyHash, shard: ids.ShardId) -> None:
        """Count the lookup of a request's route, with probability `SAMPLE_PROBABILITY`."""
        if self._random.random() >= SAMPLE_PROBABILITY:
            return
        now = self._clock.seconds()
        traffic = self._traffic_by_service.get(service)
        if traffic is None:
            traffic = self._traffic_by_service[service] = _ServiceTraffic(now)
        traffic.loads.add(shard, weight=_SAMPLE_WEIGHT)
        traffic.keys.add(key, now, weight=_SAMPLE_WEIGHT)

    def shard_rates(self, service: ids.ServiceName) -> dict[ids.ShardId, float]:
        """Return requests/s by shard, summed over all entry VMs."""
        rates: dict[ids.ShardId, float] = {}
        for report in self._unexpired_reports(service):
            for shard, rate in report.rate_by_shard.items():
                rates[shard] = rates.get(shard, 0.0) + rate
        return rates

    def key_rates(self, service: ids.ServiceName) -> sketch.KeyRates:
        """Return the rates of the most frequent keys, merged over all entry VMs."""
        reported_rates = [
            sketch.KeyRates(
                {key: sketch.KeyRate(*pair) for key, pair in report.rates_by_key.items()},
                report.unlisted_rate_max,
            )
            for report in self._unexpired_reports(service)
        ]
        return sketch.merge(reported_rates, limit=SKETCH_KEYS)

    def _unexpired_reports(self, service: ids.ServiceName) -> list[messages.Traffic]:
        now = self._clock.seconds()
        return [
            report
            for (name, _), (expires_at, report) in self._reports.items()
            if name == service and expires_at > now
        ]

    def _report(self) -> None:
        now = self._clock.seconds()
        live = self._mesh.live_entry_vms()
        self._reports = {k: v for k, v in self._reports.items() if v[0] > now}
        for name, service in self._view.configuration.services_by_name.items():
            if service.divided:
                self._mesh.send(placer_of(name, live), self._own_report(name, now))

    def _own_report(self, service: ids.ServiceName, now: float) -> messages.Traffic:
        traffic = self._traffic_by_service.setdefault(service, _ServiceTraffic(now))
        traffic.loads.update(now)
        rates = sorted(traffic.loads.rates().items(), key=lambda item: (-item[1], item[0]))
        keys = traffic.keys.rates(now, limit=REPORT_KEYS_MAX)
        return messages.Traffic(
            service=service,
            rate_by_shard=dict(rates[:REPORT_SHARDS_MAX]),
            rates_by_key={k: (rate.rate, rate.error) for k, rate in keys.rate_by_key.items()},
            unlisted_rate_max=keys.unlisted_rate_max,
        )

    def _handle(self, sender: model.EntryVm, message: messages.Message) -> None:
        match message:
            case messages.Traffic(service=service):
                expires_at = self._clock.seconds() + REPORT_TTL_S
                self._reports[service, sender.vm] = (expires_at, message)
