"""Choice of server: slots, zones, and slow, recovering or failing servers."""

from __future__ import annotations

import collections

import hypothesis
import pytest
from hypothesis import strategies

from celerystack import model
from celerystack.requests import server_choice
from measurements import choice as comparison

SERVICE = model.Service(name="s", prefixes=("/",), divided=False, slots=2)
ANSWERED, UNKNOWN = model.Outcome.ANSWERED, model.Outcome.UNKNOWN


def servers_in(*zones: str) -> list[model.BackendServer]:
    return [
        model.BackendServer(server=f"b{index}", service="s", zone=zone, address="")
        for index, zone in enumerate(zones)
    ]


def chooser_in(zone: str) -> server_choice.ServerChooser:
    return server_choice.ServerChooser(zone=zone, seed=1)


def record_answers(
    chooser: server_choice.ServerChooser,
    server: str,
    latency_s: float,
    now: float,
    outcome=ANSWERED,
):
    for _ in range(30):
        chooser.started(server, now)
        chooser.finished(server, latency_s, outcome, now)


def test_requests_are_spread_evenly_at_first():
    """Guards against preferring one of several servers without history."""
    servers = servers_in("z", "z", "z")
    chooser = chooser_in("z")
    counts = collections.Counter()
    for _ in range(6):
        chosen = chooser.choose(SERVICE, servers, 0.0)
        chooser.started(chosen.server, 0.0)
        counts[chosen.server] += 1
    assert set(counts.values()) == {2}


def test_no_server_when_all_slots_are_used():
    """Guards against more requests of one entry VM on a server than it has slots."""
    servers = servers_in("z", "z")
    chooser = chooser_in("z")
    for _ in range(4):
        chooser.started(chooser.choose(SERVICE, servers, 0.0).server, 0.0)
    assert chooser.choose(SERVICE, servers, 0.0) is None
    chooser.finished("b1", 0.01, ANSWERED, 0.0)
    assert chooser.choose(SERVICE, servers, 0.0).server == "b1"


def test_no_server_without_candidates():
    """Guards against an error when every server is draining or lost."""
    assert chooser_in("z").choose(SERVICE, [], 0.0) is None


def test_own_zone_is_preferred_until_it_is_loaded():
    """Guards against needless traffic between zones, and against overloading the own zone."""
    servers = servers_in("far", "near", "far")
    chooser = chooser_in("near")
    assert chooser.choose(SERVICE, servers, 0.0).server == "b1"
    chooser.started("b1", 0.0)
    assert chooser.choose(SERVICE, servers, 0.0).server != "b1"


def test_slow_server_is_avoided_and_tried_again_later():
    """Guards against permanently avoiding a server that was slow once."""
    servers = servers_in("z", "z", "z")
    chooser = chooser_in("z")
    record_answers(chooser, "b0", 0.2, 0.0)
    record_answers(chooser, "b1", 0.02, 0.0)
    record_answers(chooser, "b2", 0.02, 0.0)
    assert {chooser.choose(SERVICE, servers, 0.1).server for _ in range(20)} <= {"b1", "b2"}
    late = 0.1 + 10 * server_choice.LATENCY_DECAY_S
    chooser.started("b1", late)
    chooser.started("b2", late)
    assert chooser.choose(SERVICE, servers, late).server == "b0"


def test_fast_failures_do_not_attract_requests():
    """Guards against preferring a server whose latency is low because it fails at once."""
    servers = servers_in("z", "z", "z")
    chooser = chooser_in("z")
    record_answers(chooser, "b1", 0.02, 0.0)
    record_answers(chooser, "b2", 0.02, 0.0)
    record_answers(chooser, "b0", 0.001, 0.0, UNKNOWN)
    assert {chooser.choose(SERVICE, servers, 0.1).server for _ in range(20)} <= {"b1", "b2"}


def test_request_waits_for_a_fast_server_only_if_the_queue_is_known_to_be_short():
    """Guards against waiting for a fast server longer than a slow free one would take."""
    servers = servers_in("z", "z")
    chooser = chooser_in("z")
    record_answers(chooser, "b0", 0.2, 0.0)
    record_answers(chooser, "b1", 0.02, 0.0)
    chooser.started("b1", 0.0)
    chooser.started("b1", 0.0)
    assert chooser.choose(SERVICE, servers, 0.0, waiting=0) is None
    assert chooser.choose(SERVICE, servers, 0.0, waiting=100).server == "b0"
    assert chooser.choose(SERVICE, servers, 0.0).server == "b0"


