"""Joins the ranges of a map that has many, so that it stays small."""

from __future__ import annotations

import dataclasses

from celerystack.ranges import map_draft, model

JOIN_ABOVE_SEGMENTS = 2
"""Adjacent segments of a server that has more than this many are joined under a new token."""
JOINING_MOVES_PER_PLAN = 8
"""Largest number of idle ranges of a fragmented map that one plan moves to join them with others.

It is small because callers wait during a move; half as many ranges as there are servers move if the
map is full."""
JOINING_MOVE_RATE_MAX = 0.5
"""Rate in requests/s up to which a range counts as idle; busier ones move to be joined only if the
map is full."""


def move_fragments(draft: map_draft.MapDraft) -> None:
    """Move the least loaded ranges to owners of neighbouring ranges, so that they can be joined."""
    candidates = draft.service_state.candidates_by_incarnation
    settled = [
        segment_index
        for segment_index in range(1, len(draft.segments) - 1)
        if draft.segments[segment_index].is_settled
        and draft.segments[segment_index].owner in candidates
    ]
    settled.sort(key=lambda segment_index: draft.rate(draft.segments[segment_index]))
    is_full = draft.is_full()
    moves = len(candidates) // 2 if is_full else JOINING_MOVES_PER_PLAN
    moved: set[int] = set()
    for segment_index in settled:
        is_idle = draft.rate(draft.segments[segment_index]) <= JOINING_MOVE_RATE_MAX
        if len(moved) >= moves or not (is_idle or is_full):
            return
        if moved & {segment_index - 1, segment_index + 1}:
            continue
        segment = draft.segments[segment_index]
        neighbour_owners = {
            draft.segments[segment_index - 1].owner,
            draft.segments[segment_index + 1].owner,
        }
        target = draft.choose_owner(segment, neighbour_owners)
        if target in neighbour_owners and target != segment.owner:
            draft.rate_by_incarnation[segment.owner] -= draft.rate(segment)
            draft.segments[segment_index] = draft.reassign(segment, target)
            moved.add(segment_index)


def join_fragments(draft: map_draft.MapDraft) -> None:
    """Join adjacent settled segments of a server that has many, under a new token."""
    count_by_incarnation: dict[model.ServerIncarnation | None, int] = {}
    for segment in draft.segments:
        count_by_incarnation[segment.owner] = count_by_incarnation.get(segment.owner, 0) + 1
    is_fragmented = draft.is_fragmented()
    joined: list[model.Segment] = []
    for segment in draft.segments:
        last = joined[-1] if joined else None
        if (
            last is not None
            and last.owner == segment.owner
            and last.is_settled
            and segment.is_settled
            and last.token != segment.token
            and (is_fragmented or count_by_incarnation[segment.owner] > JOIN_ABOVE_SEGMENTS)
        ):
            joined[-1] = dataclasses.replace(
                last, end=segment.end, token=draft.take_token(), handover=""
            )
        else:
            joined.append(segment)
    draft.segments = joined
