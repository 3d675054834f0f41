"""WSGI application that routes the HTTP requests of callers."""

from typing import Any

import werkzeug.exceptions
import werkzeug.routing
import werkzeug.wrappers

from bilberryturn import declarations
from bilberryturn import events
from bilberryturn import metrics
from bilberryturn.entry import bodies
from bilberryturn.entry import completions
from bilberryturn.entry import context
from bilberryturn.entry import exceptions
from bilberryturn.entry import exchange
from bilberryturn.entry import responses
from bilberryturn.entry import server
from bilberryturn.entry import services
from bilberryturn.entry import streams

PROFILE_HEADER = "X-Bilberryturn-Profile"
REQUEST_ID_HEADER = "X-Request-Id"
STOPPING_RETRY_AFTER_S = 1.0
ISOLATED_RETRY_AFTER_S = 10.0
DISCARD_LIMIT_FACTOR = 4
DISCARD_CHUNK_BYTES = 64 * 1024

ROUTES = werkzeug.routing.Map(
    [
        werkzeug.routing.Rule(
            "/v1/chat/completions", endpoint="model", methods=["POST"]
        ),
        werkzeug.routing.Rule(
            "/v1/completions", endpoint="model", methods=["POST"]
        ),
        werkzeug.routing.Rule(
            "/v1/embeddings", endpoint="model", methods=["POST"]
        ),
        werkzeug.routing.Rule("/v1/models", endpoint="models", methods=["GET"]),
        werkzeug.routing.Rule(
            "/services/<service>/", endpoint="service", defaults={"path": ""}
        ),
        werkzeug.routing.Rule(
            "/services/<service>/<path:path>", endpoint="service"
        ),
        werkzeug.routing.Rule("/healthz", endpoint="healthz", methods=["GET"]),
        werkzeug.routing.Rule("/readyz", endpoint="readyz", methods=["GET"]),
        werkzeug.routing.Rule("/metrics", endpoint="metrics", methods=["GET"]),
    ],
    strict_slashes=False,
    merge_slashes=False,
)

Request = werkzeug.wrappers.Request
Response = werkzeug.wrappers.Response


