"""Gauges of a control replica, and of the state that balancers share."""

from collections.abc import Iterator

from mustardhold.systems.election import has_lease
from mustardhold.systems.replica_log import last_entry
from mustardhold.tables.consensus import Replica
from mustardhold.tables.evacuations import EvacuationState
from mustardhold.tables.gauges import Gauge


def control_gauges(replica: Replica, now: float) -> Iterator[Gauge]:
    """Yield the current gauges of a replica."""
    yield Gauge('term', 'Current term', replica.vote.term)
    yield Gauge(
        'is_leader', 'Whether it leads a majority', has_lease(replica, now)
    )
    yield Gauge(
        'table_version', 'Version in force', replica.edits.table.version
    )
    yield Gauge('log_entries', 'Entries of the log', len(replica.log))
    yield Gauge(
        'uncommitted_entries',
        'Entries that wait for their commit',
        last_entry(replica).index - replica.commit_index,
    )
    yield Gauge(
        'edit_records',
        'Edit ids that are remembered',
        len(replica.edits.records_by_edit_id),
    )


def evacuation_gauge(state: EvacuationState) -> Gauge:
    """Return the gauge of the evacuated data centres."""
    return Gauge(
        'evacuated_data_centres',
        'Data centres whose servers get no new flows',
        len(state.data_centres),
    )
