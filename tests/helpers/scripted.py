"""`RequestManager` whose orders a test writes.

In place of the decisions a script, in place of providers a hand that waits.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Any, cast

from limenotch.load_balancer import LoadBalancer
from limenotch.load_balancer_types import AttemptEnding, Command, Commands, PlacementHint
from limenotch.net.request import Attempt, FinalResponse, Request, RequestDetails, RequestInterceptor
from limenotch.net.requests import RequestManager
from limenotch.request_policy import RequestPolicy


class Script:
    """Stands for the facade: `picked` is ordered when a call comes, each of `then` when an attempt has ended."""

    def __init__(
        self, picked: Iterable[Command], then: Iterable[Iterable[Command]] = (), advice_ms: float = 0.0
    ) -> None:
        self.picked, self._then = list(picked), [list(orders) for orders in then]
        self.max_retry_after_ms, self.rejects_all = advice_ms, False
        self.hints: list[PlacementHint | None] = []
        self.told: list[tuple[Any, ...]] = []

    def deadline_ms(self, class_name: str) -> float:
        return 20_000.0

    def request_policy(self, class_name: str, keyed: bool = True) -> RequestPolicy:
        return RequestPolicy()

    def request_arrived(
        self,
        call: int,
        class_name: str,
        tenant: str,
        left_ms: float,
        resent: bool = False,
        once: bool = False,
        hint: PlacementHint | None = None,
        keyed: bool = True,
    ) -> Commands:
        self.hints.append(hint)
        return self.picked

    def attempt_finished(
        self, call: int, number: int, provider: str, spent_ms: float, ending: AttemptEnding, *more: Any
    ) -> Commands:
        self.told.append(("report", number, ending))
        return self._then.pop(0) if self._then else []

    def client_disconnected(self, call: int) -> Commands:
        self.told.append(("depart", call))
        return []

    def figures(self) -> dict[str, float]:
        return {}


class Hand:
    """An invoker whose attempts end when the test says so; one that is abandoned ends so at once."""

    def __init__(self) -> None:
        self.out: list[Attempt] = []
        self.calls: RequestManager

    def start(self, invoker_call: Attempt) -> None:
        self.out.append(invoker_call)

    def cancel(self, invoker_call: Attempt) -> None:
        self.calls.attempt_ended(invoker_call, AttemptEnding.CANCELLED)

    def end(self, number: int, ending: AttemptEnding = AttemptEnding.SERVED, payload: Any = b"body") -> None:
        self.calls.attempt_ended(self.out[number], ending, payload)


def calls_of(script: Script, *beside: RequestInterceptor, most: int = 9) -> tuple[RequestManager, Hand]:
    """To be called on a running loop."""
    calls, hand = RequestManager(cast(LoadBalancer, script), most), Hand()
    calls.attempt_runner, calls.interceptors, hand.calls = hand, beside, calls
    return calls, hand


def take(
    calls: RequestManager,
    answer: Callable[[FinalResponse], None],
    name: bytes = b"n",
    tenant: str = "acme",
    about: RequestDetails | None = None,
) -> Request:
    return calls.accept(name, None, "look", tenant, 9000.0, answer, details=about or RequestDetails())
