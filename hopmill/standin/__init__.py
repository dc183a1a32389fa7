"""Stand-ins on loopback for what surrounds a courier: partners, discovery, clients and the platform."""

from hopmill.standin.client import Client
from hopmill.standin.courier import CourierProcess, free_port
from hopmill.standin.discovery import Discovery
from hopmill.standin.ledger import Ledger, Result
from hopmill.standin.load import LoadGenerator
from hopmill.standin.partner import Partner, PartnerEndpoint, PartnerSettings

__all__ = [
    "Client",
    "CourierProcess",
    "Discovery",
    "Ledger",
    "LoadGenerator",
    "Partner",
    "PartnerEndpoint",
    "PartnerSettings",
    "Result",
    "free_port",
]
