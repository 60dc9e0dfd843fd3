"""Converts raw data to the schema's data classes and lists every fault.

msgspec stops at the first error and ignores unknown keys, so each field is
converted separately. A field that can't be converted gets a placeholder of its
type, so that semantic validation can run on the rest.
"""

from __future__ import annotations

import dataclasses
import difflib
import enum
import functools
import typing
from collections.abc import Iterator, Mapping
from typing import Any, TypeVar

import msgspec

from trefoilpitch.bundle._exceptions import Fault

_DataT = TypeVar("_DataT")


@functools.cache
def _cached_type_hints(data_type: Any) -> dict[str, Any]:
    return typing.get_type_hints(data_type)


def _field_types(data_type: Any) -> dict[str, Any]:
    return _cached_type_hints(data_type)


def _join(place: str, field: str) -> str:
    return f"{place}.{field}" if place else field


def _element_type(field_type: Any) -> Any | None:
    if typing.get_origin(field_type) is tuple:
        return typing.get_args(field_type)[0]
    return None


def _placeholder(field_type: Any) -> Any:
    if _element_type(field_type) is not None:
        return ()
    if dataclasses.is_dataclass(field_type):
        return _placeholder_instance(typing.cast("type[Any]", field_type))
    if issubclass(field_type, enum.Enum):
        return next(iter(field_type))
    return field_type()


def _placeholder_instance(data_type: type[_DataT]) -> _DataT:
    types = _field_types(data_type)
    return data_type(**{name: _placeholder(types[name]) for name in types})


class SchemaReader:
    """Builds data-class instances from raw data and collects the faults."""

    def __init__(self) -> None:
        self._faults: list[Fault] = []

    @property
    def faults(self) -> tuple[Fault, ...]:
        """The faults found so far, in the order of the data."""
        return tuple(self._faults)

    def read(
        self, raw: object, data_type: type[_DataT], place: str = ""
    ) -> _DataT:
        """Returns an instance, with placeholders for invalid values.

        Args:
            raw: The decoded data; a mapping if it is valid.
            data_type: A data class of the schema.
            place: Path of the data in the bundle.
        """
        if not isinstance(raw, Mapping):
            self._add_fault(place, f"expected a table, got {_describe(raw)}")
            return _placeholder_instance(data_type)
        types = _field_types(data_type)
        self._report_unknown_keys(raw, types, place)
        return data_type(**dict(self._read_fields(raw, data_type, place)))

    def _add_fault(self, place: str, message: str) -> None:
        self._faults.append(Fault(place=place, message=message))

    def _report_unknown_keys(
        self, raw: Mapping[str, object], types: dict[str, Any], place: str
    ) -> None:
        for key in raw:
            if key not in types:
                matches = difflib.get_close_matches(key, types, n=1)
                hint = f"; did you mean {matches[0]!r}?" if matches else ""
                self._add_fault(_join(place, key), f"unknown key{hint}")

    def _read_fields(
        self, raw: Mapping[str, object], data_type: type[Any], place: str
    ) -> Iterator[tuple[str, object]]:
        types = _field_types(data_type)
        for field in dataclasses.fields(data_type):
            item_place = _join(place, field.name)
            if field.name in raw:
                value = raw[field.name]
                yield (
                    field.name,
                    self._read_value(value, types[field.name], item_place),
                )
            elif field.default is dataclasses.MISSING:
                self._add_fault(item_place, "is missing")
                yield field.name, _placeholder(types[field.name])

    def _read_value(self, raw: object, field_type: Any, place: str) -> object:
        element_type = _element_type(field_type)
        if element_type is not None:
            return self._read_elements(raw, element_type, place)
        if dataclasses.is_dataclass(field_type):
            return self.read(raw, typing.cast("type[Any]", field_type), place)
        return self._read_scalar(raw, field_type, place)

    def _read_elements(
        self, raw: object, element_type: Any, place: str
    ) -> tuple[object, ...]:
        if not isinstance(raw, list):
            self._add_fault(place, f"expected a list, got {_describe(raw)}")
            return ()
        return tuple(
            self._read_value(element, element_type, f"{place}[{index}]")
            for index, element in enumerate(raw)
        )

    def _read_scalar(self, raw: object, scalar_type: Any, place: str) -> object:
        try:
            return msgspec.convert(raw, scalar_type)
        except msgspec.ValidationError:
            self._add_fault(place, _expected(raw, scalar_type))
            return _placeholder(scalar_type)


def _expected(raw: object, scalar_type: Any) -> str:
    if issubclass(scalar_type, enum.Enum):
        names = ", ".join(repr(member.value) for member in scalar_type)
        return f"expected one of {names}, got {_describe(raw)}"
    return f"expected {_TYPE_NAMES[scalar_type]}, got {_describe(raw)}"


_TYPE_NAMES: dict[type, str] = {
    str: "a string",
    int: "an integer",
    float: "a number",
    bool: "true or false",
}


def _describe(raw: object) -> str:
    if isinstance(raw, Mapping):
        return "a table"
    if isinstance(raw, list):
        return "a list"
    return repr(raw)
