"""The program's own settings: what operators of other installations may tune, as the structs of a TOML file.

They complement the platform's JSON (`config.py`), which says who a sidecar is and what its tier is like. Every
key has a default, which is what the platform's own sidecars run with. Unknown keys are errors. `settings_file.py`
reads them.
"""

from __future__ import annotations

from typing import Annotated, Any, Literal

from msgspec import Meta, Struct, field

Seconds = Annotated[float, Meta(gt=0, le=3600)]
Part = Annotated[float, Meta(gt=0, lt=1)]


class LogSettings(Struct, frozen=True, forbid_unknown_fields=True):
    """The table `[log]`."""

    form: Literal["human", "json"] = "human"
    level: Literal["debug", "info", "warning", "error"] = "info"


class ClientSettings(Struct, frozen=True, forbid_unknown_fields=True):
    """The table `[consumers]`: timeouts of clients' connections, and `body_rate` in bytes a second."""

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
    """The table `[providers]`: times of endpoints' connections, and which part of their idle timeout is used."""

    idle_part: Part = 0.4
    settle_s: Seconds = 0.01
    answer_s: Seconds = 0.5
    stall_s: Seconds = 10.0


class DiscoverySettings(Struct, frozen=True, forbid_unknown_fields=True):
    """The table `[directory]`: after how long a silence a watch on discovery counts as failed."""

    silence_s: Seconds = 2.5


class DescriptorSettings(Struct, frozen=True, forbid_unknown_fields=True):
    """The table `[descriptors]`: how the process's limit of file descriptors is divided."""

    reserve: Annotated[int, Meta(ge=16, le=512)] = 24
    client_part: Part = field(default=0.5, name="for_consumers")  # of what the reserve leaves, to clients


class Settings(Struct, frozen=True, forbid_unknown_fields=True):
    """All tables of the file."""

    log: LogSettings = LogSettings()
    clients: ClientSettings = field(default=ClientSettings(), name="consumers")
    endpoints: EndpointSettings = field(default=EndpointSettings(), name="providers")
    discovery: DiscoverySettings = field(default=DiscoverySettings(), name="directory")
    descriptors: DescriptorSettings = DescriptorSettings()
    fleet: Any = None  # fleet.settings.Fleet where the file has that table; otherwise nothing of the fleet is imported
