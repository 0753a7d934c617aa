"""Memory, message size and CPU time per unit of state, for docs/CAPACITY.md.

Everything runs in this process; no message is sent.
"""

from __future__ import annotations

import random
import time
import tracemalloc
from collections.abc import Callable

from celerystack import ids, model
from celerystack.backend import messages as orders
from celerystack.lease import lessor as lessors
from celerystack.peers import codec as peer_codec
from celerystack.peers import messages
from celerystack.requests import claims
from celerystack.state import cache, codec, keys, shard_map, shards_digest
from celerystack.store import ports
from measurements import figures

SHARDS = 1 << 20
SERVERS = 1000
ROUNDS = 20_000
OWN_LESSOR = model.LessorRef(ids.EntryVmId("entry-vm-1"), ids.Incarnation("0" * 32))


def _bytes_used(build: Callable[[], object]) -> tuple[object, int]:
    tracemalloc.start()
    built = build()
    used, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return built, used


def _microseconds(run: Callable[[], object], rounds: int) -> float:
    started = time.process_time()
    for _ in range(rounds):
        run()
    return (time.process_time() - started) / rounds * 1e6


def _chunks() -> list[shard_map.ShardMapChunk]:
    chunks = shard_map.new_chunks(SHARDS)
    for chunk in chunks:
        for shard in chunk.shards():
            chunk.assign(shard, ids.ServerId(f"server-{shard % SERVERS:04d}"))
    return chunks


def _map_figures() -> list[figures.Figure]:
    chunks, used = _bytes_used(_chunks)
    encoded = [chunk.encode() for chunk in chunks]
    key = keys.shard_map(ids.ServiceName("service"), 0)
    server = ids.ServerId("server-0007")
    copy_us = _microseconds(lambda: shard_map.ShardMapChunk.decode(encoded[0], key=key), 50)
    scan_us = _microseconds(lambda: shard_map.owned_shard_grants(key, chunks[0], server), 200)
    hashed = [ids.KeyHash(random.Random(1).getrandbits(64)) for _ in range(64)]

    def route() -> None:
        base = shard_map.base_shard(hashed[0], SHARDS)
        chunk = chunks[shard_map.chunk_index(base)]
        shard = chunk.shard_for(hashed[0], base)
        chunk.owner(shard)
        chunk.epoch(shard)

    return [
        figures.Figure("map_memory_per_shard", used / SHARDS, "B"),
        figures.Figure("map_row_per_shard", sum(map(len, encoded)) / SHARDS, "B"),
        figures.Figure("map_chunk_decode", copy_us, "us"),
        figures.Figure("map_chunk_scan", scan_us, "us"),
        figures.Figure("route_lookup", _microseconds(route, ROUNDS), "us"),
    ]


def _server_row(number: int) -> model.ServerRow:
    lessor = model.LessorRef(ids.EntryVmId(f"entry-vm-{number % 100}"), ids.Incarnation("0" * 32))
    return model.ServerRow(
        server=ids.ServerId(f"server-{number:05d}"),
        state=model.ServerState.ACTIVE,
        token=ids.Token(5),
        incarnation=ids.Incarnation("1" * 32),
        lessors=(OWN_LESSOR, lessor, lessor),
        shards_digest=1 << 60,
    )


def _row_figures() -> list[figures.Figure]:
    def build() -> cache.RowCache:
        rows = cache.RowCache()
        for number in range(SERVERS):
            row = _server_row(number)
            value = codec.encode_server(row)
            rows.merge([ports.Row(keys.server(row.server), ids.RowVersion(3), value)])
        return rows

    _, used = _bytes_used(build)
    value = codec.encode_server(_server_row(1))
    rows = messages.Rows(((keys.server(ids.ServerId("server-00001")), ids.RowVersion(3), value),))
    return [
        figures.Figure("server_row_memory", used / SERVERS, "B"),
        figures.Figure("server_row_message", len(peer_codec.encode(rows)), "B"),
        figures.Figure(
            "server_row_decode",
            _microseconds(lambda: codec.decode_server(value, key="k"), 2000),
            "us",
        ),
    ]


def _lease_figures() -> list[figures.Figure]:
    shards = tuple(
        model.ShardGrant(ids.ServiceName("service"), ids.ShardId(n), ids.Epoch(1))
        for n in range(SHARDS // 17_000)
    )

    def build() -> lessors.Lessor:
        lessor = lessors.Lessor(self_ref=OWN_LESSOR)
        for number in range(SERVERS):
            lessor.update(_server_row(number), shards, 0.0)
        return lessor

    lessor, used = _bytes_used(build)
    clock = [0.0]

    def renew_all() -> None:
        clock[0] += 0.2
        for order in lessor.tick(clock[0]):
            reply = orders.OrderReply(
                server=order.server,
                result=orders.OrderResult.OK,
                incarnation=ids.Incarnation("1" * 32),
                token=ids.Token(5),
                stamp=clock[0],
            )
            lessor.on_reply(reply, clock[0])

    renew_all()
    per_renewal = _microseconds(renew_all, 20) / SERVERS
    return [
        figures.Figure("lessor_memory_per_server", used / SERVERS, "B"),
        figures.Figure("lessor_decision_per_renewal", per_renewal, "us"),
        figures.Figure(
            "grant_digest_per_shard",
            _microseconds(lambda: shards_digest.compute(shards), 200) / len(shards),
            "us",
        ),
    ]


def _peer_figures() -> list[figures.Figure]:
    heartbeat = messages.Heartbeat(
        digest=1 << 63,
        config_version=ids.ConfigVersion(1000),
        stamp=1e6,
        echo_stamp=1e6,
        uptime_s=1e5,
    )
    traffic = messages.Traffic(
        service=ids.ServiceName("service"),
        rate_by_shard={ids.ShardId(n): 10.5 for n in range(512)},
        rates_by_key={ids.KeyHash((1 << 63) + n): (100.5, 1.5) for n in range(32)},
        unlisted_rate_max=1.0,
    )
    encoded = peer_codec.encode(heartbeat)
    frame = len(encoded) + 20
    cost = _microseconds(
        lambda: peer_codec.decode(peer_codec.encode(heartbeat), peer="p"), ROUNDS // 4
    )
    return [
        figures.Figure("heartbeat_frame", frame, "B"),
        figures.Figure("heartbeat_codec", cost, "us"),
        figures.Figure("traffic_report", len(peer_codec.encode(traffic)), "B"),
    ]


def _claim_figures() -> list[figures.Figure]:
    def build() -> claims.ClaimTable:
        table = claims.ClaimTable()
        for number in range(20_000):
            table.claim(ids.RequestId(f"{number:032d}"), OWN_LESSOR.vm, 1.0, 0.0)
        return table

    table, used = _bytes_used(build)
    number = [10_000_000]

    def claim() -> None:
        number[0] += 1
        table.claim(ids.RequestId(str(number[0])), OWN_LESSOR.vm, 1.0, 0.0)

    return [
        figures.Figure("claim_memory", used / 20_000, "B"),
        figures.Figure("claim_decision", _microseconds(claim, ROUNDS), "us"),
    ]


def run() -> list[figures.Figure]:
    """Return all costs per unit."""
    return [
        *_map_figures(),
        *_row_figures(),
        *_lease_figures(),
        *_peer_figures(),
        *_claim_figures(),
    ]
