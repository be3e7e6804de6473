"""Reports of leaving servers: what is acknowledged outlives a restart."""

import msgspec
import pytest
import trio

from mustardhold.adapters.directory_store import DirectoryStore, load_reports
from mustardhold.daemons import directory_maintenance
from mustardhold.daemons.directory_maintenance import save_periodically
from mustardhold.daemons.registry_state import share_report
from mustardhold.daemons.replica_node import close_node
from mustardhold.systems.directory import final_report
from mustardhold.tables.directory import ServerReport, ServerState
from tools.fakes.single_control import make_single_control

READY = ServerReport(
    'i-a1', 100, 1, 'feed', '10.0.0.1:80', 'dc-1', 2, ServerState.READY
)


@pytest.fixture
def control(tmp_path):
    made = make_single_control(tmp_path)
    yield made
    close_node(made.node)


@pytest.fixture
async def saving(control, nursery):
    nursery.start_soon(save_periodically, control.saver)
    return control


@pytest.mark.parametrize(
    'leaving',
    [
        msgspec.structs.replace(READY, sequence=2, state=ServerState.DRAINING),
        final_report(READY),
    ],
    ids=['draining', 'ended'],
)
async def test_acknowledged_leave_is_on_disk(saving, leaving):
    assert await share_report(saving, READY)
    assert await share_report(saving, leaving)
    saved = load_reports(DirectoryStore(saving.node.disk))
    assert saved[-1] == leaving


async def test_leave_is_not_acknowledged_if_it_cannot_be_saved(
    saving, monkeypatch
):
    def refuse(*_):
        raise OSError('no space left on device')

    monkeypatch.setattr(directory_maintenance, 'save_changes', refuse)
    assert not await share_report(saving, final_report(READY))


async def test_leave_of_a_known_server_is_acknowledged_within_half_a_second(
    saving,
):
    for number in range(5):
        server = msgspec.structs.replace(
            READY, server_id=f'i-b{number}', address=f'10.0.1.{number}:80'
        )
        assert await share_report(saving, server)
        with trio.fail_after(0.5):
            assert await share_report(saving, final_report(server))
