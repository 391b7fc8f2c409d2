"""Random interruptions of VMs and of the store, while servers come and go."""

import asyncio
from dataclasses import replace

from hibiscushaven.eras import number_of

from .simulated_region import LoopClock
from .support import make_record

# Time without interruption after which the bounds hold for a VM, and for the store.
STABLE_S = 3.0

# Time after the removal of its record from which a server must get no request.
DRAIN_S = 2.5

# Age of the copy from which the store is restored.
COPY_AGE_S = 4.0

CHECK_INTERVAL_S = 0.1


class Interruptions:
    """Pauses and cuts of VMs, outages and restores of the store, and changes of the servers.

    They come at random, in series, and overlap.

    :ivar late: servers that a VM still used, with the VM and the time since the removal.
    """

    def __init__(self, region, rng):
        self._region, self._rng, self._now = region, rng, LoopClock().now
        self._disturbed_at = dict.fromkeys(region.nodes, float("-inf"))
        self._store_disturbed_at = float("-inf")
        self._removed_at = {}
        self._copies = []
        self._serial = 0
        self.late = set()

    async def run(self, seconds):
        """Interrupt VMs and the store for a time, and check which servers are used."""
        tasks = [
            asyncio.create_task(self._repeat(action, mean_s))
            for action, mean_s in (
                (self._pause_vm, 2.0),
                (self._cut_vm, 2.5),
                (self._interrupt_store, 12.0),
                (self._change_servers, 0.7),
            )
        ]
        end = self._now() + seconds
        while self._now() < end:
            self._note_disturbances()
            self._check()
            await asyncio.sleep(CHECK_INTERVAL_S)
        for task in tasks:
            task.cancel()
        for error in await asyncio.gather(*tasks, return_exceptions=True):
            assert isinstance(error, asyncio.CancelledError), error

    async def _repeat(self, action, mean_s):
        while True:
            await asyncio.sleep(self._rng.expovariate(1.0 / mean_s))
            await action()

    def _pick_vm(self):
        return self._rng.choice(sorted(set(self._region.nodes) - self._region.interrupted))

    async def _pause_vm(self):
        with self._region.paused(self._pick_vm()):
            await asyncio.sleep(self._rng.uniform(0.6, 6.0))

    async def _cut_vm(self):
        with self._region.cut_off(self._pick_vm()):
            await asyncio.sleep(self._rng.uniform(0.2, 6.0))

    async def _interrupt_store(self):
        self._region.is_store_down = True
        await asyncio.sleep(self._rng.choice([0.3, 1.0, 5.0]))
        if self._rng.random() < 0.4:
            self._restore_store()
        self._region.is_store_down = False

    def _restore_store(self):
        """Restore a copy, into which the servers write their state again."""
        region = self._region
        copied_version = self._copies[0][1] if self._copies else region.listing.version
        records = region.listing.records
        region.begin_later_era(number_of(copied_version))
        region.listing = replace(region.listing, records=records)

    async def _change_servers(self):
        region, records = self._region, region_records(self._region)
        self._copies = [item for item in self._copies if self._now() - item[0] <= COPY_AGE_S]
        self._copies.append((self._now(), region.listing.version))
        self._serial += 1
        if len(records) > 3 and self._rng.random() < 0.5:
            gone = self._rng.choice(sorted(records))
            del records[gone]
            is_stable = self._now() - self._store_disturbed_at > STABLE_S
            if is_stable and not region.is_store_down:
                self._removed_at[gone] = self._now()
        else:
            name = f"n{self._serial}"
            records[name] = make_record(name)
        region.put_servers(records.values())

    def _note_disturbances(self):
        now = self._now()
        for name in self._region.interrupted:
            self._disturbed_at[name] = now
        if self._region.is_store_down:
            self._store_disturbed_at = now

    def _check(self):
        now = self._now()
        if now - self._store_disturbed_at <= STABLE_S:
            return
        late = [name for name, at in self._removed_at.items() if now - at > DRAIN_S]
        for vm, node in self._region.nodes.items():
            if now - self._disturbed_at[vm] <= STABLE_S:
                continue
            for name in late:
                if name in node.registry.servers:
                    self.late.add((name, vm, round(now - self._removed_at[name], 1)))


def region_records(region):
    """Return the records in the store by server."""
    return {record.server_id: record for record in region.listing.records}
