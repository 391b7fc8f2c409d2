"""When tokens that changed home may be used: settled roster versions, for one service.

Explanation
===========

A VM reports a version as settled when it uses and lends only tokens at home there, and when
all tokens that it lost on the way had been settled with it. So a new home needs only the
report of the home before it. A home that was removed without notice cannot report; its tokens
wait until whatever it lent or used has ended.
"""

from .homes import token_homes
from .lender import LOAN_TERM_S, MARGIN_S
from .moves import Moves
from .roster import Roster, RosterMember

__all__ = ["Key", "Settlement", "settle_wait_s"]

Key = tuple[str, str]


def settle_wait_s(longest_deadline_s: float) -> float:
    """Return how long the tokens of a home that was removed without notice are kept back.

    Explanation
    ===========

    A paused home may, just before its own fence at one loan term, grant a loan of another
    term; a request started at its end lasts for the longest deadline.

    Examples
    ========

    >>> settle_wait_s(10.0)
    14.5

    """
    return 2 * LOAN_TERM_S + longest_deadline_s + MARGIN_S


class Settlement:
    """Settled tokens of one VM and one service.

    :param own: VM name and incarnation.
    """

    def __init__(self, service: str, own: Key) -> None:
        self._service = service
        self._own = own
        self._roster = Roster()
        self._moves = Moves(service, self._roster)
        self._floor = 0
        self._is_joined = False
        self._is_gap = False
        self._received_at: dict[int, float] = {}
        self._settled_by: dict[Key, int] = {}
        self._drained_by: dict[Key, int] = {}
        self._settled = 0
        self._missing: set[RosterMember] = set()

    @property
    def version(self) -> int:
        """Version of the roster in use."""
        return self._roster.version

    @property
    def is_complete(self) -> bool:
        """Whether all tokens at home are settled."""
        return not self._is_gap and self._floor == self._roster.version

    @property
    def missing(self) -> frozenset[RosterMember]:
        """Members whose reports are waited for, as of the last :meth:`advance`."""
        return frozenset(self._missing)

    def adopt(self, now: float, roster: Roster) -> None:
        """Take a newer roster."""
        first = max(self._roster.version, roster.oldest) + 1
        self._roster = roster
        self._moves = Moves(self._service, roster)
        for version in range(first, roster.version + 1):
            self._received_at[version] = now
        self._received_at.setdefault(roster.version, now)
        for version in [item for item in self._received_at if item < roster.oldest]:
            del self._received_at[version]
        members = {member.key for member in roster.members}
        for reports in (self._settled_by, self._drained_by):
            for key in reports.keys() - members:
                del reports[key]
        if not self._is_joined:
            self._join()
        elif roster.oldest > self._floor:
            self._is_gap = True

    def on_report(self, sender: Key, settled: int, drained: int) -> None:
        """Take a peer's report.

        :param settled: version that it settled.
        :param drained: version at which it uses and lends only its settled tokens.
        """
        self._settled_by[sender] = max(settled, self._settled_by.get(sender, 0))
        self._drained_by[sender] = max(drained, self._drained_by.get(sender, 0))

    def advance(self, now: float, wait_s: float) -> None:
        """Raise the version below which all tokens at home are settled."""
        self._missing.clear()
        if not self._is_joined or self.is_complete:
            return
        if self._is_gap:
            if self._is_gap_over(now, wait_s):
                self._is_gap = False
                self._floor = self._roster.version
            return
        is_unbroken = True
        for version in range(self._floor + 1, self._roster.version + 1):
            sources = list(self._moves.sources(version, self._own))
            cleared = [self._is_free_of(item, version, now, wait_s) for item in sources]
            is_unbroken = is_unbroken and all(cleared)
            if is_unbroken:
                self._floor = version

    def settled_count(self, now: float, wait_s: float, pool: str, count: int) -> int:
        """Return how many of a pool's first ``count`` tokens this VM may use or lend."""
        if self._is_gap or not self._roster.has(self._own):
            return 0
        homes = token_homes(self._roster, self._service, pool, count)
        own_vm = self._own[0]
        numbers = [number for number, home in enumerate(homes) if home == own_vm]
        if self.is_complete:
            return len(numbers)
        return sum(self._is_settled(now, wait_s, pool, number) for number in numbers)

    def report(self, is_within: bool) -> tuple[int, int]:
        """Return the versions to report as settled and as drained.

        :param is_within: no more tokens are used and lent here than are settled here.
        """
        if not is_within:
            return self._settled, 0
        if not self._is_gap:
            self._settled = max(self._settled, min(self._roster.version, self._floor + 1))
        return self._settled, self._roster.version

    def _join(self) -> None:
        """Start below the version that this incarnation joined at; it had no tokens before."""
        if not self._roster.has(self._own):
            return
        self._is_joined = True
        joined_at = next(
            (
                version
                for version in range(self._roster.version, self._roster.oldest, -1)
                if any(item.key == self._own for item in self._moves.change(version).joined)
            ),
            None,
        )
        if joined_at is None:
            self._is_gap = True
            return
        self._floor = joined_at - 1
        is_known = self._roster.oldest == 0 or self._moves.has_members_before(joined_at)
        self._is_gap = not is_known

    def _is_free_of(self, member: RosterMember, version: int, now: float, wait_s: float) -> bool:
        """Return whether a member no longer uses or lends what it lost at a version."""
        if member.key == self._own:
            return True
        if self._roster.has(member.key):
            if self._settled_by.get(member.key, 0) >= version:
                return True
            self._missing.add(member)
            return False
        removal = self._moves.removal(member)
        if self._moves.change(removal).is_graceful:
            return True
        # What it lost may not have been settled with it; then earlier homes count as well.
        earlier = [
            self._is_free_of(source, step, now, wait_s)
            for step in range(self._roster.oldest + 1, version)
            for source in self._moves.sources(step, member.key)
        ]
        return now >= self._received_at.get(removal, now) + wait_s and all(earlier)

    def _is_settled(self, now: float, wait_s: float, pool: str, number: int) -> bool:
        """Return whether a token at home here is free of the home before."""
        for version in range(self._roster.version, self._roster.oldest, -1):
            before = self._moves.at(version - 1)
            homes = token_homes(before, self._service, pool, number + 1)
            if not homes:
                continue
            previous = before.by_vm[homes[number]]
            if previous.key != self._own:
                return self._is_free_of(previous, version, now, wait_s)
            if version - 1 <= self._floor:
                return True
        return True

    def _is_gap_over(self, now: float, wait_s: float) -> bool:
        """Return whether nobody can use tokens that moved in versions that were missed."""
        version = self._roster.version
        others = [member for member in self._roster.members if member.key != self._own]
        late = {item for item in others if self._drained_by.get(item.key, 0) < version}
        self._missing = late
        return not late and now >= self._received_at[version] + wait_s
