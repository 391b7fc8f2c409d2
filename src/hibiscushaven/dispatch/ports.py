"""Interface to the slot tokens of a shard."""

from typing import Any, Protocol

__all__ = ["SlotSource", "Token"]

Token = Any


class SlotSource(Protocol):
    """Source of the tokens that this VM may use; a token stands for one slot of a server."""

    def available(self, now: float, service: str, server: str) -> int:
        """Return the number of tokens that could be acquired now, not counting those in use."""

    def acquire(self, now: float, service: str, server: str, deadline: float) -> Token | None:
        """Acquire a token for work that ends by ``deadline``; return ``None`` if there is none."""

    def is_usable(self, now: float, token: Token) -> bool:
        """Return whether an attempt may still start with the token."""

    def release(self, now: float, token: Token) -> None:
        """Release a token; called exactly once per acquired token."""
