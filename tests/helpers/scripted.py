"""`Calls` whose orders a test writes: in place of the decisions a script, in place of providers a hand that waits."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Any, cast

from limenotch.load_balancer import Ending, Facade, Hint, Order, Orders
from limenotch.net.request import About, Beside, Call, Final, InvokerCall
from limenotch.net.requests import Calls
from limenotch.request_policy import Permits


class Script:
    """Stands for the facade: `picked` is ordered when a call comes, each of `then` when an attempt has ended."""

    def __init__(self, picked: Iterable[Order], then: Iterable[Iterable[Order]] = (), advice_ms: float = 0.0) -> None:
        self.picked, self._then = list(picked), [list(orders) for orders in then]
        self.most_advice_ms, self.shut = advice_ms, False
        self.hints: list[Hint | None] = []
        self.told: list[tuple[Any, ...]] = []

    def longest_ms(self, class_name: str) -> float:
        return 20_000.0

    def permits(self, class_name: str, keyed: bool = True) -> Permits:
        return Permits()

    def pick(
        self,
        call: int,
        class_name: str,
        tenant: str,
        left_ms: float,
        resent: bool = False,
        once: bool = False,
        hint: Hint | None = None,
        keyed: bool = True,
    ) -> Orders:
        self.hints.append(hint)
        return self.picked

    def report(self, call: int, number: int, provider: str, spent_ms: float, ending: Ending, *more: Any) -> Orders:
        self.told.append(("report", number, ending))
        return self._then.pop(0) if self._then else []

    def depart(self, call: int) -> Orders:
        self.told.append(("depart", call))
        return []

    def figures(self) -> dict[str, float]:
        return {}


class Hand:
    """An invoker whose attempts end when the test says so; one that is abandoned ends so at once."""

    def __init__(self) -> None:
        self.out: list[InvokerCall] = []
        self.calls: Calls

    def make(self, invoker_call: InvokerCall) -> None:
        self.out.append(invoker_call)

    def abandon(self, invoker_call: InvokerCall) -> None:
        self.calls.ended(invoker_call, Ending.ABANDONED)

    def end(self, number: int, ending: Ending = Ending.SERVED, payload: Any = b"body") -> None:
        self.calls.ended(self.out[number], ending, payload)


def calls_of(script: Script, *beside: Beside, most: int = 9) -> tuple[Calls, Hand]:
    """To be called on a running loop."""
    calls, hand = Calls(cast(Facade, script), most), Hand()
    calls.invoker, calls.beside, hand.calls = hand, beside, calls
    return calls, hand


def take(
    calls: Calls, answer: Callable[[Final], None], name: bytes = b"n", tenant: str = "acme", about: About | None = None
) -> Call:
    return calls.take(name, None, "look", tenant, 9000.0, answer, about=about or About())
