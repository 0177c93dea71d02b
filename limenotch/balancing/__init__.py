"""The decisions of a load balancer: it takes events and returns actions, and neither does I/O nor reads a clock."""

from .balancer import Balancer

__all__ = ["Balancer"]
