"""Hop-by-hop header fields, which a proxy must not forward."""

# RFC 9110, section 7.6.1, and obsolete fields that some clients still send.
HOP_BY_HOP = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    }
)
