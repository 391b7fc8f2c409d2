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
class Vm:
    """A VM with its own clock, which may be paused."""

    name: str
    offset: float
    slots: ServiceSlots
    paused_until: float = 0.0
    is_borrowing: bool = False
    pending: list = field(default_factory=list)
    seq: int = 0


class LoanRun:
    """Random renewals, grants, requests and pauses; messages may be lost, late or duplicated."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.now = 0.0
        self.in_flight: list = []
        self.uses: list[float] = []
        self.lender = self.make_vm("lender")
        self.borrowers = [self.make_vm("first"), self.make_vm("second")]
        self.lender.slots.lender.set_owned({POOL: TOKENS})
        self.owner = self.borrowers[0]

    def make_vm(self, name: str) -> Vm:
        return Vm(name, self.rng.uniform(-99, 99), ServiceSlots("stock", (name, name)))

    def run(self, seconds: float) -> None:
        for _ in range(int(seconds / STEP_S)):
            self.now += STEP_S
            if self.rng.random() < 0.08:
                self.owner = self.rng.choice(self.borrowers)
            self.deliver()
            for vm in self.borrowers:
                self.step(vm)

    def send(self, action) -> None:
        for _ in range(self.rng.choice((0, 1, 1, 1, 1, 2))):
            delay = self.rng.choice((0.0, 0.1, 0.4, self.rng.uniform(0, 6)))
            self.in_flight.append((self.now + delay, action))

    def deliver(self) -> None:
        due = [item for item in self.in_flight if item[0] <= self.now]
        self.in_flight = [item for item in self.in_flight if item[0] > self.now]
        for _, action in due:
            action()

    def step(self, vm: Vm) -> None:
        if self.rng.random() < 0.01:
            vm.paused_until = self.now + self.rng.uniform(0.5, 6)
        if self.now < vm.paused_until:
            return
        now = self.now + vm.offset
        pending, vm.pending = vm.pending, []
        for action in pending:
            action()
        if self.rng.random() < 0.05:
            vm.is_borrowing = self.rng.random() < 0.8
            vm.slots.borrower.return_unused()
        if self.rng.random() < 0.4:
            vm.seq += 1
            borrower = vm.slots.borrower
            item = borrower.renewal_item(now, "lender", vm.seq, "stock", vm.is_borrowing)
            self.send(lambda seq=vm.seq: self.lend(vm, seq, item))
        while self.rng.random() < 0.9 and self.request(vm, now):
            pass

    def lend(self, vm: Vm, seq: int, item: RenewalItem) -> None:
        count = TOKENS if vm is self.owner else 0
        now = self.now + self.lender.offset
        lender = self.lender.slots.lender
        answer = lender.renew(now, vm.name, seq, item, HOLD_S, lambda pool: count, SHORT_S)
        if answer is not None:
            self.send(lambda: self.receive(vm, seq, answer))

    def receive(self, vm: Vm, seq: int, answer) -> None:
        if self.now < vm.paused_until:
            vm.pending.append(lambda: self.receive(vm, seq, answer))
        else:
            vm.slots.borrower.on_answer("lender", seq, answer)

    def request(self, vm: Vm, now: float) -> bool:
        deadline = now + self.rng.choice((SHORT_S, HOLD_S, self.rng.uniform(0.1, HOLD_S)))
        sources = vm.slots.acquire(now, (POOL,), deadline, None)
        if sources is None:
            return False
        token = Token(0, "stock", "s0", deadline, sources)
        vm.pending.append(lambda: self.start(vm, token))
        return True

    def start(self, vm: Vm, token: Token) -> None:
        now = self.now + vm.offset
        if now >= min(token.deadline, *vm.slots.expiries(token, 0, now)):
            vm.slots.release(token.sources)
            return
        self.uses = [end for end in self.uses if end > self.now + 1e-9]
        ends_at = token.deadline - vm.offset
        self.uses.append(ends_at)
        assert len(self.uses) <= TOKENS, f"{len(self.uses)} in use at {self.now:.1f}"
        self.end(vm, token, ends_at)

    def end(self, vm: Vm, token: Token, ends_at: float) -> None:
        if self.now >= ends_at:
            vm.slots.release(token.sources)
        else:
            vm.pending.append(lambda: self.end(vm, token, ends_at))


@pytest.mark.parametrize("chunk", range(4))
def test_no_token_is_used_twice_at_once(chunk: int) -> None:
    """Guards against lending a token again while its last borrower may still use it."""
    for seed in range(chunk, 200, 4):
        LoanRun(seed).run(20.0)
