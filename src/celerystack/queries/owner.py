"""``celerystack owner``: shows the server that owns a key."""

from __future__ import annotations

import functools

from celerystack import errors, ids
from celerystack.commands import job
from celerystack.queries import table_reads
from celerystack.state import keys, shard_map


def owner(service: str, key: str) -> job.Job:
    """Show the shard, epoch and owner of a key, as recorded in the table.

    Parameters
    ----------
    service
        Name of a declared service.
    key
        The key as in the URL path, percent-decoded.
    """
    return job.RemoteJob(run=functools.partial(_run, service=service, key=key))


async def _run(remote: job.RemoteContext, *, service: str, key: str) -> int:
    declared = table_reads.require_service(await table_reads.configuration(remote), service)
    hashed = shard_map.key_hash(key)
    base = shard_map.base_shard(hashed, declared.shards)
    row_key = keys.shard_map(declared.name, shard_map.chunk_index(base))
    (row,) = await remote.table.get([row_key])
    if row.value is None:
        raise errors.CelerystackError(
            f"service {service!r} has no shard map yet", step="owner", peer="table"
        )
    chunk = shard_map.ShardMapChunk.decode(row.value, key=row_key)
    shard = chunk.shard_for(hashed, base)
    print(f"service: {service}", file=remote.out)
    print(f"key hash: {hashed:016x}", file=remote.out)
    print(f"shard: {shard}{' (hot)' if shard != base else ''}", file=remote.out)
    print(f"epoch: {chunk.epoch(shard)}", file=remote.out)
    print(f"owner: {_owner_text(chunk, shard)}", file=remote.out)
    return job.ExitCode.OK


def _owner_text(chunk: shard_map.ShardMapChunk, shard: ids.ShardId) -> str:
    move = chunk.moves_by_shard.get(shard)
    if move is not None:
        return f"none (moving from {move.source} to {move.target})"
    return chunk.owner(shard) or "none"
