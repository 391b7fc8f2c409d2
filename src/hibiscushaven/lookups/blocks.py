"""Client address blocks and the region and failure domain of each."""

from array import array
from bisect import bisect_right
from collections.abc import Iterable
from dataclasses import dataclass
from socket import AF_INET, AF_INET6, inet_pton

__all__ = ["BlockError", "BlockRow", "BlockTable", "Site", "load_blocks"]

_NOWHERE = 0xFFFF

# Bits of an address that index the coarse table: cells of a /16 in IPv4 and a /32 in IPv6.
_COARSE_BITS = {4: 16, 6: 32}

# IPv6 addresses are kept by their first 64 bits; the rest is within one network.
_KEY_BITS = {4: 32, 6: 64}

_V4_MAPPED = bytes(10) + b"\xff\xff"


class BlockError(Exception):
    """A block that cannot be loaded."""


@dataclass(frozen=True, slots=True)
class Site:
    """Where callers of a block are; the failure domain is empty if only the region is known."""

    region: str
    failure_domain: str = ""


@dataclass(frozen=True, slots=True)
class BlockRow:
    """A block of client addresses, such as ``198.51.100.0/24``, and its site."""

    network: str
    region: str
    failure_domain: str


def _parse_address(text: str) -> tuple[int, int]:
    """Return the IP version and the key; ``inet_pton`` is much faster than ``ipaddress``.

    :raises ValueError: when the text is no IP address.
    """
    try:
        if ":" not in text:
            return 4, int.from_bytes(inet_pton(AF_INET, text), "big")
        data = inet_pton(AF_INET6, text)
    except OSError as error:
        raise ValueError(f"{text!r} is no IP address") from error
    if data.startswith(_V4_MAPPED):
        return 4, int.from_bytes(data[12:], "big")
    return 6, int.from_bytes(data[:8], "big")


def _parse_network(text: str) -> tuple[int, int, int]:
    """Return the IP version and the first and last key of a block."""
    address, _, length = text.partition("/")
    try:
        version, first = _parse_address(address)
        bits = int(length) if length.isascii() and length.isdigit() else -1
    except ValueError as error:
        raise BlockError(f"block {text!r}: {error}") from error
    if not 0 <= bits <= _KEY_BITS[version]:
        raise BlockError(f"block {text!r}: expected a length up to /{_KEY_BITS[version]}")
    size = 1 << (_KEY_BITS[version] - bits)
    if first % size:
        raise BlockError(f"block {text!r}: has bits set beyond /{bits}")
    return version, first, first + size - 1


class _Ranges:
    """Sorted, disjoint ranges of keys: where each begins, and the site from there on."""

    __slots__ = ("_sites", "_starts")

    def __init__(self, typecode: str) -> None:
        self._starts = array(typecode)
        self._sites = array("H")

    @property
    def bytes(self) -> int:
        return sum(item.itemsize * len(item) for item in (self._starts, self._sites))

    def append(self, start: int, site: int) -> None:
        """Let a site begin at a key that is not below the last one's."""
        if self._starts and self._starts[-1] == start:
            self._sites[-1] = site
            if len(self._sites) > 1 and self._sites[-2] == site:
                self._starts.pop()
                self._sites.pop()
            return
        self._starts.append(start)
        self._sites.append(site)

    def find(self, key: int) -> int:
        index = bisect_right(self._starts, key) - 1
        return self._sites[index] if index >= 0 else _NOWHERE