class Application:
    """WSGI application that serves callers."""

    def __init__(self, node: context.EntryContext):
        self._node = node

    def __call__(self, environ, start_response):
        """Handle one request."""
        request = Request(environ)
        response = self._respond(request)
        if self._node.is_draining:
            response.headers["Connection"] = "close"
        return response(environ, start_response)

    def _respond(self, request: Request) -> Response:
        adapter = ROUTES.bind_to_environ(request.environ)
        try:
            endpoint, arguments = adapter.match()
        except werkzeug.exceptions.MethodNotAllowed:
            return responses.error_response(
                exceptions.MethodNotAllowedError(), False
            )
        except werkzeug.exceptions.HTTPException:
            return responses.error_response(
                exceptions.UnknownRouteError(), False
            )
        if endpoint == "healthz":
            return Response("alive\n", mimetype="text/plain")
        if endpoint == "readyz":
            return self._readyz()
        if endpoint == "metrics":
            body, headers = metrics.render()
            return Response(body, headers=headers)
        return self._run_exchange(request, endpoint, arguments)

    def _readyz(self) -> Response:
        if self._node.is_draining:
            return Response("stopping\n", 503, mimetype="text/plain")
        if self._node.declared.version == 0:
            return Response("no declarations\n", 503, mimetype="text/plain")
        if not self._node.has_vm_list:
            return Response("no VM list\n", 503, mimetype="text/plain")
        return Response("ready\n", mimetype="text/plain")

    def _run_exchange(
        self, request: Request, endpoint: str, arguments: dict[str, Any]
    ) -> Response:
        """Run a request that is indexed, cancellable and traced."""
        node = self._node
        key = _caller_key(request)
        key_hash = node.hasher.hash(key) if key else ""
        http_exchange = exchange.Exchange(
            node.running.new_id(),
            key_hash,
            request.environ.get(server.CONNECTION_KEY),
        )
        if node.is_stopping:
            # Without an entry in the index, which the stop waits for.
            return self._refuse(http_exchange, _stopping_error())
        # The key must be looked up after the request has been added to the
        # index. A key withdrawn concurrently is then either missing from the
        # declarations, or the withdrawal finds and cancels the request.
        node.running.add(http_exchange)
        is_streaming = False
        try:
            self._admit(http_exchange)
            handler = getattr(self, f"_serve_{endpoint}")
            response = handler(request, http_exchange, key, **arguments)
            is_streaming = response.is_streamed
            response.headers[REQUEST_ID_HEADER] = http_exchange.request_id
            return response
        except exceptions.RequestError as error:
            return self._refuse(http_exchange, error)
        except Exception as error:
            events.log(
                events.REQUEST_FAILED,
                request_id=http_exchange.request_id,
                error=f"{type(error).__name__}: {error}",
            )
            return self._refuse(http_exchange, exceptions.RequestError())
        finally:
            if not is_streaming:
                node.running.remove(http_exchange)

    def _admit(self, http_exchange: exchange.Exchange) -> None:
        """Check that the node accepts new requests.

        Raises:
            RequestError: The node is stopping or at its request limit.
        """
        node = self._node
        if node.is_stopping:
            raise _stopping_error()
        limit = node.settings.limits.max_concurrent_requests
        if node.running.count() > limit:
            raise exceptions.OverloadedError(
                f"the node runs {limit} requests",
                retry_after_s=STOPPING_RETRY_AFTER_S,
            )

    def _refuse(
        self, http_exchange: exchange.Exchange, error: exceptions.RequestError
    ) -> Response:
        http_exchange.add_trace_step("error", code=error.code)
        metrics.add(metrics.REFUSALS, {"kind": error.code})
        exchange.log_end(http_exchange, error.code)
        response = responses.error_response(error, http_exchange.may_have_run)
        response.headers[REQUEST_ID_HEADER] = http_exchange.request_id
        return response

    def _authorize(
        self,
        http_exchange: exchange.Exchange,
        key: str,
        profile_name: str,
    ) -> None:
        """Set the account and the profile of a request.

        Raises:
            RequestError: The key or the profile does not allow the request.
        """
        declared = self._node.declared
        profile = declared.profiles.get(profile_name)
        account = declared.keys.get(http_exchange.key_hash) if key else None
        if profile is not None and profile.open_to_all:
            http_exchange.client_account = account or "open"
        else:
            self._check_key(key, account)
            http_exchange.client_account = account
        if profile is None:
            raise exceptions.UnknownProfileError(profile_name[:100])
        allowed = declared.client_accounts.get(
            http_exchange.client_account, declarations.models.ClientAccount()
        ).profiles
        if allowed and profile_name not in allowed:
            raise exceptions.ProfileNotAllowedError(profile_name)
        http_exchange.profile_name = profile_name
        http_exchange.profile = profile
        http_exchange.deadline_s = http_exchange.arrived_s + profile.deadline_s

    def _check_key(self, key: str, account: str | None) -> None:
        if not key:
            raise exceptions.MissingKeyError()
        if account is None:
            raise exceptions.UnknownKeyError()
        if self._node.is_isolated:
            raise exceptions.IsolatedError(retry_after_s=ISOLATED_RETRY_AFTER_S)

    def _read_body(self, request: Request) -> bytes:
        """Return the request body.

        Raises:
            RequestError: The body is larger than the limit.
        """
        limit = self._node.settings.limits.max_body_bytes
        if request.content_length is None:
            encoding = request.headers.get("Transfer-Encoding", "")
            if "chunked" not in encoding.lower():
                return b""
            body = request.environ["wsgi.input"].read(limit + 1)
            if len(body) > limit:
                raise exceptions.BodyTooLargeError(f"{limit} bytes at most")
            return body
        if request.content_length > limit:
            _discard(request, limit * DISCARD_LIMIT_FACTOR)
            raise exceptions.BodyTooLargeError(f"{limit} bytes at most")
        return request.get_data(cache=False)

    def _serve_model(
        self, request: Request, http_exchange: exchange.Exchange, key: str
    ) -> Response:
        route = request.path.removeprefix("/v1/")
        self._check_known_key(http_exchange, key)
        body = bodies.parse_model_request(route, self._read_body(request))
        profile_name, model = _profile_and_model(request, body)
        self._authorize(http_exchange, key, profile_name)
        models = self._allowed_models(http_exchange, model)
        bodies.check_key_absent(key, bodies.canonical(body.fields))
        run = completions.ModelRun(self._node, http_exchange, body, models)
        if body.is_stream:
            return self._start_stream(http_exchange, run)
        content, content_type = run.complete()
        exchange.log_end(http_exchange, "done", output_tokens=run.output_tokens)
        return Response(content, content_type=content_type)

    def _check_known_key(
        self, http_exchange: exchange.Exchange, key: str
    ) -> None:
        """Raise an error for an unknown key before the body is read."""
        if key and http_exchange.key_hash not in self._node.declared.keys:
            raise exceptions.UnknownKeyError()

    def _allowed_models(
        self, http_exchange: exchange.Exchange, model: str
    ) -> tuple[str, ...]:
        """Return the models that may serve a request.

        Args:
            http_exchange: Exchange of the request.
            model: Requested model; if empty, any model of the profile.
        """
        allowed = http_exchange.profile.models
        if not model:
            if not allowed:
                raise exceptions.UnknownModelError("the body names no model")
            return allowed
        if model not in allowed:
            raise exceptions.UnknownModelError(model[:100])
        return (model,)

    def _start_stream(
        self, http_exchange: exchange.Exchange, run: completions.ModelRun
    ) -> Response:
        """Start a streamed response after its first event has arrived.

        Until then an error can still be returned with its own HTTP status.
        """
        chunks = run.stream()
        first = next(chunks)
        response = Response(
            streams.Stream(self._node, http_exchange, run, first, chunks),
            content_type="text/event-stream",
            direct_passthrough=True,
        )
        response.headers["Cache-Control"] = "no-cache"
        return response

    def _serve_models(
        self, request: Request, http_exchange: exchange.Exchange, key: str
    ) -> Response:
        declared = self._node.declared
        account = declared.keys.get(http_exchange.key_hash) if key else None
        self._check_key(key, account)
        allowed = declared.client_accounts.get(
            account, declarations.models.ClientAccount()
        ).profiles
        names: dict[str, None] = {}
        for name, profile in declared.profiles.items():
            if allowed and name not in allowed:
                continue
            names[bodies.PROFILE_MODEL_PREFIX + name] = None
            names.update(dict.fromkeys(profile.models))
        data = [
            {"id": name, "object": "model", "created": 0,
             "owned_by": "bilberryturn"}
            for name in names
        ]  # fmt: skip
        return responses.json_response({"object": "list", "data": data})

    def _serve_service(
        self,
        request: Request,
        http_exchange: exchange.Exchange,
        key: str,
        service: str,
        path: str,
    ) -> Response:
        declared = self._node.declared.services.get(service)
        self._check_known_key(http_exchange, key)
        if declared is None:
            self._check_key(
                key, self._node.declared.keys.get(http_exchange.key_hash)
            )
            raise exceptions.UnknownServiceError(service[:100])
        self._authorize(http_exchange, key, declared.profile)
        idempotency_key = request.headers.get("Idempotency-Key", "")
        call = services.ServiceCall(
            service,
            request.method,
            path,
            request.query_string.decode("latin-1"),
            {k.lower(): v for k, v in request.headers.items()},
            self._read_body(request),
            idempotency_key,
        )
        services.check_call(call)
        services.check_key_absent(key, call)
        run = services.ServiceRun(self._node, http_exchange, call, declared)
        service_response = run.run()
        exchange.log_end(http_exchange, "done")
        response = Response(
            service_response.body,
            service_response.status,
            content_type=service_response.content_type,
        )
        if service_response.is_recorded:
            response.headers["Idempotent-Replayed"] = "true"
        return response


