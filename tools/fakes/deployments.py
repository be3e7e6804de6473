"""The services of both deployments, with their real host counts."""

from dataclasses import dataclass

from tools.fakes.servers import FakeServer, make_servers


@dataclass(frozen=True, slots=True)
class Service:
    """A service, the size of its pool, and its steady utilisation.

    Attributes
    ----------
    fill
        Fraction of all connections that are in use under steady load.
    """

    deployment: str
    name: str
    hosts: int
    slots: int
    data_centres: tuple[str, ...]
    fill: float


NEUSIEDL = ('neusiedl-1', 'neusiedl-2', 'neusiedl-3')
BAC_BO = ('bac-bo-1', 'bac-bo-2', 'bac-bo-3', 'bac-bo-4')
WERKSTATT = Service('Seewinkel', 'werkstatt', 7, 2, NEUSIEDL, 0.5)
KATALOG = Service('Seewinkel', 'katalog', 3, 2, NEUSIEDL, 0.4)
ORDER_DESK = Service('Hà Ngọc', 'order-desk', 7, 3, BAC_BO, 0.5)
CATALOGUE = Service('Hà Ngọc', 'catalogue', 4, 3, BAC_BO, 0.4)
SERVICES = (WERKSTATT, KATALOG, ORDER_DESK, CATALOGUE)


def servers_of(service: Service, count: int = 0) -> tuple[FakeServer, ...]:
    """Make a service's servers, spread round robin over its data centres."""
    servers = make_servers(
        service.name, count or service.hosts, slots=service.slots
    )
    for number, server in enumerate(servers):
        places = service.data_centres
        server.data_centre = places[number % len(places)]
    return servers