class _Coarse:
    """The region with most addresses in each cell, from a running count of one cell."""

    __slots__ = ("_cell", "_counts", "ranges")

    def __init__(self) -> None:
        self.ranges = _Ranges("Q")
        self._cell = -1
        self._counts: dict[int, int] = {}

    def add(self, first: int, last: int, shift: int, site: int) -> None:
        """Count the keys of a block that is not before the last one."""
        low, high = first >> shift, last >> shift
        if high > low:
            # A block larger than a cell covers whole cells, as its length is a power of two.
            self._begin(-1)
            self.ranges.append(low, site)
            self.ranges.append(high + 1, _NOWHERE)
            return
        self._begin(low)
        self._counts[site] = self._counts.get(site, 0) + last - first + 1

    def finish(self) -> None:
        self._begin(-1)

    def _begin(self, cell: int) -> None:
        if cell == self._cell:
            return
        if self._counts:
            self.ranges.append(self._cell, max(self._counts, key=self._counts.__getitem__))
            self.ranges.append(self._cell + 1, _NOWHERE)
        self._cell, self._counts = cell, {}


class BlockTable:
    """Sites of client blocks: the own region's in full, other regions by coarse cells.

    Explanation
    ===========

    A caller of another region is mostly sent to that region, whose VMs know its failure
    domain; so its region is enough here. Where a cell holds blocks of several regions, the
    one with most addresses counts.
    """

    def __init__(self) -> None:
        self._names: list[Site] = []
        self._numbers: dict[Site, int] = {}
        self._full = {4: _Ranges("I"), 6: _Ranges("Q")}
        self._coarse = {4: _Coarse(), 6: _Coarse()}
        self._next = {4: 0, 6: 0}
        self.full_blocks = 0

    @property
    def bytes(self) -> int:
        """Size of the arrays in bytes."""
        return sum(
            self._full[version].bytes + self._coarse[version].ranges.bytes for version in (4, 6)
        )

    def find(self, address: str) -> Site | None:
        """Return the site of a client address, or ``None`` if it is in no known block.

        :raises ValueError: when it is not an IP address.
        """
        version, key = _parse_address(address)
        number = self._full[version].find(key)
        if number == _NOWHERE:
            shift = _KEY_BITS[version] - _COARSE_BITS[version]
            number = self._coarse[version].ranges.find(key >> shift)
        return None if number == _NOWHERE else self._names[number]

    def add(self, row: BlockRow, own_region: str | None) -> None:
        """Add a block; blocks of an IP version have to come in order and disjoint."""
        version, first, last = _parse_network(row.network)
        if first < self._next[version]:
            raise BlockError(f"block {row.network!r}: not after the block before it")
        self._next[version] = last + 1
        if own_region is None or row.region == own_region:
            self._add_full(version, first, last, Site(row.region, row.failure_domain))
        shift = _KEY_BITS[version] - _COARSE_BITS[version]
        self._coarse[version].add(first, last, shift, self._number(Site(row.region)))

    def finish(self) -> None:
        for coarse in self._coarse.values():
            coarse.finish()

    def _add_full(self, version: int, first: int, last: int, site: Site) -> None:
        ranges = self._full[version]
        ranges.append(first, self._number(site))
        if last + 1 < 1 << _KEY_BITS[version]:
            ranges.append(last + 1, _NOWHERE)
        self.full_blocks += 1

    def _number(self, site: Site) -> int:
        number = self._numbers.get(site)
        if number is None:
            number = self._numbers[site] = len(self._names)
            if number == _NOWHERE:
                raise BlockError(f"more than {_NOWHERE} sites")
            self._names.append(site)
        return number


def load_blocks(rows: Iterable[BlockRow], own_region: str | None = None) -> BlockTable:
    """Load sorted, disjoint blocks.

    :param own_region: the region whose blocks are loaded in full; ``None`` for all.
    :raises BlockError: when a block is malformed or out of order.

    Examples
    ========

    >>> rows = [BlockRow("192.0.2.0/24", "a", "a1"), BlockRow("198.51.100.0/24", "b", "b1")]
    >>> table = load_blocks(rows, own_region="a")
    >>> table.find("192.0.2.7"), table.find("198.51.100.7"), table.find("203.0.113.1")
    (Site(region='a', failure_domain='a1'), Site(region='b', failure_domain=''), None)

    """
    table = BlockTable()
    for row in rows:
        table.add(row, own_region)
    table.finish()
    return table
