"""Tests of loans by one lender to two borrowers that both consider themselves the owner."""

import random
from dataclasses import dataclass, field

import pytest

from hibiscushaven.slots.messages import RenewalItem
from hibiscushaven.slots.service import ServiceSlots, Token

POOL = "10.9.0.1:80"
TOKENS = 3
HOLD_S = 6.0
SHORT_S = 0.4
STEP_S = 0.1


@dataclass
class Party:
    """A VM with its own clock, which may be paused."""

    name: str
    offset: float
    slots: ServiceSlots
    paused_until: float = 0.0
    is_wanted: bool = False
    pending: list = field(default_factory=list)
    seq: int = 0


class LoanRun:
    """Random renewals, grants, requests and pauses; messages may be lost, late or duplicated."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.now = 0.0
        self.in_flight: list = []
        self.uses: list[float] = []
        self.lender = self.make_party("lender")
        self.borrowers = [self.make_party("first"), self.make_party("second")]
        self.lender.slots.lender.set_owned({POOL: TOKENS})
        self.owner = self.borrowers[0]

    def make_party(self, name: str) -> Party:
        return Party(name, self.rng.uniform(-99, 99), ServiceSlots("stock", (name, name)))

    def run(self, seconds: float) -> None:
        for _ in range(int(seconds / STEP_S)):
            self.now += STEP_S
            if self.rng.random() < 0.08:
                self.owner = self.rng.choice(self.borrowers)
            self.deliver()
            for party in self.borrowers:
                self.step(party)

    def send(self, action) -> None:
        for _ in range(self.rng.choice((0, 1, 1, 1, 1, 2))):
            delay = self.rng.choice((0.0, 0.1, 0.4, self.rng.uniform(0, 6)))
            self.in_flight.append((self.now + delay, action))

    def deliver(self) -> None:
        due = [item for item in self.in_flight if item[0] <= self.now]
        self.in_flight = [item for item in self.in_flight if item[0] > self.now]
        for _, action in due:
            action()

    def step(self, party: Party) -> None:
        if self.rng.random() < 0.01:
            party.paused_until = self.now + self.rng.uniform(0.5, 6)
        if self.now < party.paused_until:
            return
        now = self.now + party.offset
        pending, party.pending = party.pending, []
        for action in pending:
            action()
        if self.rng.random() < 0.05:
            party.is_wanted = self.rng.random() < 0.8
            party.slots.borrower.return_unused()
        if self.rng.random() < 0.4:
            party.seq += 1
            borrower = party.slots.borrower
            item = borrower.renewal_item(now, "lender", party.seq, "stock", party.is_wanted)
            self.send(lambda seq=party.seq: self.lend(party, seq, item))
        while self.rng.random() < 0.9 and self.request(party, now):
            pass

    def lend(self, party: Party, seq: int, item: RenewalItem) -> None:
        count = TOKENS if party is self.owner else 0
        now = self.now + self.lender.offset
        lender = self.lender.slots.lender
        answer = lender.renew(now, party.name, seq, item, HOLD_S, lambda pool: count, SHORT_S)
        if answer is not None:
            self.send(lambda: self.receive(party, seq, answer))

    def receive(self, party: Party, seq: int, answer) -> None:
        if self.now < party.paused_until:
            party.pending.append(lambda: self.receive(party, seq, answer))
        else:
            party.slots.borrower.on_answer("lender", seq, answer)

    def request(self, party: Party, now: float) -> bool:
        deadline = now + self.rng.choice((SHORT_S, HOLD_S, self.rng.uniform(0.1, HOLD_S)))
        sources = party.slots.acquire(now, (POOL,), deadline, None)
        if sources is None:
            return False
        token = Token(0, "stock", "s0", deadline, sources)
        party.pending.append(lambda: self.start(party, token))
        return True

    def start(self, party: Party, token: Token) -> None:
        now = self.now + party.offset
        if now >= min(token.deadline, *party.slots.expiries(token, 0, now)):
            party.slots.release(token.sources)
            return
        self.uses = [end for end in self.uses if end > self.now + 1e-9]
        ends_at = token.deadline - party.offset
        self.uses.append(ends_at)
        assert len(self.uses) <= TOKENS, f"{len(self.uses)} in use at {self.now:.1f}"
        self.end(party, token, ends_at)

    def end(self, party: Party, token: Token, ends_at: float) -> None:
        if self.now >= ends_at:
            party.slots.release(token.sources)
        else:
            party.pending.append(lambda: self.end(party, token, ends_at))


@pytest.mark.parametrize("chunk", range(4))
def test_no_token_is_used_twice_at_once(chunk: int) -> None:
    """Guards against lending a token again while its last borrower may still use it."""
    for seed in range(chunk, 200, 4):
        LoanRun(seed).run(20.0)
