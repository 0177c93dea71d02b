"""A `RequestManager` with fakes: a load balancer with scripted commands, and attempts that the test ends."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Any, cast

from limenotch.load_balancer import LoadBalancer
from limenotch.load_balancer_types import AttemptEnding, Command, Commands, PlacementHint
from limenotch.net.request import Attempt, FinalResponse, Request, RequestDetails, RequestInterceptor
from limenotch.net.requests import RequestManager
from limenotch.request_policy import RequestPolicy


class ScriptedLoadBalancer:
    """A fake load balancer that records what is reported to it.

    It returns `first_commands` for a request, and the next of `later_commands` for each attempt that ends.
    """

    def __init__(
        self,
        first_commands: Iterable[Command],
        later_commands: Iterable[Iterable[Command]] = (),
        retry_after_ms: float = 0.0,
    ) -> None:
        self.first_commands, self._later_commands = (
            list(first_commands),
            [list(commands) for commands in later_commands],
        )
        self.max_retry_after_ms, self.rejects_all = retry_after_ms, False
        self.hints: list[PlacementHint | None] = []
        self.reported: list[tuple[Any, ...]] = []

    def reserve_retry(self, request: int) -> bool:
        return True

    def deadline_ms(self, class_name: str) -> float:
        return 20_000.0

    def request_policy(self, class_name: str, has_idempotency_key: bool = True) -> RequestPolicy:
        return RequestPolicy()

    def request_arrived(
        self,
        request: int,
        class_name: str,
        tenant: str,
        budget_ms: float,
        is_retry: bool = False,
        single_use_body: bool = False,
        hint: PlacementHint | None = None,
        has_idempotency_key: bool = True,
    ) -> Commands:
        self.hints.append(hint)
        return self.first_commands

    def attempt_finished(
        self, request: int, attempt: int, endpoint: str, elapsed_ms: float, ending: AttemptEnding, *rest: Any
    ) -> Commands:
        self.reported.append(("report", attempt, ending))
        return self._later_commands.pop(0) if self._later_commands else []

    def client_disconnected(self, request: int) -> Commands:
        self.reported.append(("depart", request))
        return []

    def decision_metrics(self) -> dict[str, float]:
        return {}


class ManualAttemptRunner:
    """An attempt runner whose attempts end when the test calls `end`. Cancelled attempts end at once."""

    def __init__(self) -> None:
        self.started: list[Attempt] = []
        self.request_manager: RequestManager

    def start(self, attempt: Attempt) -> None:
        self.started.append(attempt)

    def cancel(self, attempt: Attempt) -> None:
        self.request_manager.attempt_ended(attempt, AttemptEnding.CANCELLED)

    def end(self, attempt: int, ending: AttemptEnding = AttemptEnding.SERVED, payload: Any = b"body") -> None:
        self.request_manager.attempt_ended(self.started[attempt], ending, payload)


def make_request_manager(
    load_balancer: ScriptedLoadBalancer, *interceptors: RequestInterceptor, max_open_requests: int = 9
) -> tuple[RequestManager, ManualAttemptRunner]:
    """Create both; to be called in a running event loop."""
    request_manager, runner = (
        RequestManager(cast(LoadBalancer, load_balancer), max_open_requests),
        ManualAttemptRunner(),
    )
    request_manager.attempt_runner, request_manager.interceptors, runner.request_manager = (
        runner,
        interceptors,
        request_manager,
    )
    return request_manager, runner


def accept_request(
    request_manager: RequestManager,
    on_final: Callable[[FinalResponse], None],
    request_id: bytes = b"n",
    tenant: str = "acme",
    details: RequestDetails | None = None,
) -> Request:
    return request_manager.accept(
        request_id, None, "look", tenant, 9000.0, on_final, details=details or RequestDetails()
    )
