"""What goes wrong when: drawn from a seed, without clocks or processes."""

from __future__ import annotations

import dataclasses
import enum
import random

from tools.soak._proxy import LinkFault
from trefoilpitch.standins import WorkerFault

# Storms and calm alternate. In a calm the last fault ends, then the time passes
# after which a daemon counts as undisturbed, then that of the longest bound;
# what is left is judged.
STORM_MS = 6_000
RECOVERY_PHASE_MS = 12_000
_MEAN_PAUSE_MS = 250
_MIN_FOR_MS = 200
_MAX_FOR_MS = 2_500


class Action(enum.Enum):
    """What a step does to its target."""

    # To daemons.
    KILL = "kill"
    KILL_ALL = "kill_all"
    TERMINATE = "terminate"
    PAUSE = "pause"
    RELOAD = "reload"
    STORE_LINK = "store_link"
    # To the store.
    STORE_REFUSES = "store_refuses"
    STORE_LOSES_ANSWERS = "store_loses_answers"
    STORE_FORGETS = "store_forgets"
    # To workers.
    WORKER_LINK = "worker_link"
    WORKER_FAULTS = "worker_faults"
    REPLACE_WORKER = "replace_worker"
    # By the operator.
    CONFIGURE = "configure"
    EVACUATE = "evacuate"


_WEIGHTS = {
    Action.KILL: 3,
    Action.KILL_ALL: 1,
    Action.TERMINATE: 3,
    Action.PAUSE: 3,
    Action.RELOAD: 1,
    Action.STORE_LINK: 4,
    Action.STORE_REFUSES: 2,
    Action.STORE_LOSES_ANSWERS: 2,
    Action.STORE_FORGETS: 1,
    Action.WORKER_LINK: 4,
    Action.WORKER_FAULTS: 10,
    Action.REPLACE_WORKER: 3,
    Action.CONFIGURE: 4,
    Action.EVACUATE: 1,
}


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Step:
    """One thing that goes wrong, or that the operator does."""

    # When, from the start.
    at_ms: int
    # What.
    action: Action
    # Place of its target among those that there are at the time.
    target: int
    # How long it lasts, or how long a killed process stays away.
    for_ms: int
    # How a link is spoiled.
    link_fault: LinkFault
    # How requests go wrong at a worker.
    worker_fault: WorkerFault


def draw_plan(seed: int, duration_ms: int) -> tuple[Step, ...]:
    """Draws the steps of a run.

    Args:
        seed: Gives the same steps each time.
        duration_ms: How long the run lasts; it ends with a calm.
    """
    rng = random.Random(seed)
    actions = list(_WEIGHTS)
    weights = list(_WEIGHTS.values())
    steps: list[Step] = []
    at_ms = 500.0
    while at_ms + RECOVERY_PHASE_MS < duration_ms:
        if at_ms % (STORM_MS + RECOVERY_PHASE_MS) < STORM_MS:
            steps.append(
                Step(
                    at_ms=int(at_ms),
                    action=rng.choices(actions, weights)[0],
                    target=rng.randrange(1 << 16),
                    for_ms=rng.randint(_MIN_FOR_MS, _MAX_FOR_MS),
                    link_fault=rng.choice(list(LinkFault)),
                    worker_fault=rng.choice(list(WorkerFault)),
                )
            )
        at_ms += rng.expovariate(1 / _MEAN_PAUSE_MS)
    return tuple(steps)
