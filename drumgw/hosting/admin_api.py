"""The administration API: a listener of its own, with authentication, an audit log and a bound on its calls.

What the operations are is said in api_operations.py, what each does in admin_handlers.py.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable

from aiohttp import web
from aiohttp.typedefs import Handler as HttpHandler
from loguru import logger

from drumgw.gateway.process_config import ConfigError
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
MAX_OPEN_CALLS = 16
KEEP_ALIVE_S = 10.0
LISTEN_BACKLOG = 64
STATUS_OF_FAULT = 500


class AdminApi:
    """The listener. Its authenticator is replaced when the operator's file is read again.

    Attributes:
        authenticator: knows the tokens.
        open_call_count: calls that are being served.
        app: the application with its routes.
    """

    def __init__(self, services: TenantServices, authenticator: Authenticator) -> None:
        self.authenticator = authenticator
        self.open_call_count = 0
        self._services = services
        self._handlers = AdminHandlers(services)
        self.app = web.Application(client_max_size=MAX_BODY_BYTES, middlewares=[self._guard])
        for operation in OPERATIONS:
            self.app.router.add_route(operation.method, operation.path, self._route_handler(operation))
        self._runner = web.AppRunner(self.app, access_log=None, keepalive_timeout=KEEP_ALIVE_S)

    async def open(self, address: tuple[str, int]) -> tuple[str, int]:
        """Listens, and returns the address that was bound; raises OSError where it cannot."""
        await self._runner.setup()
        site = web.TCPSite(self._runner, *address, backlog=LISTEN_BACKLOG)
        await site.start()
        bound = self._runner.addresses[0]
        return bound[0], bound[1]

    async def close(self) -> None:
        """Closes the listener and its connections."""
        await self._runner.cleanup()

    @web.middleware
    async def _guard(self, request: web.Request, handler: HttpHandler) -> web.StreamResponse:
        """Bounds the open calls, and turns whatever is raised into problem details.

        Guards the tenants' requests: a flood of calls, or bodies that are sent by halves, would else hold
        memory and time of the loop that serves them.
        """
        if self.open_call_count >= MAX_OPEN_CALLS:
            return problem_response(TooManyCallsError(MAX_OPEN_CALLS), {"Retry-After": "1"})
        self.open_call_count += 1
        try:
            return await handler(request)
        except ApiError as error:
            return problem_response(error)
        except web.HTTPException as error:
            return problem_response(HttpStatusError(error.status, error.reason), allowed_methods(error))
        except ConfigError as error:
            return problem_response(InvalidSpecError(str(error)))
        except Exception as error:
            logger.opt(exception=error).error("fault in the API: {!r}", error)
            return problem_response(InternalError())
        finally:
            self.open_call_count -= 1

    def _route_handler(self, operation: ApiOperation) -> Callable[[web.Request], Awaitable[web.Response]]:
        async def handle(request: web.Request) -> web.Response:
            if operation.is_public:
                return openapi_response()
            call = ApiCall(operation, request, self._authorize(operation, request))
            handler = HANDLERS[operation.permission]
            if operation.is_change:
                return await self._audited(call, handler)
            return await handler(self._handlers, call)

        return handle

    def _authorize(self, operation: ApiOperation, request: web.Request) -> ApiToken:
        caller = self.authenticator.authenticate(request.headers.get("Authorization"))
        if caller is None:
            raise AuthenticationRequiredError
        if not is_allowed(caller, operation.permission, request.match_info.get("tenant")):
            raise PermissionDeniedError(f"a {caller.role.value} may not {operation.permission.value} there")
        return caller

    async def _audited(self, call: ApiCall, handler: Handler) -> web.Response:
        """Logs a line for each requested change, without its body and without the token."""
        status = STATUS_OF_FAULT
        subject = call.request.match_info.get("tenant", "")
        try:
            if self._services.state_file is None:
                raise ReadOnlyError
            response = await handler(self._handlers, call)
            status = response.status
            subject = response.headers.get("Location", subject)
            return response
        except ApiError as error:
            status = error.status
            raise
        except ConfigError:
            status = InvalidSpecError.status
            raise
        finally:
            permission = call.operation.permission.value
            logger.info("audit: {} asked to {} {}: {}", call.caller.id, permission, subject, status)
