"""The program's own settings: what operators of other installations may tune, as the structs of a TOML file.

They complement the platform's JSON configuration (`config.py`), which describes a sidecar and its tier. Every key has
a default, which is the value that the platform's own sidecars use. Unknown keys are errors. `settings_file.py` reads
the file.
"""

from __future__ import annotations

from typing import Annotated, Any, Literal

from msgspec import Meta, Struct, field

Seconds = Annotated[float, Meta(gt=0, le=3600)]
Fraction = Annotated[float, Meta(gt=0, lt=1)]


class LogSettings(Struct, frozen=True, forbid_unknown_fields=True):
    """The table `[log]`."""

    form: Literal["human", "json"] = "human"
    level: Literal["debug", "info", "warning", "error"] = "info"


class ClientSettings(Struct, frozen=True, forbid_unknown_fields=True):
    """The table `[consumers]`: timeouts of clients' connections, and the minimum rate of bodies.

    Seconds: `request_s` for a request's head, `body_s` for a body in addition to what `body_rate` (bytes a second)
    allows, `idle_s` for the next request, `write_s` in which a client reads nothing of its response, see
    `net/slow_peers.py`; after SIGTERM, `accept_s` for accepting connections and `keep_s` for keeping idle ones.
    """

    request_s: Seconds = 2.6
    body_s: Seconds = 2.4
    body_rate: Annotated[float, Meta(gt=0)] = 32768.0
    idle_s: Seconds = 2.5
    write_s: Seconds = 5.0
    accept_s: Seconds = 0.5
    keep_s: Seconds = 1.8

    def __post_init__(self) -> None:
        """Raises ValueError on values that contradict each other."""
        if self.keep_s < self.accept_s:
            raise ValueError("keep_s: expected accept_s or more")


class EndpointSettings(Struct, frozen=True, forbid_unknown_fields=True):
    """The table `[providers]`: timeouts of connections to endpoints.

    `idle_part` is the fraction of the endpoints' idle timeout after which an idle connection is closed here. Seconds:
    `settle_s` between a response and the next request, `answer_s` and `stall_s` between two pieces of a response that
    is buffered or being forwarded; one that may be long is forwarded before `answer_s` can end it.
    """

    idle_part: Fraction = 0.4
    settle_s: Seconds = 0.01
    answer_s: Seconds = 0.5
    stall_s: Seconds = 10.0


class DiscoverySettings(Struct, frozen=True, forbid_unknown_fields=True):
    """The table `[directory]`: seconds without a line after which a watch of discovery counts as failed."""

    silence_s: Seconds = 2.5


class DescriptorSettings(Struct, frozen=True, forbid_unknown_fields=True):
    """The table `[descriptors]`: how the process's file descriptors are divided; `reserve` is for all other uses."""

    reserve: Annotated[int, Meta(ge=16, le=512)] = 24
    # Of the descriptors that are not reserved, the fraction for clients' connections.
    client_fraction: Fraction = field(default=0.5, name="for_consumers")


class Settings(Struct, frozen=True, forbid_unknown_fields=True):
    """All tables of the file."""

    log: LogSettings = LogSettings()
    clients: ClientSettings = field(default=ClientSettings(), name="consumers")
    endpoints: EndpointSettings = field(default=EndpointSettings(), name="providers")
    discovery: DiscoverySettings = field(default=DiscoverySettings(), name="directory")
    descriptors: DescriptorSettings = DescriptorSettings()
    fleet: Any = None  # fleet.settings.Fleet if the file has this table; otherwise no module of the fleet is imported
