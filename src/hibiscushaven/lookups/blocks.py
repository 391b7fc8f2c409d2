"""CIDR blocks of client addresses, with the region and failure domain of each."""

from array import array
from bisect import bisect_right
from collections.abc import Iterable
from dataclasses import dataclass
from socket import AF_INET, AF_INET6, inet_pton

__all__ = ["AddressBlock", "AddressBlockTable", "BlockError", "CallerLocation", "load_blocks"]

# Marks keys outside all blocks: the largest value of a 16-bit location index.
_NO_LOCATION = 0xFFFF

# Prefix length of the cells of the coarse table, by IP version.
_COARSE_BITS = {4: 16, 6: 32}

# Bits of an address that form its key. An IPv6 address is looked up by its first 64 bits; the
# rest identifies an interface within one network.
_KEY_BITS = {4: 32, 6: 64}

_V4_MAPPED = bytes(10) + b"\xff\xff"


class BlockError(Exception):
    """A block is malformed or out of order, or the table has no room for its location."""


@dataclass(frozen=True, slots=True)
class CallerLocation:
    """The location of a caller; the failure domain is empty if only the region is known."""

    region: str
    failure_domain: str = ""


@dataclass(frozen=True, slots=True)
class AddressBlock:
    """A block of client addresses, such as ``198.51.100.0/24``, and its location."""

    network: str
    region: str
    failure_domain: str


def _parse_address(text: str) -> tuple[int, int]:
    """Return the IP version and the key of an address.

    The address is parsed with ``inet_pton``, which is much faster than ``ipaddress``.

    :raises ValueError: when the text is not an IP address.
    """
    try:
        if ":" not in text:
            return 4, int.from_bytes(inet_pton(AF_INET, text), "big")
        data = inet_pton(AF_INET6, text)
    except OSError as error:
        raise ValueError(f"{text!r} is not an IP address") from error
    if data.startswith(_V4_MAPPED):
        return 4, int.from_bytes(data[12:], "big")
    return 6, int.from_bytes(data[:8], "big")


def _parse_network(text: str) -> tuple[int, int, int]:
    """Return the IP version and the first and last key of a block.

    :raises BlockError: when the block is malformed.
    """
    address, _, length = text.partition("/")
    try:
        version, first = _parse_address(address)
        bits = int(length) if length.isascii() and length.isdigit() else -1
    except ValueError as error:
        raise BlockError(f"block {text!r}: {error}") from error
    if not 0 <= bits <= _KEY_BITS[version]:
        raise BlockError(f"block {text!r}: expected a prefix length up to /{_KEY_BITS[version]}")
    size = 1 << (_KEY_BITS[version] - bits)
    if first % size:
        raise BlockError(f"block {text!r}: has bits set beyond /{bits}")
    return version, first, first + size - 1


class _RangeMap:
    """Sorted, disjoint ranges of keys with one value each.

    A range extends from its first key to the start of the next range.
    """

    __slots__ = ("_starts", "_values")

    def __init__(self, typecode: str) -> None:
        self._starts = array(typecode)
        self._values = array("H")

    @property
    def bytes(self) -> int:
        return sum(item.itemsize * len(item) for item in (self._starts, self._values))

    def append(self, start: int, value: int) -> None:
        """Begin a range at a key that is not below the start of the last range.

        A range of the same start is replaced, and merged with the range before it if both have
        the same value.
        """
        if self._starts and self._starts[-1] == start:
            self._values[-1] = value
            if len(self._values) > 1 and self._values[-2] == value:
                self._starts.pop()
                self._values.pop()
            return
        self._starts.append(start)
        self._values.append(value)

    def find(self, key: int) -> int:
        index = bisect_right(self._starts, key) - 1
        return self._values[index] if index >= 0 else _NO_LOCATION


class _CoarseTable:
    """The region with most addresses in each cell of equal size.

    Blocks are added in order, so that only the addresses of the current cell are counted.
    """

    __slots__ = ("_cell", "_counts", "ranges")

    def __init__(self) -> None:
        self.ranges = _RangeMap("Q")
        self._cell = -1
        self._counts: dict[int, int] = {}

    def add(self, first: int, last: int, shift: int, location_index: int) -> None:
        """Count the keys of a block, which may not precede the last one.

        :param shift: number of bits of a key that are within one cell.
        """
        low, high = first >> shift, last >> shift
        if high > low:
            # A block larger than a cell covers whole cells, because its size is a power of two.
            self._start_cell(-1)
            self.ranges.append(low, location_index)
            self.ranges.append(high + 1, _NO_LOCATION)
            return
        self._start_cell(low)
        self._counts[location_index] = self._counts.get(location_index, 0) + last - first + 1

    def finish(self) -> None:
        """Store the last cell."""
        self._start_cell(-1)

    def _start_cell(self, cell: int) -> None:
        if cell == self._cell:
            return
        if self._counts:
            self.ranges.append(self._cell, max(self._counts, key=self._counts.__getitem__))
            self.ranges.append(self._cell + 1, _NO_LOCATION)
        self._cell, self._counts = cell, {}


