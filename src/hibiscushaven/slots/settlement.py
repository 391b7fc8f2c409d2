"""Settled roster versions of one service, which decide when a new home may use its tokens.

Explanation
===========

A VM reports a roster version as settled when it uses and lends only tokens whose home it is at
that version, and when all tokens that it lost in earlier versions had been settled with it. So a
new home needs only the report of the previous home. A home that was removed ungracefully cannot
report; its tokens are held back until all requests and loans that it started have ended.
"""

from .homes import token_homes
from .lender import LOAN_TERM_S, MARGIN_S
from .move_history import MoveHistory
from .roster import Roster, RosterMember

__all__ = ["MemberKey", "Settlement", "settle_wait_s"]

MemberKey = tuple[str, str]


def settle_wait_s(longest_deadline_s: float) -> float:
    """Return how long the tokens of an ungracefully removed home are held back.

    Explanation
    ===========

    A paused home may grant a loan just before its fence is raised, one loan term after the
    pause began. The loan lasts for another term, and a request started at its end lasts for
    the longest deadline.

    Examples
    ========

    >>> settle_wait_s(10.0)
    14.5

    """
    return 2 * LOAN_TERM_S + longest_deadline_s + MARGIN_S


class Settlement:
    """Settlement of the home tokens of one VM and one service.

    :param own: VM name and incarnation.
    """

    def __init__(self, service: str, own: MemberKey) -> None:
        self._service = service
        self._own = own
        self._roster = Roster()
        self._move_history = MoveHistory(service, self._roster)
        self._settled_through = 0
        self._is_joined = False
        self._has_history_gap = False
        self._received_at: dict[int, float] = {}
        self._settled_by: dict[MemberKey, int] = {}
        self._drained_by: dict[MemberKey, int] = {}
        self._reported_settled = 0
        self._awaited: set[RosterMember] = set()

    @property
    def version(self) -> int:
        """Version of the adopted roster."""
        return self._roster.version

    @property
    def is_complete(self) -> bool:
        """Whether all home tokens are settled."""
        return not self._has_history_gap and self._settled_through == self._roster.version

    @property
    def awaited(self) -> frozenset[RosterMember]:
        """Members whose reports were still needed at the last :meth:`advance`."""
        return frozenset(self._awaited)

    def adopt(self, now: float, roster: Roster) -> None:
        """Adopt a newer roster."""
        first = max(self._roster.version, roster.oldest) + 1
        self._roster = roster
        self._move_history = MoveHistory(self._service, roster)
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
            self._initialize_at_join()
        elif roster.oldest > self._settled_through:
            self._has_history_gap = True

    def on_report(self, sender: MemberKey, settled: int, drained: int) -> None:
        """Record a peer's report.

        :param settled: version that the peer settled.
        :param drained: version at which the peer uses and lends only its settled tokens.
        """
        self._settled_by[sender] = max(settled, self._settled_by.get(sender, 0))
        self._drained_by[sender] = max(drained, self._drained_by.get(sender, 0))

    def advance(self, now: float, wait_s: float) -> None:
        """Raise the version up to which all home tokens are settled, as far as possible.

        :param wait_s: see :func:`settle_wait_s`.
        """
        self._awaited.clear()
        if not self._is_joined or self.is_complete:
            return
        if self._has_history_gap:
            if self._is_gap_resolved(now, wait_s):
                self._has_history_gap = False
                self._settled_through = self._roster.version
            return
        is_contiguous = True
        for version in range(self._settled_through + 1, self._roster.version + 1):
            sources = list(self._move_history.previous_homes(version, self._own))
            released = [self._has_released(item, version, now, wait_s) for item in sources]
            is_contiguous = is_contiguous and all(released)
            if is_contiguous:
                self._settled_through = version

    def settled_count(self, now: float, wait_s: float, pool: str, count: int) -> int:
        """Return how many of a pool's first ``count`` tokens this VM may use or lend."""
        if self._has_history_gap or not self._roster.has_member(self._own):
            return 0
        homes = token_homes(self._roster, self._service, pool, count)
        own_vm = self._own[0]
        numbers = [number for number, home in enumerate(homes) if home == own_vm]
        if self.is_complete:
            return len(numbers)
        return sum(self._is_settled(now, wait_s, pool, number) for number in numbers)

    def report(self, is_within_owned: bool) -> tuple[int, int]:
        """Return the versions to report as settled and as drained.

        :param is_within_owned: whether no more tokens are used and lent than are settled.
        """
        if not is_within_owned:
            return self._reported_settled, 0
        if not self._has_history_gap:
            self._reported_settled = max(
                self._reported_settled, min(self._roster.version, self._settled_through + 1)
            )
        return self._reported_settled, self._roster.version

    def _initialize_at_join(self) -> None:
        """Start settling at the version of this incarnation's join; it had no tokens before."""
        if not self._roster.has_member(self._own):
            return
        self._is_joined = True
        joined_at = next(
            (
                version
                for version in range(self._roster.version, self._roster.oldest, -1)
                if any(
                    item.key == self._own for item in self._move_history.change_at(version).joined
                )
            ),
            None,
        )
        if joined_at is None:
            self._has_history_gap = True
            return
        self._settled_through = joined_at - 1
        is_known = self._roster.oldest == 0 or self._move_history.has_members_before(joined_at)
        self._has_history_gap = not is_known

    def _has_released(self, member: RosterMember, version: int, now: float, wait_s: float) -> bool:
        """Return whether a member no longer uses or lends the tokens it lost at a version."""
        if member.key == self._own:
            return True
        if self._roster.has_member(member.key):
            if self._settled_by.get(member.key, 0) >= version:
                return True
            self._awaited.add(member)
            return False
        removal_version = self._move_history.removal_version(member)
        if self._move_history.change_at(removal_version).is_graceful:
            return True
        # The lost tokens may not have been settled with this member, so check earlier homes too.
        earlier = [
            self._has_released(source, step, now, wait_s)
            for step in range(self._roster.oldest + 1, version)
            for source in self._move_history.previous_homes(step, member.key)
        ]
        return now >= self._received_at.get(removal_version, now) + wait_s and all(earlier)

    def _is_settled(self, now: float, wait_s: float, pool: str, number: int) -> bool:
        """Return whether the previous home of a home token has released it."""
        for version in range(self._roster.version, self._roster.oldest, -1):
            before = self._move_history.roster_at(version - 1)
            homes = token_homes(before, self._service, pool, number + 1)
            if not homes:
                continue
            previous = before.by_vm[homes[number]]
            if previous.key != self._own:
                return self._has_released(previous, version, now, wait_s)
            if version - 1 <= self._settled_through:
                return True
        return True

    def _is_gap_resolved(self, now: float, wait_s: float) -> bool:
        """Return whether all tokens that moved in missed versions have been released."""
        version = self._roster.version
        others = [member for member in self._roster.members if member.key != self._own]
        undrained = {item for item in others if self._drained_by.get(item.key, 0) < version}
        self._awaited = undrained
        return not undrained and now >= self._received_at[version] + wait_s
