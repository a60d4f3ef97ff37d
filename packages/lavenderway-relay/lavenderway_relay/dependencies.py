"""Names the components of a node that the adapter of a platform provides."""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

from lavenderway_relay.header_names import HeaderNames
from lavenderway_relay.model import Configuration, NodeSettings
from lavenderway_relay.store import Store


class NodeDependencies(NamedTuple):
    """Platform-specific components that the adapter provides.

    Attributes:
        settings: Settings of the node.
        header_names: Header names used by callers and upstreams.
        store: Client of the platform's table service.
        decode_configuration: Decodes a configuration document.
        config_table: Store table that holds the configuration.
        config_key: Key of the configuration's row in that table.
        evacuation_key_prefix: Prefix of the keys of evacuated failure domains there.
        read_settings: Reads the settings again; raises an exception if they are
            invalid.
        settings_changed: Returns whether the settings have changed since they were
            last read.

    """

    settings: NodeSettings
    header_names: HeaderNames
    store: Store
    decode_configuration: Callable[[bytes], Configuration]
    config_table: str
    config_key: str
    evacuation_key_prefix: str
    read_settings: Callable[[], NodeSettings]
    settings_changed: Callable[[], bool]
