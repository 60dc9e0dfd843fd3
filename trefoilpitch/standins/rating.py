"""Runs the rating stand-in: ``python -m trefoilpitch.standins.rating``."""

from __future__ import annotations

from absl import app, flags

from trefoilpitch.standins._rating import RatingSettings, open_rating_stand_in

_PORT = flags.DEFINE_integer("port", 0, "Port; 0 picks a free one.")
_DELAY_MS = flags.DEFINE_integer("delay_ms", 0, "Milliseconds to a score.")
_LOST_SHARE = flags.DEFINE_float(
    "lost_share", 0.0, "Share of tickets that never get one."
)


def main(argv: list[str]) -> None:
    """Serves until the process is terminated."""
    del argv
    settings = RatingSettings(
        delay_ms=_DELAY_MS.value, lost_share=_LOST_SHARE.value
    )
    with open_rating_stand_in(settings, port=_PORT.value) as rating:
        print(rating.address, flush=True)
        rating.wait()


if __name__ == "__main__":
    app.run(main)
