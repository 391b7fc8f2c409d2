"""What VMs say about their own links to the backend servers."""

from dataclasses import dataclass

__all__ = ["IsolationTable", "LinkStatement"]

# Statements that differ by less in time count as equally old. They are sent as ages, so that each
# transfer adds the delay of the network.
TIME_RESOLUTION_S = 0.25

# Time after which a statement is discarded. An isolated VM repeats its own more often.
STATEMENT_LIFETIME_S = 30.0


@dataclass(frozen=True, slots=True)
class LinkStatement:
    """What a VM said about itself.

    :ivar is_isolated: whether it reaches no backend server.
    :ivar made_at: time of the statement.
    """

    is_isolated: bool
    made_at: float


class IsolationTable:
    """Latest statement of each VM that has lost its links to the backend servers recently.

    Examples
    ========

    >>> table = IsolationTable()
    >>> table.update("vm-1", LinkStatement(True, 10.0)), table.is_isolated("vm-1")
    (True, True)
    >>> table.update("vm-1", LinkStatement(False, 9.0)), table.is_isolated("vm-1")
    (False, True)

    """

    def __init__(self) -> None:
        self._statements: dict[str, LinkStatement] = {}

    @property
    def statements(self) -> dict[str, LinkStatement]:
        """All statements by the name of the VM."""
        return dict(self._statements)

    def is_isolated(self, name: str) -> bool:
        """Return whether a VM said that it reaches no backend server."""
        statement = self._statements.get(name)
        return statement is not None and statement.is_isolated

    def update(self, name: str, statement: LinkStatement) -> bool:
        """Record a statement; return whether it is newer than the known one."""
        known = self._statements.get(name)
        if known is not None and statement.made_at <= known.made_at + TIME_RESOLUTION_S:
            return False
        self._statements[name] = statement
        return True

    def expire(self, now: float) -> None:
        """Discard old statements."""
        for name, statement in list(self._statements.items()):
            if now - statement.made_at > STATEMENT_LIFETIME_S:
                del self._statements[name]
