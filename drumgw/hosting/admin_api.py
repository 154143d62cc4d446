"""The HTTP server of the administration API: routing, authorization, audit log and limits.

It has a listener of its own. The operations are declared in api_operations.py and implemented in
admin_handlers.py.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import cast

from aiohttp import web
from aiohttp.typedefs import Handler as HttpHandler
from aiohttp.web_protocol import RequestPayloadError
from loguru import logger

from drumgw.gateway.bounded_connection import BoundedConnection, status_of_payload_error
from drumgw.gateway.process_config import MAX_HEAD_BYTES, ConfigError
from drumgw.gateway.receive_budget import MAX_FIELDS, memory_of
from drumgw.hosting.admin_connections import AdminAppRunner
from drumgw.hosting.admin_handlers import HANDLERS, AdminHandlers, ApiCall, Handler, openapi_response
from drumgw.hosting.api_operations import OPERATIONS, ApiOperation
from drumgw.hosting.authentication import ApiToken, Authenticator, is_allowed
from drumgw.hosting.errors import (
    ApiError,
    AuthenticationRequiredError,
    HttpStatusError,
    InternalError,
    InvalidSpecError,
    PermissionDeniedError,
    ReadOnlyError,
    TooManyCallsError,
)
from drumgw.hosting.problem_details import allowed_methods, problem_response
from drumgw.hosting.tenant_services import TenantServices

MAX_BODY_BYTES = 256 * 1024
MAX_CONCURRENT_CALLS = 16
MAX_UNANSWERED_BYTES = MAX_CONCURRENT_CALLS * memory_of(MAX_HEAD_BYTES + MAX_BODY_BYTES, MAX_FIELDS, 1)
MAX_UNSENT_BYTES = MAX_CONCURRENT_CALLS * 1024 * 1024
KEEP_ALIVE_S = 10.0
LISTEN_BACKLOG = 64
UNHANDLED_EXCEPTION_STATUS = 500


class AdminApi:
    """The listener of the API and its application.

    Attributes:
        authenticator: checks the callers' tokens; replaced when the host file is read again.
        open_call_count: the number of calls in progress, at most MAX_CONCURRENT_CALLS.
        app: the aiohttp application with its routes.
    """

    def __init__(self, services: TenantServices, authenticator: Authenticator) -> None:
        self.authenticator = authenticator
        self.open_call_count = 0
        self._services = services
        self._handlers = AdminHandlers(services)
        self.app = web.Application(
            client_max_size=MAX_BODY_BYTES, middlewares=[self._limit_calls_and_convert_errors]
        )
        for operation in OPERATIONS:
            self.app.router.add_route(operation.method, operation.path, self._route_handler(operation))
        self._runner = AdminAppRunner(
            self.app,
            max_unanswered_bytes=MAX_UNANSWERED_BYTES,
            max_unsent_bytes=MAX_UNSENT_BYTES,
            access_log=None,
            keepalive_timeout=KEEP_ALIVE_S,
        )

    async def open(self, address: tuple[str, int]) -> tuple[str, int]:
        """Starts listening and returns the bound address; raises OSError if it cannot be bound."""
        await self._runner.setup()
        site = web.TCPSite(self._runner, *address, backlog=LISTEN_BACKLOG)
        await site.start()
        bound = self._runner.addresses[0]
        return bound[0], bound[1]

    async def close(self) -> None:
        """Stops listening, and closes the connections of callers."""
        await self._runner.cleanup()

    @web.middleware
    async def _limit_calls_and_convert_errors(
        self, request: web.Request, handler: HttpHandler
    ) -> web.StreamResponse:
        """Limits the concurrent calls and converts exceptions to problem details.

        The API shares its event loop with the tenants' requests: without the limit, a flood of calls or of
        incomplete bodies would take up memory and time that those requests need.
        """
        if self.open_call_count >= MAX_CONCURRENT_CALLS:
            return problem_response(TooManyCallsError(MAX_CONCURRENT_CALLS), {"Retry-After": "1"})
        self.open_call_count += 1
        try:
            return await handler(request)
        except ApiError as error:
            return problem_response(error)
        except web.HTTPException as error:
            return problem_response(HttpStatusError(error.status, error.reason), allowed_methods(error))
        except RequestPayloadError as error:
            return problem_response(
                HttpStatusError(status_of_payload_error(error), "The body cannot be read")
            )
        except ConfigError as error:
            return problem_response(InvalidSpecError(str(error)))
        except Exception as error:
            logger.opt(exception=error).error("unhandled exception in the administration API: {!r}", error)
            return problem_response(InternalError())
        finally:
            self.open_call_count -= 1
            cast(BoundedConnection, request.protocol).release_answered()

    def _route_handler(self, operation: ApiOperation) -> Callable[[web.Request], Awaitable[web.Response]]:
        async def handle(request: web.Request) -> web.Response:
            if operation.is_public:
                return openapi_response()
            call = ApiCall(operation, request, self._authorize(operation, request))
            handler = HANDLERS[operation.permission]
            if operation.is_change:
                return await self._run_audited(call, handler)
            return await handler(self._handlers, call)

        return handle

    def _authorize(self, operation: ApiOperation, request: web.Request) -> ApiToken:
        caller = self.authenticator.authenticate(request.headers.get("Authorization"))
        if caller is None:
            raise AuthenticationRequiredError
        if not is_allowed(caller, operation.permission, request.match_info.get("tenant")):
            raise PermissionDeniedError(
                f"role {caller.role.value} lacks permission '{operation.permission.value}' on this resource"
            )
        return caller

    async def _run_audited(self, call: ApiCall, handler: Handler) -> web.Response:
        """Runs a handler that makes a change, and writes an audit log line whether it succeeds or fails.

        The line contains neither the request body nor the token.
        """
        status = UNHANDLED_EXCEPTION_STATUS
        resource = call.request.match_info.get("tenant", "")
        try:
            if self._services.state_file is None:
                raise ReadOnlyError
            response = await handler(self._handlers, call)
            status = response.status
            resource = response.headers.get("Location", resource)
            return response
        except ApiError as error:
            status = error.status
            raise
        except ConfigError:
            status = InvalidSpecError.status
            raise
        finally:
            permission = call.operation.permission.value
            logger.info("audit: {} asked to {} {}: {}", call.caller.id, permission, resource, status)
