"""Choice of a backend server for a new flow."""

from collections.abc import Iterable

import xxhash

from mustardhold.tables.backends import KnownBackend


def utilisation(known: KnownBackend) -> float:
    """Share of a server's connections in use, as far as is known here."""
    connections = max(known.announced.connections, known.held_flows)
    return connections / max(known.announced.connection_limit, 1)


def has_room(known: KnownBackend) -> bool:
    """Tell whether a server may take another flow."""
    return utilisation(known) < 1


def choose_server(
    flow: bytes, data_centre: str, candidates: Iterable[KnownBackend]
) -> KnownBackend | None:
    """Choose the least used server, in the own data centre where one has room.

    Ties are broken by a hash of the flow, so that balancers which know the
    same choose the same.
    """
    with_room = [known for known in candidates if has_room(known)]
    near = [
        known
        for known in with_room
        if known.announced.data_centre == data_centre
    ]
    return min(
        near or with_room,
        key=lambda known: (
            utilisation(known),
            xxhash.xxh3_64_intdigest(
                flow + known.announced.backend_id.encode()
            ),
        ),
        default=None,
    )
