"""Versions that name the era of the platform's store as well as its counter."""

__all__ = ["MAX_ERA", "MAX_NUMBER", "era_of", "number_of", "version_of"]

# A version fits into the signed 64 bits of the messages between VMs.
_NUMBER_BITS = 43
_ERA_BITS = 20

MAX_NUMBER = 2**_NUMBER_BITS - 1
MAX_ERA = 2**_ERA_BITS - 1


def version_of(era: int, number: int) -> int:
    """Return the version with which the store's counter had a number in an era.

    Explanation
    ===========

    A store that is restored from a copy gives out its numbers again, for other content, and raises
    its era. A number alone is therefore no proof of order. The versions that this function returns
    are ordered by era and number, and are equal only if both are.

    :raises ValueError: when the era or the number is out of range.

    Examples
    ========

    >>> version_of(2, 1000) > version_of(1, 5000)
    True
    >>> era_of(version_of(2, 1000)), number_of(version_of(2, 1000))
    (2, 1000)

    """
    if not 0 <= era <= MAX_ERA:
        raise ValueError(f"era {era} is not from 0 to {MAX_ERA}")
    if not 0 <= number <= MAX_NUMBER:
        raise ValueError(f"number {number} is not from 0 to {MAX_NUMBER}")
    return era << _NUMBER_BITS | number


def era_of(version: int) -> int:
    """Return the era of a version."""
    return version >> _NUMBER_BITS


def number_of(version: int) -> int:
    """Return what the store's counter was at a version."""
    return version & MAX_NUMBER
