"""Configuration and evacuations that operators have set."""

from dataclasses import dataclass, replace
from typing import Self

from .model import Configuration

__all__ = ["OperatorState"]


@dataclass(frozen=True, slots=True)
class OperatorState:
    """State set by operators, as of one version of the platform's store.

    :ivar version: version of the platform's store that the state was read at, as in ``version_of``.
    :ivar configuration: ``None`` until an operator publishes one.
    :ivar evacuated: failure domains whose backend servers must receive no requests.
    """

    version: int = 0
    configuration: Configuration | None = None
    evacuated: frozenset[str] = frozenset()

    @property
    def configuration_version(self) -> int:
        """Version of the configuration that its operator set; 0 without one."""
        return self.configuration.version if self.configuration is not None else 0

    def with_later_configuration(self, other: "OperatorState") -> Self:
        """Return this state with the configuration of another one if that is the later one.

        Explanation
        ===========

        Configurations are ordered by the versions that the operator gives them. A store that was
        restored from a copy may hold an earlier one than was in force, until the operator writes
        the later one again.

        Examples
        ========

        >>> known = OperatorState(10, Configuration(7))
        >>> OperatorState(20, Configuration(6)).with_later_configuration(known)
        ... # doctest: +ELLIPSIS
        OperatorState(version=20, configuration=Configuration(version=7, ...

        """
        if other.configuration_version <= self.configuration_version:
            return self
        return replace(self, configuration=other.configuration)
