"""The fault plan of a run: a pure function of the seed."""

from __future__ import annotations

import dataclasses
import enum
import random

from tools.soak._proxy import LinkFault
from trefoilpitch.standins import WorkerFault

# Phases with faults and without alternate. A recovery phase is long enough for
# the last fault to end, then for the time after which a daemon counts as
# undisturbed, then for the longest time bound; guarantees with a time bound
# are checked in the rest of it.
FAULT_PHASE_MS = 6_000
RECOVERY_PHASE_MS = 12_000
_MEAN_STEP_INTERVAL_MS = 250
_MIN_DURATION_MS = 200
_MAX_DURATION_MS = 2_500


class Action(enum.Enum):
    """What a step does; the value appears in the report."""

    # On daemons.
    KILL = "kill"
    KILL_ALL = "kill_all"
    TERMINATE = "terminate"
    PAUSE = "pause"
    RELOAD = "reload"
    STORE_LINK = "store_link"
    # On the store.
    STORE_UNAVAILABLE = "store_refuses"
    STORE_DROPS_RESPONSES = "store_loses_answers"
    STORE_LOSES_HISTORY = "store_forgets"
    STORE_RESTORED = "store_restored"
    # On workers.
    WORKER_LINK = "worker_link"
    WORKER_FAULTS = "worker_faults"
    REPLACE_WORKER = "replace_worker"
    # By the operator.
    CONFIGURE = "configure"
    EVACUATE = "evacuate"


# Steps that are drawn apart, once a fault phase, so that a seed's other steps
# stay as they were.
_ONCE_A_PHASE = Action.STORE_RESTORED
_WEIGHTS = {
    Action.KILL: 3,
    Action.KILL_ALL: 1,
    Action.TERMINATE: 3,
    Action.PAUSE: 3,
    Action.RELOAD: 1,
    Action.STORE_LINK: 4,
    Action.STORE_UNAVAILABLE: 2,
    Action.STORE_DROPS_RESPONSES: 2,
    Action.STORE_LOSES_HISTORY: 1,
    Action.WORKER_LINK: 4,
    Action.WORKER_FAULTS: 10,
    Action.REPLACE_WORKER: 3,
    Action.CONFIGURE: 4,
    Action.EVACUATE: 1,
}


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Step:
    """One fault or one operator action."""

    # Milliseconds since the start of the plan.
    at_ms: int
    action: Action
    # Selects the target: an index, modulo the number of candidates.
    target: int
    # Duration of the fault, or of a killed process's downtime.
    for_ms: int
    # The fault for an action on a link.
    link_fault: LinkFault
    # The fault for an action on a worker.
    worker_fault: WorkerFault


def draw_plan(seed: int, duration_ms: int) -> tuple[Step, ...]:
    """Draws the steps of a run.

    Args:
        seed: Determines the steps.
        duration_ms: Duration of the run; it ends with a recovery phase.
    """
    rng = random.Random(seed)
    actions = list(_WEIGHTS)
    weights = list(_WEIGHTS.values())
    steps: list[Step] = []
    at_ms = 500.0
    while at_ms + RECOVERY_PHASE_MS < duration_ms:
        if at_ms % (FAULT_PHASE_MS + RECOVERY_PHASE_MS) < FAULT_PHASE_MS:
            steps.append(
                Step(
                    at_ms=int(at_ms),
                    action=rng.choices(actions, weights)[0],
                    target=rng.randrange(1 << 16),
                    for_ms=rng.randint(_MIN_DURATION_MS, _MAX_DURATION_MS),
                    link_fault=rng.choice(list(LinkFault)),
                    worker_fault=rng.choice(list(WorkerFault)),
                )
            )
        at_ms += rng.expovariate(1 / _MEAN_STEP_INTERVAL_MS)
    steps.extend(_draw_once_a_phase(seed, duration_ms))
    return tuple(sorted(steps, key=lambda step: step.at_ms))


def _draw_once_a_phase(seed: int, duration_ms: int) -> list[Step]:
    rng = random.Random(f"{seed}/{_ONCE_A_PHASE.value}")
    cycle_ms = FAULT_PHASE_MS + RECOVERY_PHASE_MS
    return [
        Step(
            at_ms=start_ms + rng.randint(500, FAULT_PHASE_MS // 2),
            action=_ONCE_A_PHASE,
            target=0,
            for_ms=rng.randint(_MIN_DURATION_MS, _MAX_DURATION_MS),
            link_fault=next(iter(LinkFault)),
            worker_fault=next(iter(WorkerFault)),
        )
        for start_ms in range(0, duration_ms - RECOVERY_PHASE_MS, cycle_ms)
    ]
