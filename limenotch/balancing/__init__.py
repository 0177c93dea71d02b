"""The decisions of a load balancer between services: events in, actions out, without I/O or a clock."""

from .balancer import Balancer

__all__ = ["Balancer"]
