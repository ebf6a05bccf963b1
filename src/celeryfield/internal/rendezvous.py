"""Rendezvous order: nodes that know the same ids choose the same ones."""

import heapq
from collections.abc import Iterable

import xxhash

# Ids come from records of other writers and may hold lone surrogates.
_ODD_TEXT = "surrogatepass"


def score(key: str, node_id: str) -> tuple[int, str]:
    """Returns the rank of a node for a key; the highest one comes first.

    Args:
        key: What a node is chosen for.
        node_id: Id of the node; decides between equal hashes.
    """
    seed = xxhash.xxh3_64_intdigest(key.encode(errors=_ODD_TEXT))
    return xxhash.xxh3_64_intdigest(
        node_id.encode(errors=_ODD_TEXT), seed
    ), node_id


def first_nodes(key: str, node_ids: Iterable[str], count: int) -> list[str]:
    """Returns the first nodes in the rendezvous order for a key.

    A node that joins or leaves changes only the choices that it takes part in.

    Args:
        key: What nodes are chosen for.
        node_ids: Ids of all nodes.
        count: Largest number of nodes to return.
    """
    scores = (score(key, node_id) for node_id in node_ids)
    return [node_id for _hash, node_id in heapq.nlargest(count, scores)]
