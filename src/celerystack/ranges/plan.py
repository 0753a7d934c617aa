"""Decides which server owns which keys.

The functions have no side effects; they compute a new map from a map and the state of a service.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Mapping

from celerystack.ranges import balancing, fragments, map_draft, model

EVACUATION_PARTS = 4
"""Parts into which a segment of a draining or lost server is cut, to spread it over servers."""


def plan(ranges: model.RangeMap, service_state: map_draft.ServiceState) -> model.RangeMap:
    """Return the map that should replace ``ranges``; equal to it if nothing has to change."""
    if not service_state.candidates_by_incarnation:
        return ranges
    draft = map_draft.MapDraft(ranges, service_state)
    _drop_ended_holders(draft)
    _reassign_unusable(draft)
    balancing.balance(draft)
    if draft.is_fragmented():
        fragments.move_fragments(draft)
    fragments.join_fragments(draft)
    return draft.finish()


def settle(
    ranges: model.RangeMap, handover_by_segment: Mapping[model.Segment, str]
) -> model.RangeMap:
    """Return the map with the possible holders of the given segments removed.

    Parameters
    ----------
    handover_by_segment : mapping of Segment to str
        The segments that no other incarnation can hold any more, with the handover that the last
        holder returned; empty if there is none.
    """
    segments = tuple(
        dataclasses.replace(
            segment, pending=(), handover=handover_by_segment[segment], phase=model.Phase.OWNED
        )
        if segment in handover_by_segment
        else segment
        for segment in ranges.segments
    )
    return dataclasses.replace(ranges, segments=segments)


def utilizations(
    ranges: model.RangeMap, service_state: map_draft.ServiceState
) -> dict[model.ServerIncarnation, float]:
    """Return lower confidence bounds of the utilizations of the candidates.

    They are below the measured utilizations, as a difference of few requests may be random.
    """
    draft = map_draft.MapDraft(ranges, service_state)
    return {
        incarnation: draft.utilization_lower_bound(incarnation)
        for incarnation in draft.rate_by_incarnation
    }


def _drop_ended_holders(draft: map_draft.MapDraft) -> None:
    for segment_index, segment in enumerate(draft.segments):
        pending = draft.possible_holders(segment.pending, segment.owner)
        if pending != segment.pending:
            phase = segment.phase if pending else model.Phase.OWNED
            draft.segments[segment_index] = dataclasses.replace(
                segment, pending=pending, phase=phase
            )


def _reassign_unusable(draft: map_draft.MapDraft) -> None:
    """Assign the keys without a usable owner to the candidates."""
    candidates = draft.service_state.candidates_by_incarnation
    move_whole = draft.is_fragmented()
    result: list[model.Segment] = []
    for segment_index, segment in enumerate(draft.segments):
        if segment.owner in candidates or draft.keeps_keys(segment):
            result.append(segment)
            continue
        if move_whole:
            neighbour_owners = {
                neighbour.owner
                for neighbour in (
                    *result[-1:],
                    *draft.segments[segment_index + 1 : segment_index + 2],
                )
            }
            result.append(draft.reassign(segment, draft.choose_owner(segment, neighbour_owners)))
            continue
        parts = len(candidates) if segment.owner is None else EVACUATION_PARTS
        cuts = draft.service_state.load.split(
            segment.start, segment.end, min(parts, len(candidates), segment.width)
        )
        for start, end in cuts:
            part = dataclasses.replace(segment, start=start, end=end)
            result.append(draft.reassign(part, draft.least_utilized(draft.rate(part))))
    draft.segments = result
