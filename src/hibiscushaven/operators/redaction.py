"""Redaction of documents for teams that do not own them."""

import re

__all__ = ["HIDDEN", "redact_document"]

HIDDEN = "(hidden)"

_CREDENTIAL = re.compile(r"^(\s*token_sha256\s*[=:]).*$", re.MULTILINE)
_DIGEST = re.compile(r"[0-9A-Fa-f]{64}")
_COMMENT = re.compile(r"^\s*[#;].*\n?", re.MULTILINE)


def redact_document(text: str) -> str:
    """Return a document's text without credentials and comments.

    Comments are removed because they may contain former credentials.

    Examples
    ========

    >>> redact_document("# old: 1234\\n[caller a]\\ntoken_sha256 = 5678\\nshare = 1")
    '[caller a]\\ntoken_sha256 = (hidden)\\nshare = 1'

    """
    text = _COMMENT.sub("", text)
    text = _CREDENTIAL.sub(rf"\1 {HIDDEN}", text)
    return _DIGEST.sub(HIDDEN, text)
