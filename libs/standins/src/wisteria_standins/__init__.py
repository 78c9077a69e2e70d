"""Stand-ins for the platform and for backend servers, and a load generator."""

from .backend import Backend
from .behaviour import Behaviour, ChildCall, Rule, ServiceTime
from .client import Answer, Call, Client
from .content import compute_digest, make_etag
from .fleet import Fleet, FleetError
from .fleet_spec import Baseline, FleetSpec, Node, ServiceSpec
from .load import async_run_load
from .load_spec import (
    AGGRESSIVE_RETRIES,
    NO_RETRIES,
    ClosedLoop,
    Flow,
    LoadSpec,
    OpenLoop,
    Phase,
    RetryPolicy,
    Target,
)
from .platform import Fault, Platform
from .report import list_goodput, render_svg, render_table
from .results import Group, LoadResults

__all__ = [
    "AGGRESSIVE_RETRIES",
    "NO_RETRIES",
    "Answer",
    "Backend",
    "Baseline",
    "Behaviour",
    "Call",
    "ChildCall",
    "Client",
    "ClosedLoop",
    "Fault",
    "Fleet",
    "FleetError",
    "FleetSpec",
    "Flow",
    "Group",
    "LoadResults",
    "LoadSpec",
    "Node",
    "OpenLoop",
    "Phase",
    "Platform",
    "RetryPolicy",
    "Rule",
    "ServiceSpec",
    "ServiceTime",
    "Target",
    "async_run_load",
    "compute_digest",
    "list_goodput",
    "make_etag",
    "render_svg",
    "render_table",
]
