"""Random courses of backend servers, outages of the store and news between VMs."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, rule

from hibiscushaven.discovery import LAPSE_GRACE_S, OUTAGE_S, Registry

from .test_registry import make_record

VMS = st.integers(0, 3)
IDS = st.sampled_from(["s1", "s2", "s3", "s4"])
READ_S = 0.5


class Exchange(RuleBasedStateMachine):
    """Four VMs, any of which reads the store or takes another one's news, in any order.

    The store counts versions up; what it holds at each is remembered, so that the newest read
    that reached a VM, directly or through others, says what it must know.
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
    def write(self, server_id, slots, is_leaving):
        self.store_version += 1
        self.records[server_id] = make_record(server_id, slots=slots, is_leaving=is_leaving)

    @rule(server_id=IDS)
    def drop(self, server_id):
        self.store_version += 1
        self.records.pop(server_id, None)

    @rule(server_id=IDS)
    def restart(self, server_id):
        self.store_version += 1
        started = 1000 + self.store_version
        self.records[server_id] = make_record(server_id, started_unix_ms=started, cold_left_s=3.0)

    @rule(seconds=st.sampled_from([0.1, READ_S, OUTAGE_S + 0.5, LAPSE_GRACE_S + 0.1]))
    def wait(self, seconds):
        self.now += seconds
        for registry in self.registries:
            registry.expire(self.now)

    @rule(reader=VMS)
    def read(self, reader):
        registry = self.registries[reader]
        before = registry.version
        gap_s = self.now - self.read_at[reader]
        self.read_at[reader] = self.now
        registry.replace_all(self.now, self.store_version, self.records.values(), gap_s)
        assert registry.version >= before
        for server_id, record in self.records.items():
            if self.store_version >= before:
                assert registry.servers[server_id].record == record

    @rule(giver=VMS, taker=VMS)
    def send_news(self, giver, taker):
        if self.registries[giver].version > self.registries[taker].version:
            version = self.registries[taker].version
            self.in_flight.append((taker, giver, self.registries[giver].news_since(version)))

    @rule(place=st.integers(0, 20))
    def take_news(self, place):
        """Deliver some news, whatever happened since they were sent; they may be repeated."""
        if not self.in_flight:
            return
        taker, _, news = self.in_flight[place % len(self.in_flight)]
        registry = self.registries[taker]
        before = registry.version, dict(registry.servers)
        was_taken = registry.adopt(news)
        assert registry.version >= before[0]
        if not was_taken:
            assert (registry.version, dict(registry.servers)) == before
        elif news.base is not None:
            assert registry.checksum == news.checksum

    @rule(place=st.integers(0, 20))
    def lose_news(self, place):
        if self.in_flight:
            self.in_flight.pop(place % len(self.in_flight))

    @rule()
    def settle(self):
        """After a calm read that all take, all know what the store holds."""
        self.in_flight.clear()
        self.now += LAPSE_GRACE_S + 0.1
        for registry in self.registries:
            registry.expire(self.now)
        self.store_version = max(self.store_version, *(r.version for r in self.registries)) + 1
        reader = self.registries[0]
        reader.replace_all(self.now, self.store_version, self.records.values(), READ_S)
        for registry in self.registries[1:]:
            if not registry.adopt(reader.news_since(registry.version)):
                registry.adopt(reader.news_since(0))
        for registry in self.registries:
            if registry.version == reader.version:
                held = {name: server.record for name, server in registry.servers.items()}
                assert held == self.records
        assert reader.servers.keys() == self.records.keys()


Exchange.TestCase.settings = settings(max_examples=150, stateful_step_count=30, deadline=None)
TestExchange = Exchange.TestCase
