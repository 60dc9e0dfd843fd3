"""In-memory engines with their configuration, for tests."""

from __future__ import annotations

from trefoilpitch.bundle import (
    Bundle,
    Model,
    ModelVersion,
    Pool,
    RolloutPlan,
    Upstream,
    UpstreamKind,
    VersionRef,
)
from trefoilpitch.clock import ManualClock
from trefoilpitch.configuration import Configuration
from trefoilpitch.orders import (
    MemoryEngines,
    Reconciler,
    ReconcilerSettings,
    reconciler,
)

OLD = VersionRef("sermon", "1")
NEW = VersionRef("sermon", "2")
STEP_MS = 250


def fleet_configuration(
    *, engines: int = 1, checks_fencing: bool = True, **changes: object
) -> Configuration:
    versions = tuple(
        ModelVersion(name=name, prompt_cost_nano=1, output_cost_nano=1)
        for name in (OLD.version, NEW.version)
    )
    pool = Pool(
        name="sermons",
        kind=UpstreamKind.ENGINE,
        serves=(str(OLD), str(NEW)),
        upstreams=tuple(
            Upstream(
                name=f"engine-{index}",
                address=f"127.0.0.1:{9_000 + index}",
                failure_domain="suva",
                capacity=4,
                checks_fencing=checks_fencing,
            )
            for index in range(engines)
        ),
    )
    bundle = Bundle(
        name="archive",
        version=1,
        failure_domains=("suva",),
        models=(
            Model(
                name=OLD.model, versions=versions, default_version=OLD.version
            ),
        ),
        pools=(pool,),
        rollouts=(RolloutPlan(model=NEW.model, to_version=NEW.version),),
    )
    return Configuration(revision=1, bundle=bundle, **changes)  # type: ignore[arg-type]


class Fleet:
    """Engines and a reconciler whose fencing number the test sets."""

    def __init__(
        self, *, load_ms: int = 0, settings: ReconcilerSettings | None = None
    ) -> None:
        self.clock = ManualClock()
        self.engines: MemoryEngines = MemoryEngines(self.clock, load_ms)
        self.fencing_number: int | None = 10
        self.reconciler = self.create_reconciler(
            lambda: self.fencing_number, settings
        )

    def create_reconciler(
        self, fencing_number: object, settings: ReconcilerSettings | None = None
    ) -> Reconciler:
        assert callable(fencing_number)
        return reconciler(
            control=self.engines,
            clock=self.clock,
            fencing_number=fencing_number,
            settings=settings,
        )

    def run(self, for_ms: int) -> None:
        for _ in range(for_ms // STEP_MS):
            self.clock.advance(STEP_MS)
            self.reconciler.poll()

    def loaded(self, name: str = "engine-0") -> set[VersionRef]:
        return set(self.engines.status(name).loaded)
