"""HTTP client of a router, for demos, tests and benchmarks."""

import http.client
import json
import ssl
import time
from typing import Any

TIMEOUT_S = 60.0


class Answer:
    """The response to one request, filled in as it arrives.

    Attributes:
        text: Content received so far.
        complete: Whether the response ended without an error.
        first_token_s: Time to the first token, or None if none arrived.
        token_times_s: Arrival time of each token since the request was sent.
    """

    def __init__(self):
        self.status = 0
        self.headers: dict[str, str] = {}
        self.body = b""
        self.text = ""
        self.events: list[dict] = []
        self.error: dict[str, Any] | None = None
        self.complete = False
        self.first_token_s: float | None = None
        self.token_times_s: list[float] = []
        self.total_s = 0.0
        self.failure = ""

    @property
    def code(self) -> str:
        """Return the error code, or an empty string."""
        return (self.error or {}).get("code", "")

    @property
    def ran(self) -> str:
        """Return whether the request was executed, as the error states."""
        return (self.error or {}).get("ran", "")

    def json(self) -> Any:
        """Return the body decoded as JSON."""
        return json.loads(self.body)


class Caller:
    """Sends requests to one router, over a new connection for each."""

    def __init__(
        self,
        address: str,
        key: str = "",
        profile: str = "",
        timeout_s: float = TIMEOUT_S,
        tls: ssl.SSLContext | None = None,
    ):
        self.address = address
        self.key = key
        self.profile = profile
        self.timeout_s = timeout_s
        self.tls = tls

    def connect(self) -> http.client.HTTPConnection:
        """Return a new connection, with TLS if configured."""
        host, port = self.address.rsplit(":", 1)
        if self.tls is not None:
            return http.client.HTTPSConnection(
                host, int(port), timeout=self.timeout_s, context=self.tls
            )
        return http.client.HTTPConnection(
            host, int(port), timeout=self.timeout_s
        )

    def headers(self) -> dict[str, str]:
        """Return the headers sent with every request."""
        headers = {"Content-Type": "application/json"}
        if self.key:
            headers["Authorization"] = f"Bearer {self.key}"
        if self.profile:
            headers["X-Bilberryturn-Profile"] = self.profile
        return headers

    def request(
        self,
        method: str,
        path: str,
        body: bytes | None = None,
        headers: dict[str, str] | None = None,
        on_token=None,
        connection: http.client.HTTPConnection | None = None,
    ) -> Answer:
        """Send one request and read the complete response.

        Args:
            method: HTTP method.
            path: Path and query.
            body: Body or None.
            headers: Headers to add to those sent with every request.
            on_token: Called with the partial answer after each token.
            connection: Persistent connection to use, which stays open; None
                opens a new one.

        Returns:
            The answer; `failure` is set if the connection failed.
        """
        answer = Answer()
        started_s = time.monotonic()
        owns_connection = connection is None
        connection = connection or self.connect()
        try:
            connection.request(
                method, path, body, {**self.headers(), **(headers or {})}
            )
            response = connection.getresponse()
            answer.status = response.status
            answer.headers = {k.lower(): v for k, v in response.getheaders()}
            content_type = answer.headers.get("content-type", "")
            if content_type.startswith("text/event-stream"):
                self._read_stream(response, answer, started_s, on_token)
            else:
                self._read_body(response, answer)
        except (OSError, http.client.HTTPException) as error:
            answer.failure = f"{type(error).__name__}: {error}"
        finally:
            answer.total_s = time.monotonic() - started_s
            if owns_connection:
                connection.close()
        return answer

    def _read_body(self, response, answer: Answer) -> None:
        answer.body = response.read()
        answer.complete = response.status == 200
        try:
            decoded = json.loads(answer.body)
        except ValueError:
            return
        if not isinstance(decoded, dict):
            return
        answer.error = decoded.get("error")
        choices = decoded.get("choices") or [{}]
        message = choices[0].get("message") or {}
        answer.text = message.get("content") or choices[0].get("text") or ""

    def _read_stream(self, response, answer, started_s, on_token) -> None:
        for line in response:
            if not line.startswith(b"data: "):
                continue
            data = line[6:].strip()
            if data == b"[DONE]":
                answer.complete = answer.error is None
                continue
            event = json.loads(data)
            answer.events.append(event)
            if "error" in event:
                answer.error = event["error"]
                continue
            text = "".join(
                (choice.get("delta") or {}).get("content")
                or choice.get("text")
                or ""
                for choice in event.get("choices", [])
            )
            if not text:
                continue
            now_s = time.monotonic() - started_s
            if answer.first_token_s is None:
                answer.first_token_s = now_s
            answer.token_times_s.append(now_s)
            answer.text += text
            if on_token is not None:
                on_token(answer)

    def chat(
        self,
        prompt: str,
        max_tokens: int | None = None,
        stream: bool = True,
        model: str = "",
        on_token=None,
        **fields: Any,
    ) -> Answer:
        """Send a chat completion request."""
        return self.request(
            "POST",
            "/v1/chat/completions",
            json.dumps(
                chat_body(prompt, max_tokens, stream, model, **fields)
            ).encode(),
            on_token=on_token,
        )

    def call_service(
        self,
        service: str,
        path: str,
        body: bytes = b"{}",
        method: str = "POST",
        idempotency_key: str = "",
    ) -> Answer:
        """Call a service that is not a model engine."""
        headers = {}
        if idempotency_key:
            headers["Idempotency-Key"] = idempotency_key
        return self.request(
            method, f"/services/{service}/{path}", body, headers
        )


def chat_body(
    prompt: str, max_tokens=None, stream=True, model="", **fields
) -> dict[str, Any]:
    """Return the body of a chat completion request."""
    body: dict[str, Any] = {
        "messages": [{"role": "user", "content": prompt}],
        "stream": stream,
        **fields,
    }
    if model:
        body["model"] = model
    if max_tokens is not None:
        # With ignore_eos, the stand-in engines generate exactly max_tokens.
        body["max_tokens"] = max_tokens
        body["ignore_eos"] = True
    return body