def test_heavier_server_gets_more_requests():
    """Guards against ignoring the declared weight of a server."""
    light, heavy = servers_in("z", "z")
    heavy = model.BackendServer(server="b1", service="s", zone="z", address="", weight=3.0)
    chooser = chooser_in("z")
    chosen = [chooser.choose(SERVICE, [light, heavy], 0.0).server for _ in range(5)]
    assert chosen == ["b1"] * 5


def test_forgotten_server_starts_without_history():
    """Guards against a restarted server being avoided for the latency of its former process."""
    servers = servers_in("z", "z")
    chooser = chooser_in("z")
    record_answers(chooser, "b0", 0.2, 0.0)
    record_answers(chooser, "b1", 0.02, 0.0)
    chooser.forget("b0")
    chooser.started("b1", 0.0)
    assert chooser.choose(SERVICE, servers, 0.0).server == "b0"


@hypothesis.given(
    steps=strategies.lists(
        strategies.tuples(strategies.integers(0, 2), strategies.floats(0.0, 5.0)), max_size=60
    )
)
@hypothesis.settings(max_examples=100, deadline=None)
def test_own_requests_never_exceed_the_slots(steps: list):
    """Guards against exceeding a server's slots after any order of starts and ends."""
    servers = servers_in("a", "b", "a")
    chooser = chooser_in("a")
    running: list[str] = []
    now = 0.0
    for kind, value in steps:
        now += value
        if kind == 0 and running:
            chooser.finished(running.pop(0), value, ANSWERED if value < 4.0 else UNKNOWN, now)
            continue
        chosen = chooser.choose(SERVICE, servers, now)
        if chosen is None:
            assert len(running) == 6
            continue
        chooser.started(chosen.server, now)
        running.append(chosen.server)
        assert running.count(chosen.server) <= SERVICE.slots


@pytest.mark.parametrize("name", ["slow_server", "half_slow", "nine_routers_half_slow"])
def test_no_worse_than_least_outstanding(name: str):
    """Guards against a higher p99 latency than that of choosing the fewest outstanding."""
    scenario = comparison.SCENARIOS[name]
    shipped = comparison.simulate("shipped", scenario, seed=8)
    least = comparison.simulate("least_outstanding", scenario, seed=8)
    assert shipped.p99_ms() <= least.p99_ms()


def test_equal_servers_are_not_made_worse():
    """Guards against a score that reacts to noise and raises the p99 latency of equal servers."""
    scenario = comparison.SCENARIOS["all_equal"]
    shipped = comparison.simulate("shipped", scenario, seed=8)
    robin = comparison.simulate("round_robin", scenario, seed=8)
    assert shipped.p99_ms() <= 1.1 * robin.p99_ms()


def test_queue_of_a_fast_server_is_joined_rather_than_a_slow_free_slot():
    """Guards against using a slow server only because it has a free slot."""
    servers = servers_in("z", "z")
    chooser = chooser_in("z")
    record_answers(chooser, "b0", 0.2, 0.0)
    record_answers(chooser, "b1", 0.02, 0.0)
    chosen = []
    for _ in range(10):
        server = chooser.choose_for_queue(servers, 0.0).server
        chooser.started(server, 0.0)
        chosen.append(server)
    assert chosen[:5] == ["b1"] * 5
    assert "b0" in chosen


def test_queues_of_equal_servers_grow_evenly():
    """Guards against all waiting requests joining the queue of one server."""
    servers = servers_in("z", "z", "z")
    chooser = chooser_in("z")
    counts = collections.Counter()
    for _ in range(30):
        server = chooser.choose_for_queue(servers, 0.0).server
        chooser.started(server, 0.0)
        counts[server] += 1
    assert set(counts.values()) == {10}
    assert chooser.choose_for_queue([], 0.0) is None


def test_failures_of_all_servers_leave_a_choice():
    """Guards against latency averages that grow without bound while every server sheds.

    The scores became NaN, no server had the lowest one, and requests ended as internal errors.
    """
    servers = servers_in("z", "z")
    chooser = chooser_in("z")
    for round_number in range(2000):
        for server in servers:
            chooser.started(server.server, round_number)
            chooser.finished(server.server, 0.01, UNKNOWN, round_number)
            assert chooser.choose_for_queue(servers, round_number) in servers
