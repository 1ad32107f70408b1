"""Rendezvous hashing with xxhash."""

from collections.abc import Iterable

import xxhash

__all__ = ["rank", "score"]


def score(*parts: str) -> int:
    """Return a 64-bit score of the parts, the same on every instance.

    >>> score("a", "b") == score("a", "b")
    True
    >>> score("ab", "c") == score("a", "bc")
    False
    """
    return xxhash.xxh3_64_intdigest("\x00".join(parts).encode())


def rank(key: str, candidates: Iterable[str]) -> list[str]:
    """Return the candidates by rendezvous score for `key`, highest first.

    >>> rank("key", ["x", "y", "z"]) == rank("key", ["z", "y", "x"])
    True
    """
    return sorted(candidates, key=lambda name: (score(key, name), name), reverse=True)
