"""Stand-ins for the platform's services, for tests and demonstrations."""

from trefoilpitch.standins._engine import EngineStandIn, open_engine_stand_in
from trefoilpitch.standins._engine_types import EngineSettings
from trefoilpitch.standins._event_loop import (
    EventLoopClock,
    UndelayedEventLoop,
    event_loop_ms,
    run_undelayed,
)
from trefoilpitch.standins._faults import Fault
from trefoilpitch.standins._kv import KvServer, kv_server
from trefoilpitch.standins._platform_client import send
from trefoilpitch.standins._platform_config import config_document
from trefoilpitch.standins._platform_store import (
    PlatformStoreCopy,
    PlatformStoreStandIn,
)
from trefoilpitch.standins._platform_worker import (
    PlatformWorkerStandIn,
    WorkerFault,
    WorkerRun,
)
from trefoilpitch.standins._ports import free_port
from trefoilpitch.standins._rating import (
    RatingSettings,
    RatingStandIn,
    open_rating_stand_in,
)
from trefoilpitch.standins._service import (
    ServiceStandIn,
    open_service_stand_in,
)
from trefoilpitch.standins._service_types import ServiceSettings
from trefoilpitch.standins._vm_list import VmListServer, vm_list_server

__all__ = [
    "EngineSettings",
    "EngineStandIn",
    "EventLoopClock",
    "Fault",
    "KvServer",
    "PlatformStoreStandIn",
    "PlatformStoreCopy",
    "PlatformWorkerStandIn",
    "RatingSettings",
    "RatingStandIn",
    "ServiceSettings",
    "ServiceStandIn",
    "UndelayedEventLoop",
    "VmListServer",
    "WorkerFault",
    "WorkerRun",
    "config_document",
    "event_loop_ms",
    "free_port",
    "kv_server",
    "open_engine_stand_in",
    "open_rating_stand_in",
    "open_service_stand_in",
    "run_undelayed",
    "send",
    "vm_list_server",
]
