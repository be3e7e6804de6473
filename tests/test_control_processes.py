"""Tests control replicas as processes that are killed, frozen or wiped."""

import shutil
import signal

import pytest

from mustardhold.cli import main
from tools import control_processes as control
from tools import processes


@pytest.fixture
def control_fleet(tmp_path):
    fleet = processes.Fleet(tmp_path)
    try:
        yield control.start_controls(fleet, 3)
    finally:
        for process in fleet.processes_by_name.values():
            process.send_signal(signal.SIGCONT)
        processes.stop_all(fleet)


def put_pools(control_fleet, first, count):
    """Put pools one after another; return their versions by edit id."""
    return {
        f'e{number}': control.put_pool(
            control_fleet, f'e{number}', f'p{number}', 0
        )
        for number in range(first, first + count)
    }


def has_all_edits(control_fleet, name, accepted):
    """Return whether a replica has each accepted edit at its version."""
    table = control.table_at(control_fleet, name)
    pools = table.pools_by_name if table is not None else {}
    return all(
        f'p{edit_id[1:]}' in pools
        and pools[f'p{edit_id[1:]}'].drained == (edit_id,)
        and table.entry_versions[f'pool/p{edit_id[1:]}'] == version
        for edit_id, version in accepted.items()
    )


def test_killed_and_frozen_leaders_lose_no_accepted_edit(control_fleet):
    accepted = put_pools(control_fleet, 0, 5)
    killed = control.leader_of(control_fleet)
    control.kill_process(control_fleet, killed)
    accepted.update(put_pools(control_fleet, 5, 5))
    control.start_control(control_fleet, killed)
    control.wait_for(
        lambda: has_all_edits(control_fleet, killed, accepted),
        'the killed replica',
    )
    frozen = control.leader_of(control_fleet)
    control.signal_process(control_fleet, frozen, signal.SIGSTOP)
    accepted.update(put_pools(control_fleet, 10, 3))
    control.signal_process(control_fleet, frozen, signal.SIGCONT)
    accepted.update(put_pools(control_fleet, 13, 2))
    assert None not in accepted.values()
    for name in control_fleet.settings_by_name:
        control.wait_for(
            lambda name=name: has_all_edits(control_fleet, name, accepted), name
        )


def test_wiped_replica_is_refused_then_replaced(control_fleet):
    accepted = put_pools(control_fleet, 0, 3)
    wiped = control.leader_of(control_fleet)
    control.kill_process(control_fleet, wiped)
    shutil.rmtree(control_fleet.fleet.folder / wiped)
    control.start_control(control_fleet, wiped)
    accepted.update(put_pools(control_fleet, 3, 2))
    control.wait_for(
        lambda: (
            (status := control.status_at(control_fleet, wiped)) is not None
            and status.is_refused
        ),
        'the refusal',
    )
    controls = [
        f'--control={control_address}'
        for control_address in control_fleet.controls()
    ]
    assert main(['replica', 'replace', wiped, *controls]) == 0
    control.wait_for(
        lambda: is_voter(control_fleet, wiped), 'the replica as a voter'
    )
    second = next(
        name for name in control_fleet.settings_by_name if name != wiped
    )
    control.kill_process(control_fleet, second)
    accepted.update(put_pools(control_fleet, 5, 2))
    assert None not in accepted.values()
    control.wait_for(
        lambda: has_all_edits(control_fleet, wiped, accepted), 'the edits'
    )


def is_voter(control_fleet, name):
    status = control.status_at(control_fleet, name)
    return any(
        member.uid == status.replica_uid and member.is_voter
        for member in status.members
    )


def test_balancers_get_the_table_from_replicas_peers_or_disk(
    control_fleet, capsys
):
    control.start_balancer(control_fleet, 'b1')
    first = control_fleet.address_by_name['b1']
    version = control.put_pool(control_fleet, 'e0', 'p0', 0)
    control.wait_for(
        lambda: control.version_at(control_fleet, 'b1') == version, 'the table'
    )
    frozen = next(
        name
        for name in control_fleet.settings_by_name
        if 'b1' in control.status_at(control_fleet, name).balancers
    )
    control.signal_process(control_fleet, frozen, signal.SIGSTOP)
    version = control.put_pool(control_fleet, 'e1', 'p1', 0)
    control.wait_for(
        lambda: control.version_at(control_fleet, 'b1') == version,
        'the table from another replica',
    )
    control.signal_process(control_fleet, frozen, signal.SIGCONT)
    address = control_fleet.controls()[0]
    control.wait_for(
        lambda: any(
            'b1' in control.status_at(control_fleet, name).balancers
            for name in control_fleet.settings_by_name
        ),
        'the balancer in a status',
    )
    assert main(['explain', 'e0', '--at', address]) == 0
    assert 'edit e0: Accepted(version=1), taken by c' in capsys.readouterr().out
    assert main(['explain', 'nothing', '--at', address]) == 1
    at = [
        f'--at={control_address}'
        for control_address in control_fleet.controls()
    ]
    assert main(['status', *at]) == 0
    assert 'b1' in capsys.readouterr().out
    for name in control_fleet.settings_by_name:
        control.kill_process(control_fleet, name)
    control.start_balancer(control_fleet, 'b2', (first,))
    control.wait_for(
        lambda: control.version_at(control_fleet, 'b2') == version,
        'the table from a peer',
    )
    control.kill_process(control_fleet, 'b1')
    control.kill_process(control_fleet, 'b2')
    control.start_balancer(control_fleet, 'b1')
    assert control.version_at(control_fleet, 'b1') == version
