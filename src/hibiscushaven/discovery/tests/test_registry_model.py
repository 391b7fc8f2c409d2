"""Registries of several VMs under random changes, store outages and update deliveries."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, rule

from hibiscushaven.discovery import (
    EXPIRY_GRACE_S,
    OUTAGE_RENEWALS,
    RENEWAL_INTERVAL_S,
    Registry,
)

from .test_registry import make_record

VMS = st.integers(0, 3)
IDS = st.sampled_from(["s1", "s2", "s3", "s4"])
READ_S = 0.5
OUTAGE_S = OUTAGE_RENEWALS * RENEWAL_INTERVAL_S + 0.5


class RegistryExchange(RuleBasedStateMachine):
    """Four VMs that read the store or apply each other's updates, in any order.

    Guards against versions that decrease, updates that are applied only in part, and
    registries that still differ from the store's records after the faults have ended.
    """

    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.store_version = 10
        self.records = {}
        self.registries = [Registry() for _ in range(4)]
        self.read_at = [0.0] * 4
        self.in_flight = []

    @rule(server_id=IDS, slots=st.integers(1, 4), is_leaving=st.booleans())
    def write_record(self, server_id, slots, is_leaving):
        self.store_version += 1
        self.records[server_id] = make_record(server_id, slots=slots, is_leaving=is_leaving)

    @rule(server_id=IDS)
    def delete_record(self, server_id):
        self.store_version += 1
        self.records.pop(server_id, None)

    @rule(server_id=IDS)
    def restart_server(self, server_id):
        self.store_version += 1
        started = 1000 + self.store_version
        self.records[server_id] = make_record(server_id, started_unix_ms=started, cold_left_s=3.0)

    @rule(seconds=st.sampled_from([0.1, READ_S, OUTAGE_S, EXPIRY_GRACE_S + 0.1]))
    def wait(self, seconds):
        self.now += seconds
        for registry in self.registries:
            registry.expire(self.now)

    @rule(reader=VMS)
    def read_store(self, reader):
        registry = self.registries[reader]
        before = registry.version
        gap_s = self.now - self.read_at[reader]
        self.read_at[reader] = self.now
        registry.replace_all(self.now, self.store_version, self.records.values(), gap_s)
        assert registry.version >= before
        for server_id, record in self.records.items():
            if self.store_version >= before:
                assert registry.servers[server_id].record == record

    @rule(sender=VMS, receiver=VMS)
    def send_update(self, sender, receiver):
        if self.registries[sender].version > self.registries[receiver].version:
            version = self.registries[receiver].version
            self.in_flight.append((receiver, sender, self.registries[sender].update_since(version)))

    @rule(index=st.integers(0, 20))
    def deliver_update(self, index):
        """Deliver an update late, and possibly more than once."""
        if not self.in_flight:
            return
        receiver, _, update = self.in_flight[index % len(self.in_flight)]
        registry = self.registries[receiver]
        before = registry.version, dict(registry.servers)
        was_applied = registry.apply_update(update)
        assert registry.version >= before[0]
        if not was_applied:
            assert (registry.version, dict(registry.servers)) == before
        elif update.base_version is not None:
            assert registry.checksum == update.checksum

    @rule(index=st.integers(0, 20))
    def lose_update(self, index):
        if self.in_flight:
            self.in_flight.pop(index % len(self.in_flight))

    @rule()
    def converge(self):
        """After a read without faults and its updates, all VMs have the store's records."""
        self.in_flight.clear()
        self.now += EXPIRY_GRACE_S + 0.1
        for registry in self.registries:
            registry.expire(self.now)
        self.store_version = (
            max(self.store_version, *(registry.version for registry in self.registries)) + 1
        )
        reader = self.registries[0]
        reader.replace_all(self.now, self.store_version, self.records.values(), READ_S)
        for registry in self.registries[1:]:
            if not registry.apply_update(reader.update_since(registry.version)):
                registry.apply_update(reader.update_since(0))
        for registry in self.registries:
            if registry.version == reader.version:
                known = {name: server.record for name, server in registry.servers.items()}
                assert known == self.records
        assert reader.servers.keys() == self.records.keys()


RegistryExchange.TestCase.settings = settings(
    max_examples=150, stateful_step_count=30, deadline=None
)
TestRegistryExchange = RegistryExchange.TestCase
