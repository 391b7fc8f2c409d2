"""Memory that goes back to the system once it is freed."""

import subprocess
import sys

SCRIPT = """
from pathlib import Path
from hibiscushaven.process.allocator import map_large_blocks

map_large_blocks()
freed_first = bytearray(4_000_000)
del freed_first
blocks = [(bytearray(600_000), bytearray(b"x" * 1000)) for _ in range(100)]
kept = [small for _, small in blocks]
del blocks
status = Path("/proc/self/status").read_text().splitlines()
print(next(line.split()[1] for line in status if line.startswith("VmRSS:")))
"""


def test_large_blocks_between_small_ones_are_freed():
    """Guards against gaps in the heap that are as large as the bodies that were in them."""
    command = [sys.executable, "-c", SCRIPT]
    output = subprocess.run(command, capture_output=True, text=True, check=True).stdout
    assert int(output) * 1024 < 60_000_000
