"""Configuration and evacuations that operators have set."""

from dataclasses import dataclass

from .model import Configuration

__all__ = ["OperatorState"]


@dataclass(frozen=True, slots=True)
class OperatorState:
    """State set by operators, as of one version of the platform's store.

    :ivar version: version of the platform's store that the state was read at.
    :ivar configuration: ``None`` until an operator publishes one.
    :ivar evacuated: failure domains whose backend servers must receive no requests.
    """

    version: int = 0
    configuration: Configuration | None = None
    evacuated: frozenset[str] = frozenset()
