"""The API that operators use."""

from trefoilpitch.administration._api import AdminApi, AdminServices
from trefoilpitch.administration._status import FleetStatus, fleet_status

__all__ = ["AdminApi", "AdminServices", "FleetStatus", "fleet_status"]
