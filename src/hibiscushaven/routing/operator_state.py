"""What the operator asks for at one moment."""

from dataclasses import dataclass

from .model import Configuration

__all__ = ["OperatorState"]


@dataclass(frozen=True, slots=True)
class OperatorState:
    """Configuration and evacuations.

    :ivar version: version of the platform's store as of which this holds.
    :ivar configuration: ``None`` while the operator has sent none.
    :ivar evacuated: failure domains whose backend servers must get no requests.
    """

    version: int = 0
    configuration: Configuration | None = None
    evacuated: frozenset[str] = frozenset()
