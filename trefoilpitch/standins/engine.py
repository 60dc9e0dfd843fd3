"""Runs the engine stand-in: ``python -m trefoilpitch.standins.engine``."""

from __future__ import annotations

from absl import app, flags

from trefoilpitch.standins._engine import open_engine_stand_in
from trefoilpitch.standins._engine_types import EngineSettings

_PORT = flags.DEFINE_integer("port", 0, "Port; 0 picks a free one.")
_NAME = flags.DEFINE_string("name", "engine", "The upstream's name.")
_VERSIONS = flags.DEFINE_list("versions", [], "Versions loaded at start-up.")
_QUALITY = flags.DEFINE_list(
    "quality", [], "Share of good completions, each as model@version=0.8."
)
_CAPACITY = flags.DEFINE_integer("capacity", 8, "Concurrent requests.")
_COLD_CAPACITY = flags.DEFINE_integer(
    "cold_capacity", 2, "Concurrent requests while cold; one more crashes it."
)
_WARM_AFTER = flags.DEFINE_integer(
    "warm_after", 3, "Completions to finish before it is warm."
)
_TOKEN_MS = flags.DEFINE_float("token_ms", 1.0, "Milliseconds between tokens.")
_CHUNK_TOKENS = flags.DEFINE_integer("chunk_tokens", 1, "Tokens in a chunk.")
_LOAD_LAG_MS = flags.DEFINE_integer(
    "load_lag_ms", 0, "Age of load reports in ms."
)
_HOLD_MS = flags.DEFINE_integer("hold_ms", 2000, "Resumption window in ms.")
_CHECKS_FENCING = flags.DEFINE_bool(
    "checks_fencing",
    False,
    "Whether orders with old fencing numbers are refused.",
)


def _qualities(entries: list[str]) -> dict[str, float]:
    pairs = [entry.rpartition("=") for entry in entries]
    return {version: float(share) for version, _, share in pairs}


def main(argv: list[str]) -> None:
    """Serves until the process is terminated."""
    del argv
    settings = EngineSettings(
        name=_NAME.value,
        versions=_VERSIONS.value,
        quality=_qualities(_QUALITY.value),
        capacity=_CAPACITY.value,
        cold_capacity=_COLD_CAPACITY.value,
        warm_after=_WARM_AFTER.value,
        token_ms=_TOKEN_MS.value,
        chunk_tokens=_CHUNK_TOKENS.value,
        load_lag_ms=_LOAD_LAG_MS.value,
        hold_ms=_HOLD_MS.value,
        checks_fencing=_CHECKS_FENCING.value,
    )
    with open_engine_stand_in(settings, port=_PORT.value) as engine:
        print(engine.address, flush=True)
        engine.wait()


if __name__ == "__main__":
    app.run(main)
