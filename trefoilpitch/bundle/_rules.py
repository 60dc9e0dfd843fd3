"""Validation rules for names, numbers, references and addresses."""

from __future__ import annotations

import ipaddress
import re
from collections.abc import Collection, Iterable, Iterator

from trefoilpitch.bundle._exceptions import Fault

_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,62}")
_MAX_PORT = 65_535


def fault(place: str, message: str) -> Fault:
    return Fault(place=place, message=message)


def check_range(
    place: str, value: float, low: float, high: float
) -> Iterator[Fault]:
    """Yields a fault if a number is outside an inclusive range."""
    # False for NaN too, which is therefore out of range.
    if not low <= value <= high:
        yield fault(place, f"{value} is not from {low} to {high}")


def check_name(place: str, name: str) -> Iterator[Fault]:
    """Yields a fault if a name is malformed."""
    if not name:
        yield fault(place, "is empty")
    elif not _NAME.fullmatch(name):
        yield fault(
            place,
            f"{name!r} is not a valid name: up to 63 letters, digits, '.', "
            "'_' and '-', beginning with a letter or digit",
        )


def check_unique(places: Iterable[tuple[str, str]]) -> Iterator[Fault]:
    """Yields a fault for each (place, value) with an earlier value."""
    first: dict[str, str] = {}
    for place, value in places:
        if value and value in first:
            yield fault(place, f"{value!r} is a duplicate of {first[value]}")
        first.setdefault(value, place)


def check_names(
    place: str, names: Iterable[str], *, attribute: str = ".name"
) -> Iterator[Fault]:
    """Yields faults for malformed and duplicate names in a list."""
    places = [
        (f"{place}[{index}]{attribute}", name)
        for index, name in enumerate(names)
    ]
    for item_place, name in places:
        yield from check_name(item_place, name)
    yield from check_unique(places)


def check_references(
    place: str, names: Iterable[str], known: Collection[str], kind: str
) -> Iterator[Fault]:
    """Yields faults for unknown and duplicate references in a list."""
    places = [(f"{place}[{index}]", name) for index, name in enumerate(names)]
    for item_place, name in places:
        if name not in known:
            yield fault(item_place, f"unknown {kind} {name!r}")
    yield from check_unique(places)


def check_address(place: str, address: str) -> Iterator[Fault]:
    """Yields a fault unless an address is an IP address and a port."""
    host, _, port = address.rpartition(":")
    if host.startswith("[") and host.endswith("]"):
        valid = _is_ip(host[1:-1], version=6)
    else:
        valid = _is_ip(host, version=4)
    is_port = port.isascii() and port.isdigit() and len(port) <= 5
    if not (valid and is_port and 1 <= int(port) <= _MAX_PORT):
        yield fault(
            place,
            f"{address!r} is not an IP address and a port, such as "
            "'127.0.0.1:9000' or '[::1]:9000'",
        )


def _is_ip(text: str, *, version: int) -> bool:
    try:
        return ipaddress.ip_address(text).version == version
    except ValueError:
        return False
