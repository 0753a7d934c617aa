from __future__ import annotations

import prometheus_client
import testtools

from celerystack import ids, model
from celerystack.observe import metrics

SERVICE = ids.ServiceName("rota-view")
SERVER = ids.ServerId("rv-01")


class MetricsTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.registry = prometheus_client.CollectorRegistry()
        self.metrics = metrics.Metrics(self.registry)

    def value(self, name: str, **labels: str) -> float | None:
        return self.registry.get_sample_value(name, labels)

    def test_requests_by_service_and_outcome(self) -> None:
        """Guards against counting a request with unknown outcome as answered."""
        self.metrics.observe_request(SERVICE, model.Outcome.ANSWERED, 0.004)
        self.metrics.observe_request(SERVICE, model.Outcome.ANSWERED, 0.004)
        self.metrics.observe_request(SERVICE, model.Outcome.UNKNOWN, 2.0)
        name = "celerystack_requests_total"
        self.assertEqual(2.0, self.value(name, service=SERVICE, outcome="answered"))
        self.assertEqual(1.0, self.value(name, service=SERVICE, outcome="unknown"))
        bucket = "celerystack_request_seconds_bucket"
        self.assertEqual(2.0, self.value(bucket, service=SERVICE, le="0.009"))

    def test_a_lease_has_one_state(self) -> None:
        """Guards against a previous lease state whose gauge stays 1."""
        self.metrics.set_lease_state(SERVER, metrics.LeaseState.HELD)
        self.metrics.set_lease_state(SERVER, metrics.LeaseState.EXPIRED)
        values = {
            state: self.value("celerystack_lease_state", server=SERVER, state=state.value)
            for state in metrics.LeaseState
        }
        self.assertEqual(1.0, values.pop(metrics.LeaseState.EXPIRED))
        self.assertEqual({0.0}, set(values.values()))

    def test_forgotten_server_leaves_no_metrics(self) -> None:
        """Guards against metrics that accumulate for servers that are no longer declared."""
        self.metrics.set_queue_length(SERVER, 3)
        self.metrics.set_lease_state(SERVER, metrics.LeaseState.HELD)
        self.metrics.remove_server(SERVER)
        self.metrics.remove_server(SERVER)
        self.assertNotIn(SERVER.encode(), prometheus_client.generate_latest(self.registry))

    def test_two_routers_do_not_share_metrics(self) -> None:
        """Guards against using the global registry, which all routers of a process share."""
        other = prometheus_client.CollectorRegistry()
        metrics.Metrics(other).set_config_version(ids.ConfigVersion(7))
        self.metrics.set_config_version(ids.ConfigVersion(3))
        self.assertEqual(3.0, self.value("celerystack_config_version"))
        self.assertEqual(7.0, other.get_sample_value("celerystack_config_version"))