class AddressBlockTable:
    """Locations of client address blocks.

    Explanation
    ===========

    Blocks of the own region are stored in full, those of other regions only as coarse cells. A
    caller of another region is mostly sent to that region, whose VMs know its failure domain, so
    its region is sufficient here. A cell with blocks of several regions is assigned to the region
    with most addresses in it.

    :ivar full_blocks: number of blocks that are stored in full.
    """

    def __init__(self) -> None:
        self._locations: list[CallerLocation] = []
        self._location_indexes: dict[CallerLocation, int] = {}
        self._full = {4: _RangeMap("I"), 6: _RangeMap("Q")}
        self._coarse = {4: _CoarseTable(), 6: _CoarseTable()}
        self._next_keys = {4: 0, 6: 0}
        self.full_blocks = 0

    @property
    def bytes(self) -> int:
        """Memory of the arrays in bytes."""
        return sum(
            self._full[version].bytes + self._coarse[version].ranges.bytes for version in (4, 6)
        )

    def find(self, address: str) -> CallerLocation | None:
        """Return the location of a client address, or ``None`` if it is in no known block.

        :raises ValueError: when it is not an IP address.
        """
        version, key = _parse_address(address)
        index = self._full[version].find(key)
        if index == _NO_LOCATION:
            shift = _KEY_BITS[version] - _COARSE_BITS[version]
            index = self._coarse[version].ranges.find(key >> shift)
        return None if index == _NO_LOCATION else self._locations[index]

    def add(self, block: AddressBlock, own_region: str | None) -> None:
        """Add a block; the blocks of an IP version have to be sorted and disjoint.

        :raises BlockError: when the block is malformed or out of order.
        """
        version, first, last = _parse_network(block.network)
        if first < self._next_keys[version]:
            raise BlockError(f"block {block.network!r}: overlaps or precedes the previous block")
        self._next_keys[version] = last + 1
        if own_region is None or block.region == own_region:
            self._add_full(version, first, last, CallerLocation(block.region, block.failure_domain))
        shift = _KEY_BITS[version] - _COARSE_BITS[version]
        self._coarse[version].add(
            first, last, shift, self._location_index(CallerLocation(block.region))
        )

    def finish(self) -> None:
        """Complete the coarse cells after the last block."""
        for coarse in self._coarse.values():
            coarse.finish()

    def _add_full(self, version: int, first: int, last: int, location: CallerLocation) -> None:
        ranges = self._full[version]
        ranges.append(first, self._location_index(location))
        if last + 1 < 1 << _KEY_BITS[version]:
            ranges.append(last + 1, _NO_LOCATION)
        self.full_blocks += 1

    def _location_index(self, location: CallerLocation) -> int:
        index = self._location_indexes.get(location)
        if index is None:
            index = self._location_indexes[location] = len(self._locations)
            if index == _NO_LOCATION:
                raise BlockError(f"more than {_NO_LOCATION} locations")
            self._locations.append(location)
        return index


def load_blocks(blocks: Iterable[AddressBlock], own_region: str | None = None) -> AddressBlockTable:
    """Load sorted, disjoint blocks.

    :param own_region: the region whose blocks are loaded in full; ``None`` for all.
    :raises BlockError: when a block is malformed or out of order, or there are too many
        locations.

    Examples
    ========

    >>> near = AddressBlock("192.0.2.0/24", "a", "a1")
    >>> far = AddressBlock("198.51.100.0/24", "b", "b1")
    >>> table = load_blocks([near, far], own_region="a")
    >>> table.find("192.0.2.7")
    CallerLocation(region='a', failure_domain='a1')
    >>> table.find("198.51.100.7"), table.find("203.0.113.1")
    (CallerLocation(region='b', failure_domain=''), None)

    """
    table = AddressBlockTable()
    for block in blocks:
        table.add(block, own_region)
    table.finish()
    return table
