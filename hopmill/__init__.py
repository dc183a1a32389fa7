"""hopmill: a courier that delivers messages to destinations outside its control."""

from hopmill.policy.courier import Courier
from hopmill.interface import Settings

__all__ = ["Courier", "Settings"]
