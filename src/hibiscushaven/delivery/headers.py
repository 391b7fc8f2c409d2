"""Header fields, with removal of the hop-by-hop ones."""

__all__ = ["Headers", "end_to_end", "find_header"]

Headers = tuple[tuple[str, str], ...]

# The fields of RFC 9110, section 7.6.1, and obsolete ones that older servers still send.
_HOP_BY_HOP = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)


def end_to_end(headers: Headers) -> Headers:
    """Return the headers without the hop-by-hop fields, such as those named by ``Connection``.

    Examples
    ========

    >>> end_to_end((("Connection", "close, X-Hop"), ("X-Hop", "1"), ("Accept", "*/*")))
    (('Accept', '*/*'),)

    """
    named = {
        name.strip().lower()
        for key, value in headers
        if key.lower() == "connection"
        for name in value.split(",")
    }
    dropped = _HOP_BY_HOP | named
    return tuple((key, value) for key, value in headers if key.lower() not in dropped)


def find_header(headers: Headers, name: str) -> str | None:
    """Return the first value of a header field, or ``None``; names are case-insensitive.

    Examples
    ========

    >>> find_header((("ETag", '"a"'),), "etag")
    '"a"'

    """
    lower_name = name.lower()
    return next((value for key, value in headers if key.lower() == lower_name), None)
