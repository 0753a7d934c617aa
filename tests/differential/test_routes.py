"""Differential test of `Routes.service_for` and `Routes.request_key` against a linear search."""

from __future__ import annotations

import types

import testtools
from hypothesis import given, settings
from hypothesis import strategies as st

from celerystack import model
from celerystack.control import routes, view

SEGMENT = st.sampled_from(("a", "b", "ab", "a%2F", "", "é"))
PATH = st.lists(SEGMENT, max_size=5).map(lambda parts: "/" + "/".join(parts))
PREFIX = st.lists(SEGMENT.filter(bool), max_size=3).map(lambda p: "/" + "".join(f"{s}/" for s in p))
QUERY = st.sampled_from(("", "?", "?x=/a/b/", "/?y"))
HEADERS = st.lists(
    st.tuples(
        st.sampled_from((b"x-key", b"X-Key", b"x-other")), st.sampled_from((b"", b"k", b"\xe9"))
    ),
    max_size=3,
)


def new_routes(prefixes: list[str], *, key_header: str) -> tuple[routes.Routes, list]:
    """Return routes for services that own one or two of the prefixes each."""
    services = [
        model.Service(
            name=f"s{index}", prefixes=tuple(prefixes[index : index + 2]), key_header=key_header
        )
        for index in range(0, len(prefixes), 2)
    ]
    listeners: list = []
    cluster_view = types.SimpleNamespace(
        configuration=types.SimpleNamespace(services_by_name={s.name: s for s in services}),
        add_listener=listeners.append,
        evacuated_services=frozenset,
    )
    service_routes = routes.Routes(
        cluster_view, may_send=lambda _: True, is_usable=lambda _: True, on_route=lambda *_: None
    )
    for listener in listeners:
        listener(view.ViewChange(configuration=True, services=frozenset(), servers=frozenset()))
    return service_routes, services


def search_service(services: list, path: str) -> model.Service | None:
    """Return the service with the longest matching prefix by a linear search."""
    longest_length, owner = -1, None
    for service in services:
        for prefix in service.prefixes:
            if path.startswith(prefix) and len(prefix) > longest_length:
                longest_length, owner = len(prefix), service
    return owner


def search_key(service: model.Service, path: str) -> str | None:
    """Return the characters from the end of the longest prefix to the next slash or ``?``."""
    longest = ""
    for prefix in service.prefixes:
        if path.startswith(prefix) and len(prefix) > len(longest):
            longest = prefix
    if not longest:
        return None
    key = ""
    for character in path[len(longest) :]:
        if character in "/?":
            break
        key += character
    return key or None


class RoutesTest(testtools.TestCase):
    @settings(max_examples=400)
    @given(st.lists(PREFIX, unique=True, max_size=6), PATH, QUERY)
    def test_prefixes_and_path_keys(self, prefixes, path, query) -> None:
        """Guards against routing a request to a wrong service or by a wrong key."""
        service_routes, services = new_routes(prefixes, key_header="")
        target = path + query
        service = service_routes.service_for(target)
        self.assertEqual(search_service(services, target), service)
        for each in services:
            self.assertEqual(search_key(each, target), service_routes.request_key(each, target, ()))

    @settings(max_examples=200)
    @given(HEADERS)
    def test_header_keys(self, headers) -> None:
        """Guards against an empty key, and against a key from a header that is repeated."""
        service_routes, (service,) = new_routes(["/a/"], key_header="X-Key")
        values = []
        for name, value in headers:
            if name.lower() == b"x-key":
                values.append(value.decode("latin-1"))
        expected = values[0] if len(values) == 1 and values[0] else None
        self.assertEqual(expected, service_routes.request_key(service, "/a/p", tuple(headers)))
