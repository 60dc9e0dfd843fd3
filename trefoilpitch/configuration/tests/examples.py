"""Example bundles and changes for tests."""

from __future__ import annotations

import dataclasses
import itertools
import pathlib
from collections.abc import Iterator

from trefoilpitch.bundle import Bundle, decode_bundle
from trefoilpitch.configuration import Change, SetVm, SignOffBundle

_EXAMPLES = pathlib.Path(__file__).resolve().parents[3] / "examples"
BUNDLE = decode_bundle((_EXAMPLES / "archive.toml").read_text()).unwrap()


def bundle_version(version: int, weight: int = 1) -> Bundle:
    workspace = dataclasses.replace(BUNDLE.workspaces[0], weight=weight)
    workspaces = (workspace, *BUNDLE.workspaces[1:])
    return dataclasses.replace(BUNDLE, version=version, workspaces=workspaces)


def sign_off(version: int = 1, author: str = "mere") -> SignOffBundle:
    return SignOffBundle(
        change_id=f"sign-off-{version}",
        author=author,
        bundle=bundle_version(version, weight=version),
    )


def vm_out(name: str, author: str = "mere") -> SetVm:
    return SetVm(
        change_id=f"out-{name}", author=author, vm=name, in_service=False
    )


def many_changes() -> Iterator[Change]:
    """Yields a sign-off, then VMs out of service and further sign-offs."""
    yield sign_off()
    for number in itertools.count(2):
        if number % 3 == 0:
            yield sign_off(number)
        else:
            yield vm_out(f"vm-{number}")
