"""Guards against replies that are lost because an infinite map age cannot be logged."""

import prometheus_client
import testtools

from celerystack import ids
from celerystack.backend import http
from celerystack.gateway import calls, metrics
from tests.gateway import fakes as gateway_fakes
from tests.ranges import fakes


class RequestMetricsTest(testtools.TestCase):
    def test_map_that_was_not_confirmed_yet_has_no_age(self):
        """Guards against an error when the infinite age of the map is rounded."""
        step = calls.Step(
            at=10.0,
            outcome="answered 200",
            server=fakes.incarnation("a"),
            token=3,
            map_version=7,
            map_age_s=float("inf"),
        )
        call = calls.Call(
            request_id=ids.RequestId("r"),
            route=gateway_fakes.ROUTE,
            service=fakes.SERVICE,
            method=b"GET",
            target=b"/",
            headers=(),
            body=b"",
            key=7,
            arrived_at=9.9,
            deadline=11.0,
            steps=[step],
        )
        response = http.HttpResponse(status=200, reason=b"OK", headers=(), body=b"")
        request_metrics = metrics.RequestMetrics(prometheus_client.CollectorRegistry())
        request_metrics.record_reply(call, calls.Answered(response), 10.0)
