"""Quarantine: rules, merging of reports, clearing by completions, and memory bounds."""

from __future__ import annotations

import random

import hypothesis
from hypothesis import strategies

from celerystack import timing
from celerystack.peers import messages
from celerystack.requests import quarantine

BAD, OK, OTHER = (bytes([value]) * 16 for value in (1, 2, 3))


def test_alone_at_one_loss_is_quarantined():
    """Guards against a second crash by a request that was the only one on a lost server."""
    tracker = quarantine.Quarantine()
    report = tracker.record_loss("s1", "i1", [BAD], 0.0)
    assert report == messages.Suspects({BAD: 2}, "s1", "i1")
    assert tracker.is_quarantined(BAD, 1.0)
    assert not tracker.is_quarantined(BAD, timing.QUARANTINE_S)


def test_two_losses_with_others_quarantine():
    """Guards against missing a request of two lost servers, and quarantining the others."""
    tracker = quarantine.Quarantine()
    tracker.record_loss("s1", "i1", [BAD, OK], 0.0)
    assert not tracker.is_quarantined(BAD, 0.0)
    tracker.record_loss("s2", "i2", [BAD, OTHER], 1.0)
    assert tracker.is_quarantined(BAD, 1.0)
    assert not tracker.is_quarantined(OK, 1.0)
    assert not tracker.is_quarantined(OTHER, 1.0)


def test_the_same_loss_counts_once():
    """Guards against counting one loss twice when several entry VMs report it."""
    tracker = quarantine.Quarantine()
    tracker.record_loss("s1", "i1", [BAD, OK], 0.0)
    tracker.merge(messages.Suspects({BAD: 1, OK: 1}, "s1", "i1"), 0.1)
    tracker.merge(messages.Suspects({BAD: 1, OTHER: 1}, "s1", "i1"), 0.2)
    assert tracker.quarantined_count(0.3) == 0


def test_a_restarted_server_counts_as_another_loss():
    """Guards against counting losses of two processes of one server as a single loss."""
    tracker = quarantine.Quarantine()
    tracker.record_loss("s1", "i1", [BAD, OK], 0.0)
    tracker.record_loss("s1", "i2", [BAD, OTHER], 5.0)
    assert tracker.is_quarantined(BAD, 5.0)


def test_alone_only_in_the_view_of_one_entry_vm():
    """Guards against quarantining a request whose server also ran requests of other entry VMs."""
    tracker = quarantine.Quarantine()
    tracker.record_loss("s1", "i1", [OK], 0.0)
    assert tracker.is_quarantined(OK, 0.0)
    tracker.merge(messages.Suspects({BAD: 2}, "s1", "i1"), 0.01)
    assert not tracker.is_quarantined(OK, 0.01)
    assert not tracker.is_quarantined(BAD, 0.01)


def test_two_copies_of_one_request_count_as_alone():
    """Guards against a crashing request that escapes quarantine by being sent twice."""
    tracker = quarantine.Quarantine()
    tracker.record_loss("s1", "i1", [BAD, BAD], 0.0)
    assert tracker.is_quarantined(BAD, 0.0)


def test_completion_clears_at_all_entry_vms():
    """Guards against entry VMs that still reject a request which completed on another one."""
    first, second = quarantine.Quarantine(), quarantine.Quarantine()
    report = first.record_loss("s1", "i1", [OK, BAD], 0.0)
    second.merge(report, 0.0)
    second.merge(second.record_loss("s2", "i2", [OK, BAD], 1.0), 1.0)
    assert second.is_quarantined(OK, 1.0)
    for cleared in second.record_completion(OK, 2.0):
        first.merge(cleared, 2.0)
    assert not second.is_quarantined(OK, 2.0)
    assert second.is_quarantined(BAD, 2.0)
    first.record_loss("s3", "i3", [OK, OTHER], 3.0)
    assert not first.is_quarantined(OK, 3.0)


def test_a_late_report_does_not_undo_the_clearing():
    """Guards against a delayed report that quarantines a request again for the same loss."""
    tracker = quarantine.Quarantine()
    report = tracker.record_loss("s1", "i1", [OK], 0.0)
    tracker.record_completion(OK, 1.0)
    tracker.merge(report, 1.1)
    assert not tracker.is_quarantined(OK, 1.1)


def test_a_request_that_completed_lately_is_not_quarantined_for_one_loss():
    """Guards against rejecting a frequent request because it was alone at an unrelated loss."""
    tracker = quarantine.Quarantine()
    tracker.record_completion(OK, 0.0)
    report = tracker.record_loss("s1", "i1", [OK], 1.0)
    assert report.weights_by_fingerprint == {OK: 1}
    assert not tracker.is_quarantined(OK, 1.0)
    tracker.record_loss("s2", "i2", [OK], 2.0)
    assert tracker.is_quarantined(OK, 2.0)