def _stopping_error() -> exceptions.StoppingError:
    return exceptions.StoppingError(retry_after_s=STOPPING_RETRY_AFTER_S)


def _discard(request: Request, max_bytes: int) -> None:
    """Drain a rejected body so that the caller can read the response."""
    stream = request.environ["wsgi.input"]
    remaining_bytes = min(request.content_length, max_bytes)
    while remaining_bytes > 0:
        data = stream.read(min(remaining_bytes, DISCARD_CHUNK_BYTES))
        if not data:
            return
        remaining_bytes -= len(data)


def _caller_key(request: Request) -> str:
    """Return the key of the Authorization header, or an empty string."""
    scheme, _, key = request.headers.get("Authorization", "").partition(" ")
    if scheme.lower() != "bearer":
        return ""
    return key.strip()


def _profile_and_model(
    request: Request, body: bodies.ModelRequest
) -> tuple[str, str]:
    """Return the profile name and the requested model, if any."""
    prefix = bodies.PROFILE_MODEL_PREFIX
    header = request.headers.get(PROFILE_HEADER, "")
    if body.model.startswith(prefix):
        return header or body.model.removeprefix(prefix), ""
    if not header:
        raise exceptions.UnknownProfileError(
            "none is given",
            f"Send {PROFILE_HEADER}: NAME or the model `{prefix}NAME`",
        )
    return header, body.model
