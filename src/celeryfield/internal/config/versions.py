"""Versions of file sets, which keep their order when the store is restored.

A restored store gives revisions out again, so revisions alone do not order the
sets of two generations. A version is one integer that orders sets by the
generation in which they were written and then by their revision.
"""

# Versions up to generation 8,191 are exact in JSON readers that use doubles.
# 500 writes per second use up the revisions in 69 years.
REVISION_BITS = 40
MAX_VERSION = 2**64 - 1


def make_version(generation: int, revision: int) -> int:
    """Returns the version of a set in the store.

    Generations count from 1. In the first one, and for sets of earlier builds,
    which record none, the version is the revision: nodes of earlier builds
    compare revisions.

    Args:
        generation: Generation in which the set was written; 0 if unknown.
        revision: Revision that the store assigned to the write.
    """
    return (max(generation - 1, 0) << REVISION_BITS) + revision
