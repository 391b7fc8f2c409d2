"""Tests of the orderings of entry VMs and of the answer."""

from collections import Counter
from dataclasses import replace
from random import Random

import pytest
from pytest import approx

from hibiscushaven.lookups import (
    ORDERINGS,
    AnswerError,
    EntryVm,
    LookupAnswer,
    LookupQuery,
    make_answer,
    order_vms,
    prepare_fleet,
)

DOMAINS = ("a1", "a2", "b1", "b2", "c1", "c2")
VMS = tuple(
    EntryVm(f"{domain}-{number}", f"127.0.{index}.{number}", 8000, domain[0], domain)
    for index, domain in enumerate(DOMAINS)
    for number in range(4 if index else 3)
)
EVEN = dict.fromkeys(DOMAINS, 1 / 6)


def callers(count: int = 3000) -> list[bytes]:
    return [f"203.0.113.{number}".encode() for number in range(count)]


def firsts(vms: tuple[EntryVm, ...], **known) -> list[EntryVm]:
    fleet, rng = prepare_fleet(vms), Random(1)
    queries = (LookupQuery(caller, **known) for caller in callers())
    return [order_vms("spread", fleet, query, rng)[0] for query in queries]


@pytest.mark.parametrize("name", sorted(ORDERINGS))
def test_list_has_alternates_and_no_leaving_vm(name: str) -> None:
    """Guards against lists without VMs of other failure domains, or with a VM that is leaving."""
    vms = [replace(vm, is_leaving=vm.name.endswith("1"), is_up=vm.name != "b1-2") for vm in VMS]
    fleet, rng = prepare_fleet(vms), Random(1)
    for caller in callers(200):
        query = LookupQuery(caller, "b", "b1", EVEN)
        everyone = order_vms(name, fleet, query, rng, limit=99)
        assert not any(vm.is_leaving for vm in everyone)
        assert len(everyone) == 17 == len(set(everyone))
        assert everyone[-1].name == "b1-2"
        for limit in (1, 3, 4, 8):
            listed = order_vms(name, fleet, query, rng, limit)
            assert len(listed) == max(3, limit)
            assert listed[0].is_up
            assert len({vm.failure_domain for vm in listed}) >= 3


def test_alternates_remain_when_other_domains_are_suspect() -> None:
    """Guards against a truncated list with VMs of one failure domain only."""
    vms = [replace(vm, is_up=vm.failure_domain == "b1") for vm in VMS]
    listed = order_vms(
        "spread", prepare_fleet(vms), LookupQuery(b"x", "b", "b1", EVEN), Random(1), 3
    )
    assert listed[0].failure_domain == "b1"
    assert len({vm.failure_domain for vm in listed}) == 3


def test_first_domains_follow_the_planned_shares() -> None:
    """Guards against callers that are not spread over failure domains by the shares."""
    row = {"a1": 0.5, "a2": 0.2, "c1": 0.3}
    chosen = firsts(VMS, region="a", failure_domain="a1", shares=EVEN, first_shares=row)
    counts = Counter(vm.failure_domain for vm in chosen)
    assert {name: count / len(chosen) for name, count in counts.items()} == approx(row, abs=0.03)


def test_near_places_with_a_share_come_first() -> None:
    """Guards against callers sent to a far place despite a near one, or to one without a share."""
    shares = {"a1": 0.2, "a2": 0.4, "b1": 0.4}
    known = {"region": "a", "shares": shares}
    assert {vm.failure_domain for vm in firsts(VMS, failure_domain="a2", **known)} == {"a2"}
    counts = Counter(vm.failure_domain for vm in firsts(VMS, **known))
    assert counts["a2"] / counts.total() == approx(2 / 3, abs=0.03)
    assert counts["a1"] / counts.total() == approx(1 / 3, abs=0.03)
    delays = {frozenset("ca"): 30.0, frozenset("cb"): 20.0}
    chosen = firsts(VMS, region="c", failure_domain="c1", shares=shares, delays=delays)
    assert {vm.failure_domain for vm in chosen} == {"b1"}


def test_loss_of_a_vm_moves_only_its_callers() -> None:
    """Guards against moving all callers when a VM is lost, and uneven numbers on equal VMs."""
    known = {"region": "b", "failure_domain": "b1", "shares": EVEN}
    before = firsts(VMS, **known)
    counts = Counter(vm.name for vm in before)
    assert min(counts.values()) > 0.85 * len(before) / 4
    after = firsts(tuple(vm for vm in VMS if vm.name != "b1-0"), **known)
    pairs = zip(before, after, strict=True)
    assert all(old == new for old, new in pairs if old.name != "b1-0")
    loaded = tuple(replace(vm, load=1.0 if vm.name == "b1-0" else 0.0) for vm in VMS)
    assert 0 < Counter(vm.name for vm in firsts(loaded, **known))["b1-0"] < 0.06 * len(before)


def test_answer_round_trips_through_json_and_rejects_invalid_texts() -> None:
    """Guards against fields lost in the JSON form, and invalid texts accepted as an answer."""
    answer = make_answer("stock", VMS[:3], keep_s=5.0, revision=9)
    assert LookupAnswer.from_json(answer.to_json()) == answer
    assert answer.entries[2].address == "127.0.0.2"
    for text in ("", "[]", "{}", answer.to_json().replace("8000", '"x"')):
        with pytest.raises(AnswerError):
            LookupAnswer.from_json(text)
