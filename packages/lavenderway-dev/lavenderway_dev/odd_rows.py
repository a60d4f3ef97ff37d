"""Rows that another writer may leave among the host records."""

ODD_ROWS = (
    b"",
    b"\xff\xfe",
    b"[" * 100_000,
    b'{"a":' * 5_000,
    b"1e999",
    b'{"host":"odd","address":"10.0.0.1:99999","domain":"east","serving":true,'
    b'"started":1}',
    b'{"host":"odd","address":"10.0.0.1:80","domain":"east","serving":true,'
    b'"started":1e999}',
    b'{"host":"odd","address":"10.0.0.1:80","domain":"east","serving":true,'
    b'"started":1,"upstream":{"id":"i","service":"s","address":"10.0.0.1:81",'
    b'"slots":1e400,"status":"ready","born":1,"sequence":' + b"9" * 400 + b"}}",
)
