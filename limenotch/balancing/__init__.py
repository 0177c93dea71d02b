"""The decisions of a load balancer for services that call services."""

from .balancer import Balancer

__all__ = ["Balancer"]
