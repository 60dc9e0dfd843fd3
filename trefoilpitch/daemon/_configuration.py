"""Keeps the node's configuration up to date."""

from __future__ import annotations

from collections.abc import Callable

import logbook
import pykka
from returns.result import Success

from trefoilpitch.clock import Clock
from trefoilpitch.configuration import (
    EMPTY_CONFIGURATION,
    Configuration,
    HeadReader,
)
from trefoilpitch.metrics import Metrics
from trefoilpitch.routing import RoutingTable, routing_table
from trefoilpitch.supervision import Tick

CONFIGURATION_TICK_MS = 500

_LOG = logbook.Logger("trefoilpitch.configuration")


class CurrentConfiguration:
    """The newest configuration, read by many threads without a lock.

    Args:
        node: The VM's name; decides which upstreams it follows.
        on_change: Called with the table of each new revision.
    """

    def __init__(
        self, node: str, on_change: Callable[[RoutingTable], None]
    ) -> None:
        self._node = node
        self._on_change = on_change
        self._table = routing_table(EMPTY_CONFIGURATION, node=node)

    def table(self) -> RoutingTable:
        """Returns the newest configuration, arranged for look-ups."""
        return self._table

    def advance(self, configuration: Configuration) -> bool:
        """Moves to a higher revision; returns whether it did."""
        if configuration.revision <= self._table.revision:
            return False
        self._table = routing_table(configuration, node=self._node)
        self._on_change(self._table)
        _LOG.info("revision {} is in force", configuration.revision)
        return True


class ConfigurationActor(pykka.ThreadingActor):
    """Reads the head on each tick.

    Args:
        reader: Reads the store.
        current: Takes new revisions.
        clock: Tells the time.
        metrics: Counts failures.
    """

    def __init__(
        self,
        reader: HeadReader,
        current: CurrentConfiguration,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        super().__init__()
        self._reader = reader
        self._current = current
        self._clock = clock
        self._metrics = metrics

    def on_receive(self, message: object) -> None:
        """Reads the head."""
        if not isinstance(message, Tick):
            return
        read = self._reader.read()
        if not isinstance(read, Success):
            self._metrics.count("head_read_failures")
            return
        head = read.unwrap().head
        if head.revision <= self._current.table().revision:
            return
        loaded = self._reader.materialize(head)
        if isinstance(loaded, Success):
            self._current.advance(loaded.unwrap())