def test_a_completion_at_another_entry_vm_counts_too():
    """Guards against quarantining a frequent request that completed only on other entry VMs."""
    first, second = quarantine.Quarantine(), quarantine.Quarantine()
    second.record_completion(OK, 0.0)
    report = first.record_loss("s1", "i1", [OK], 1.0)
    answer = second.merge(report, 1.0)
    assert not second.is_quarantined(OK, 1.0)
    assert first.is_quarantined(OK, 1.0)
    assert first.merge(answer, 1.0) is None
    assert not first.is_quarantined(OK, 1.0)


def test_completions_are_bounded():
    """Guards against unbounded memory for completions, and against dropping the latest ones."""
    tracker = quarantine.Quarantine()
    for value in range(2 * quarantine.COMPLETED_MAX):
        tracker.record_completion(value.to_bytes(16, "big"), 0.0)
    assert len(tracker._completed) + len(tracker._completed_previously) <= quarantine.COMPLETED_MAX
    last = (2 * quarantine.COMPLETED_MAX - 1).to_bytes(16, "big")
    tracker.record_loss("s1", "i1", [last], 0.0)
    assert not tracker.is_quarantined(last, 0.0)


def test_completion_of_an_unknown_request_reports_nothing():
    """Guards against a report to the peers for every completed request."""
    assert quarantine.Quarantine().record_completion(OK, 0.0) == []


def test_one_more_loss_after_the_quarantine_is_enough():
    """Guards against a request that crashes two servers after each quarantine."""
    tracker = quarantine.Quarantine()
    tracker.record_loss("s1", "i1", [BAD], 0.0)
    tracker.record_loss("s2", "i2", [BAD, OK], 61.0)
    assert tracker.is_quarantined(BAD, 61.0)
    assert not tracker.is_quarantined(OK, 61.0)


def test_old_losses_are_forgotten():
    """Guards against quarantine because of two losses that are far apart."""
    tracker = quarantine.Quarantine()
    tracker.record_loss("s1", "i1", [BAD, OK], 0.0)
    tracker.record_loss("s2", "i2", [BAD, OK], quarantine.LOSS_RETENTION_S)
    assert tracker.quarantined_count(quarantine.LOSS_RETENTION_S) == 0


def test_loss_without_requests_reports_nothing():
    """Guards against empty reports when an idle server is lost."""
    assert quarantine.Quarantine().record_loss("s1", "i1", [], 0.0) is None


def test_memory_is_bounded():
    """Guards against unbounded memory when many losses or suspects are reported."""
    tracker = quarantine.Quarantine()
    rng = random.Random(3)
    for index in range(3 * quarantine.LOSSES_MAX):
        suspects = {rng.randbytes(16): 1 for _ in range(3)}
        tracker.merge(messages.Suspects(suspects, "s", f"i{index}"), index / 100)
    assert len(tracker._losses) <= quarantine.LOSSES_MAX
    assert len(tracker._losses_by_fingerprint) <= 3 * quarantine.LOSSES_MAX
    big = {rng.randbytes(16): 1 for _ in range(10_000)}
    tracker.merge(messages.Suspects(big, "s", "big"), 31.0)
    assert len(tracker._losses["s", "big"].weight_by_fingerprint) == 256
    assert len(tracker._quarantined_until_by_fingerprint) <= len(tracker._losses_by_fingerprint)


reports = strategies.builds(
    messages.Suspects,
    strategies.dictionaries(
        strategies.sampled_from([BAD, OK, OTHER]), strategies.integers(0, 2), min_size=1
    ),
    strategies.sampled_from(["s1", "s2"]),
    strategies.sampled_from(["i1", "i2"]),
)


@hypothesis.given(
    received=strategies.lists(reports, max_size=8), rng=strategies.randoms(use_true_random=False)
)
@hypothesis.settings(max_examples=300, deadline=None)
def test_order_and_repetition_of_reports_do_not_matter(received: list, rng: random.Random):
    """Guards against entry VMs that disagree because reports arrive repeatedly or reordered."""
    first, second = quarantine.Quarantine(), quarantine.Quarantine()
    for report in received:
        first.merge(report, 0.0)
    again = [*received, *received[:3]]
    rng.shuffle(again)
    for report in again:
        second.merge(report, 0.0)
    for suspect in (BAD, OK, OTHER):
        assert first.is_quarantined(suspect, 0.0) == second.is_quarantined(suspect, 0.0)


def test_fingerprint_separates_its_parts():
    """Guards against equal fingerprints of requests whose concatenated parts are equal."""
    base = quarantine.fingerprint("a", "POST", "/x", b"y")
    assert len(base) == 16
    assert base == quarantine.fingerprint("a", "POST", "/x", b"y")
    others = [
        quarantine.fingerprint("b", "POST", "/x", b"y"),
        quarantine.fingerprint("a", "PUT", "/x", b"y"),
        quarantine.fingerprint("a", "POST", "/xy", b""),
        quarantine.fingerprint("a", "POST", "/x", b"z"),
        quarantine.fingerprint("aP", "OST", "/x", b"y"),
    ]
    assert len({base, *others}) == 6
