"""Read and change rows of the platform's transactional table service."""

from typing import Any
from typing import NamedTuple
import urllib.parse

import expression

from bilberryturn.platform import exceptions
from bilberryturn.platform import http
from bilberryturn.platform import store_era

SCAN_PAGE_ROWS = 500


Version = int | store_era.RowVersion


class Row(NamedTuple):
    """A row; version 0 means that it does not exist."""

    key: str
    version: Version
    value: Any


class Committed(NamedTuple):
    """Result of a transaction that took effect.

    Attributes:
        versions: New version of each row that was checked and written.
    """

    versions: dict[str, Version]


class Aborted(NamedTuple):
    """Result of a transaction without effect: a checked row had changed."""

    keys: tuple[str, ...]


class TableService:
    """Client of the table service's HTTP interface.

    Attributes:
        era: None, as this service is never restored from a copy.
    """

    era: int | None = None

    def __init__(self, client: http.HttpClient):
        self._client = client

    def read(
        self, key: str
    ) -> expression.Result[Row, exceptions.PlatformError]:
        """Return a row."""
        path = "/v1/rows/" + urllib.parse.quote(key, safe="/")
        result = self._client.call_json("GET", path)
        if result.is_error():
            return expression.Error(result.error)
        response = result.ok
        return expression.Ok(Row(key, response["version"], response["value"]))

    def scan(
        self, prefix: str, after: str = "", limit: int = 0
    ) -> expression.Result[list[Row], exceptions.PlatformError]:
        """Return the rows whose key starts with a prefix, in key order.

        Args:
            prefix: Prefix of the keys.
            after: Only keys greater than this one.
            limit: Maximum number of rows to return; 0 for all.
        """
        rows: list[Row] = []
        while True:
            page_size = (
                min(SCAN_PAGE_ROWS, limit - len(rows))
                if limit
                else (SCAN_PAGE_ROWS)
            )
            query = urllib.parse.urlencode(
                {"prefix": prefix, "after": after, "limit": page_size}
            )
            result = self._client.call_json("GET", f"/v1/rows?{query}")
            if result.is_error():
                return expression.Error(result.error)
            page_rows = [
                Row(r["key"], r["version"], r["value"])
                for r in result.ok["rows"]
            ]
            rows.extend(page_rows)
            if len(page_rows) < page_size or len(rows) == limit:
                return expression.Ok(rows)
            after = rows[-1].key

    def transact(
        self, checks: dict[str, Version], writes: dict[str, Any]
    ) -> expression.Result[Committed | Aborted, exceptions.PlatformError]:
        """Write rows if every checked row still has the given version.

        Args:
            checks: Expected version by key; 0 for a row that must not exist.
            writes: New value by key.

        Returns:
            Committed or Aborted; PlatformUnreachableError if it is unknown
            whether the transaction took effect.
        """
        result = self._client.call(
            "POST", "/v1/transact", {"checks": checks, "writes": writes}
        )
        if result.is_error():
            return expression.Error(result.error)
        response = result.ok
        if response.status == 409:
            failed = tuple(f["key"] for f in response.json()["failed"])
            return expression.Ok(Aborted(failed))
        if response.status != 200:
            return expression.Error(
                exceptions.PlatformRefusedError("table", response.status)
            )
        return expression.Ok(
            Committed({key: checks[key] + 1 for key in writes if key in checks})
        )

    def insert(
        self, key: str, value: Any
    ) -> expression.Result[Committed | Aborted, exceptions.PlatformError]:
        """Insert a row if it does not exist."""
        return self.transact({key: 0}, {key: value})
