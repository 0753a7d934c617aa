"""Tests which responses of servers prove that a request has not run."""

import testtools

from celerystack import ids
from celerystack.backend import http
from celerystack.gateway import calls
from celerystack.platform import requests
from tests.gateway import fakes as gateway_fakes
from tests.ranges import fakes

REQUEST_ID = "9c41d07be2a35f68"
ECHO = (requests.ATTEMPT_ID, REQUEST_ID.encode())
NOT_RUN = (requests.NOT_RUN, b"1")
SERVER = fakes.incarnation("i-1")


def call():
    return calls.Call(
        request_id=ids.RequestId(REQUEST_ID),
        route=gateway_fakes.ROUTE,
        service=fakes.SERVICE,
        method=b"POST",
        target=b"/",
        headers=(),
        body=b"",
        key=None,
        arrived_at=0.0,
        deadline=1.0,
    )


def classify(status, *headers):
    response = http.HttpResponse(status=status, reason=b"", headers=headers, body=b"")
    return requests.HeaderRequestCodec().classify(call(), SERVER, response)


class NotRunTest(testtools.TestCase):
    def test_refusal_with_the_id_of_the_request(self):
        """Guards against an unknown outcome although the server states that nothing has run."""
        for status in (400, 429, 503):
            attempt = classify(status, NOT_RUN, ECHO)
            self.assertEqual(calls.NotRunReason.FULL, attempt.reason, status)

    def test_refusal_without_an_id_proves_nothing(self):
        """Guards against a repeated refusal of an earlier request taken for that of this one."""
        for status in (429, 503):
            self.assertIsInstance(classify(status, NOT_RUN), calls.OutcomeUnknown, status)

    def test_misdirected_with_the_id_of_the_request(self):
        """Guards against giving up a request although its key only has to be granted again."""
        self.assertEqual(calls.NotRunReason.KEY_NOT_HELD, classify(421, ECHO).reason)
        other = classify(421, ECHO, (requests.SERVER_ID, b"i-2"))
        self.assertEqual(calls.NotRunReason.OTHER_SERVER, other.reason)

    def test_misdirected_without_an_id_proves_nothing(self):
        """Guards against sending a request again because of an earlier one's refusal."""
        self.assertIsInstance(classify(421), calls.OutcomeUnknown)
        other = classify(421, (requests.SERVER_ID, b"i-2"))
        self.assertIsInstance(other, calls.OutcomeUnknown)

    def test_other_statuses_prove_nothing(self):
        """Guards against taking a failure without the server's statement for a refusal."""
        for status in (408, 429, 500, 502, 503, 504):
            self.assertNotIsInstance(classify(status, ECHO), calls.NotRun, status)


class HeadersOfACaller:
    """Headers of a request, as the listener passes them on."""

    def __init__(self, *headers):
        self._headers = headers

    def header_list(self):
        return self._headers


class HostTest(testtools.TestCase):
    def host(self, value):
        return requests.HeaderRequestCodec().read(HeadersOfACaller((b"host", value))).host

    def test_port_is_no_part_of_the_host(self):
        """Guards against a route that is not found because the caller names the port."""
        self.assertEqual("jepu9.example", self.host(b"Jepu9.example:8080"))

    def test_address_in_brackets(self):
        """Guards against cutting an IPv6 address at its first colon."""
        self.assertEqual("[2001:db8::1]", self.host(b"[2001:DB8::1]:8080"))
        self.assertEqual("[2001:db8::1]", self.host(b"[2001:db8::1]"))


class RateLimitTest(testtools.TestCase):
    def rate_limit(self, *values):
        headers = tuple((requests.RATE_LIMIT, value) for value in values)
        response = http.HttpResponse(status=200, reason=b"", headers=headers, body=b"")
        return requests.HeaderRequestCodec().rate_limit(response)

    def test_limits_of_answers(self):
        """Guards against a limit that is missed, and against the higher one of two."""
        self.assertIsNone(self.rate_limit())
        self.assertEqual(3.8, self.rate_limit(b" 3.8 "))
        self.assertEqual(0.0, self.rate_limit(b"0"))
        self.assertEqual(2.5, self.rate_limit(b"4", b"2.5"))

    def test_unreadable_limits(self):
        """Guards against taking an unreadable limit for none, and against unbounded numbers."""
        for value in (b"", b"-1", b"nan", b"inf", b"1e9", b"3,8", b"9" * 400, b"\xb2"):
            with self.subTest(value=value):
                self.assertRaises(calls.UnreadableHeaderError, self.rate_limit, value)
                self.assertRaises(calls.UnreadableHeaderError, self.rate_limit, b"5", value)
