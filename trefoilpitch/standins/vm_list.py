"""Runs the stand-in for the platform's list of VMs.

``python -m trefoilpitch.standins.vm_list --host=127.0.0.1 --port=8500``
"""

from __future__ import annotations

from absl import app, flags

from trefoilpitch.standins._vm_list import vm_list_server

_HOST = flags.DEFINE_string("host", "127.0.0.1", "IP address to listen on.")
_PORT = flags.DEFINE_integer("port", 8500, "Port to listen on; 0 picks one.")


def main(argv: list[str]) -> None:
    """Serves until the process is terminated."""
    del argv
    with vm_list_server(host=_HOST.value, port=_PORT.value) as server:
        print(f"listening on {server.host}:{server.port}", flush=True)
        server.wait()


if __name__ == "__main__":
    app.run(main)
