"""The configuration in force on this node."""

from __future__ import annotations

from collections.abc import Callable

import logbook

from trefoilpitch.configuration import EMPTY_CONFIGURATION, Configuration
from trefoilpitch.routing import RoutingTable, routing_table

_LOG = logbook.Logger("trefoilpitch.configuration")


class CurrentConfiguration:
    """The current configuration, read by many threads without a lock.

    Args:
        node: The VM's name; determines which upstreams it tracks.
        on_change: Called with the table of each new revision.
    """

    def __init__(
        self, node: str, on_change: Callable[[RoutingTable], None]
    ) -> None:
        self._node = node
        self._on_change = on_change
        self._table = routing_table(EMPTY_CONFIGURATION, node=node)

    def table(self) -> RoutingTable:
        """Returns the current configuration, indexed for routing."""
        return self._table

    def advance(self, configuration: Configuration) -> bool:
        """Applies a configuration of a higher revision; else returns False."""
        if configuration.revision <= self._table.revision:
            return False
        self._table = routing_table(configuration, node=self._node)
        self._on_change(self._table)
        _LOG.info(
            "configuration revision {} is in force", configuration.revision
        )
        return True
