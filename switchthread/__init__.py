"""switchthread: the decisions of a load balancer for services that call services."""

from .decide import Balancer

__all__ = ["Balancer"]
