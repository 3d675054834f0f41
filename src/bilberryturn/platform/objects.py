"""Store large immutable values in the platform's object store."""

import expression

from bilberryturn.platform import exceptions
from bilberryturn.platform import http


class ObjectStore:
    """Client of the object store's HTTP interface."""

    def __init__(self, client: http.HttpClient):
        self._client = client

    def get(
        self, name: str
    ) -> expression.Result[bytes | None, exceptions.PlatformError]:
        """Return an object, or None if no object has that name."""
        result = self._client.call("GET", f"/objects/{name}")
        if result.is_error():
            return expression.Error(result.error)
        if result.ok.status == 404:
            return expression.Ok(None)
        if result.ok.status != 200:
            return expression.Error(
                exceptions.PlatformRefusedError("objects", result.ok.status)
            )
        return expression.Ok(result.ok.body)

    def put(
        self, name: str, content: bytes
    ) -> expression.Result[None, exceptions.PlatformError]:
        """Store an object."""
        result = self._client.call("PUT", f"/objects/{name}", raw=content)
        if result.is_error():
            return expression.Error(result.error)
        if result.ok.status not in (200, 201, 204):
            return expression.Error(
                exceptions.PlatformRefusedError("objects", result.ok.status)
            )
        return expression.Ok(None)
