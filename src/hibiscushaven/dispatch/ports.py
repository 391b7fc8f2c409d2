"""Port to the slot tokens of a shard."""

from typing import Any, Protocol

__all__ = ["SlotSource", "Token"]

Token = Any


class SlotSource(Protocol):
    """Tokens that this VM may use now; a token is one slot of one backend server."""

    def available(self, now: float, service: str, server: str) -> int:
        """Return how many tokens could be acquired now; tokens in use do not count."""

    def acquire(self, now: float, service: str, server: str, deadline: float) -> Token | None:
        """Take a token for work that ends by ``deadline``, or return ``None``."""

    def is_usable(self, now: float, token: Token) -> bool:
        """Return whether an attempt may still start under the token."""

    def release(self, now: float, token: Token) -> None:
        """Give a token back; called exactly once per token."""
