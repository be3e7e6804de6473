"""Lines of the capacity page, with a formula and mechanism for each role."""

from tools.capacity_bad_days import BAD_DAYS
from tools.capacity_line import BY_GROUP, RELAY_FANOUT, Line

DIGESTS_PER_SECOND = 2
RENEWALS_PER_SECOND = 1 / 0.3
CLAIMS_PER_SECOND = 1 / 0.3
ANNOUNCEMENTS_PER_SECOND = 2


GOOD_DAYS = (
    Line(
        'balancer',
        'idle process, with leases, digests and polls, in a group of 8',
        'idle time',
        lambda size: size.group_members,
        'idle time at 0 + idle time x members',
        lambda size, per: (
            per['idle time at 0'] + per['idle time'] * size.group_members
        ),
        'processor',
        'ticks of 100 ms; leases, digests and long polls',
        'yes',
        'a tick that waits for what is due next; the slope is small',
    ),
    Line(
        'balancer',
        'idle process in memory, in a group of 8',
        'idle memory',
        lambda size: size.group_members,
        'idle memory at 0 + idle memory x members',
        lambda size, per: (
            per['idle memory at 0'] + per['idle memory'] * size.group_members
        ),
        'memory',
        'one interpreter with its libraries',
        'yes',
    ),
    Line(
        'balancer',
        'whole table in memory',
        'table memory',
        lambda size: size.addresses,
        'table memory x addresses',
        lambda size, per: per['table memory'] * size.addresses,
        'memory',
        'every balancer holds both tables',
        'yes',
    ),
    Line(
        'balancer',
        'putting each edit in force',
        'edit install time',
        lambda size: size.addresses,
        'edit install time x addresses x edits a second',
        lambda size, per: (
            per['edit install time'] * size.addresses * size.edits_per_second
        ),
        'processor',
        'only routes that differ go into the lookup of addresses',
        'yes',
    ),
    Line(
        'balancer',
        'putting a whole table in force, once a second',
        'install time',
        lambda size: size.addresses,
        'install time x addresses',
        lambda size, per: per['install time'] * size.addresses,
        'processor',
        'at a start, and for a balancer whose version is too old',
        'yes',
        f'{BY_GROUP}; then 27 addresses',
    ),
    Line(
        'balancer',
        'known backend servers, of its group',
        'server memory',
        lambda size: size.hosts_per_group,
        'server memory x hosts / groups',
        lambda size, per: per['server memory'] * size.hosts_per_group,
        'memory',
        'servers are known within a spray group',
        'yes',
    ),
    Line(
        'balancer',
        'choice of a server for openings (data path)',
        'choice time',
        lambda size: size.hosts_per_group,
        'choice time x hosts / groups x openings a second / nodes',
        lambda size, per: (
            per['choice time'] * size.hosts_per_group * size.openings_per_node
        ),
        'processor',
        'every usable server of the pool is looked at',
        'yes',
        'two choices among the servers of the pool: time does not grow',
    ),
    Line(
        'bucket owner',
        'records of flows, were no bucket settled',
        'flow memory',
        lambda size: size.flows_per_node * size.owners,
        'flow memory x flows / nodes x owners',
        lambda size, per: (
            per['flow memory'] * size.flows_per_node * size.owners
        ),
        'memory',
        'records at three owners; none for settled buckets',
        'yes',
    ),
    Line(
        'bucket owner',
        'openings (data path)',
        'opening time',
        lambda size: size.openings_per_node,
        'opening time x openings a second / nodes',
        lambda size, per: per['opening time'] * size.openings_per_node,
        'processor',
        'the primary owner places and records',
        'yes',
    ),
    Line(
        'coordinator',
        'leases of a group of 8',
        'renewal bytes',
        lambda size: size.group_members,
        'renewal bytes x members x 3.3 a second',
        lambda size, per: (
            per['renewal bytes'] * size.group_members * RENEWALS_PER_SECOND
        ),
        'bytes',
        'leases within a spray group of bounded size',
        'yes',
    ),
    Line(
        'coordinator',
        'leases, were a data centre one group',
        'renewal bytes',
        lambda size: size.nodes_per_data_centre,
        'renewal bytes x nodes / data centres x 3.3 a second',
        lambda size, per: (
            per['renewal bytes']
            * size.nodes_per_data_centre
            * RENEWALS_PER_SECOND
        ),
        'bytes',
        'one coordinator for all balancers of a data centre',
        'not meant: groups are at most 8',
        'spray groups of at most 8',
    ),
    Line(
        'coordinator',
        'claims of its own lease to the group',
        'claim bytes',
        lambda size: size.group_members,
        'claim bytes x members x 3.3 a second',
        lambda size, per: (
            per['claim bytes'] * size.group_members * CLAIMS_PER_SECOND
        ),
        'bytes',
        'a majority of the group grants the lease',
        'yes',
    ),
    Line(
        'load-report aggregator',
        'digests of the servers of a group',
        'digest bytes',
        lambda size: size.hosts_per_group,
        'digest bytes x hosts / groups / members x (members - 1) x 2 a second',
        lambda size, per: (
            per['digest bytes']
            * size.hosts_per_group
            / size.group_members
            * (size.group_members - 1)
            * DIGESTS_PER_SECOND
        ),
        'bytes',
        'each balancer tells the 7 others the servers it heard itself, an '
        'eighth of them',
        'yes',
    ),
    Line(
        'load-report aggregator',
        'digests, were every server of a data centre heard by all',
        'digest bytes',
        lambda size: size.hosts_per_data_centre,
        'digest bytes x hosts / data centres x 2 a second',
        lambda size, per: (
            per['digest bytes']
            * size.hosts_per_data_centre
            * DIGESTS_PER_SECOND
        ),
        'bytes',
        'one group for a data centre',
        'not meant: groups are at most 8',
        'spray groups of at most 8, and deltas of changed servers only',
    ),
    Line(
        'load-report aggregator',
        'taking announcements',
        'announcement time',
        lambda size: size.hosts_per_group * ANNOUNCEMENTS_PER_SECOND,
        'announcement time x hosts / groups x 2 a second',
        lambda size, per: (
            per['announcement time']
            * size.hosts_per_group
            * ANNOUNCEMENTS_PER_SECOND
        ),
        'processor',
        'servers announce to any balancer of their group (the HTTP server is '
        'not in this slope)',
        'yes',
    ),
    Line(
        'relay',
        'edits passed on by a tree of fan-out 16',
        'edit bytes',
        lambda size: size.edits_per_second,
        'edit bytes x edits a second x 16',
        lambda size, per: (
            per['edit bytes'] * size.edits_per_second * RELAY_FANOUT
        ),
        'bytes',
        'a tree of balancers below the control replicas',
        'no: design note capacity.md',
    ),
    Line(
        'relay',
        'whole tables, if each edit sent one',
        'table bytes',
        lambda size: size.addresses,
        'table bytes x addresses x edits a second',
        lambda size, per: (
            per['table bytes'] * size.addresses * size.edits_per_second
        ),
        'bytes',
        'whole table for each version',
        'only for a balancer whose version is too old',
        'changes since the version that the balancer has',
    ),
    Line(
        'control replica',
        'applying edits',
        'edit time',
        lambda size: size.addresses,
        'edit time x addresses x edits a second',
        lambda size, per: (
            per['edit time'] * size.addresses * size.edits_per_second
        ),
        'processor',
        'each edit copies the mappings of the table',
        'yes',
    ),
    Line(
        'control replica',
        'log of a day',
        'edit bytes',
        lambda size: size.edits_per_day,
        'edit bytes x edits a day',
        lambda size, per: per['edit bytes'] * size.edits_per_day,
        'memory',
        'log with snapshots',
        'yes',
    ),
    Line(
        'control replica',
        'edits to 458 balancers that follow it directly',
        'edit bytes',
        lambda size: size.edits_per_second,
        'edit bytes x edits a second x nodes / control instances',
        lambda size, per: (
            per['edit bytes']
            * size.edits_per_second
            * size.nodes
            / size.control_instances
        ),
        'bytes',
        'balancers follow a replica by long polls',
        'yes',
        'a tree of relays with fan-out 16',
    ),
)

LINES = (*GOOD_DAYS, *BAD_DAYS)
