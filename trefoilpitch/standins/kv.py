"""Runs the stand-in for the platform's key-value store.

``python -m trefoilpitch.standins.kv --host=127.0.0.1 --port=2379``
"""

from __future__ import annotations

from absl import app, flags

from trefoilpitch.standins._kv import kv_server

_HOST = flags.DEFINE_string("host", "127.0.0.1", "IP address to listen on.")
_PORT = flags.DEFINE_integer("port", 2379, "Port to listen on; 0 picks one.")


def main(argv: list[str]) -> None:
    """Serves until the process is terminated."""
    del argv
    with kv_server(host=_HOST.value, port=_PORT.value) as server:
        print(f"listening on {server.host}:{server.port}", flush=True)
        server.wait()


if __name__ == "__main__":
    app.run(main)
