"""Lines of the capacity page for failures and load peaks."""

from tools.capacity_line import BY_GROUP, RELAY_FANOUT, Line

RENEWALS_PER_SECOND = 1 / 0.3
STORM_EDITS_PER_SECOND = 10
RESTART_WAVE_SECONDS = 60

BAD_DAYS = (
    Line(
        'bad day: restart wave',
        'whole tables to 458 balancers in a minute, from one replica',
        'table bytes',
        lambda size: size.addresses,
        'table bytes x addresses x nodes / control instances / 60 s',
        lambda size, per: (
            per['table bytes']
            * size.addresses
            * size.nodes
            / size.control_instances
            / RESTART_WAVE_SECONDS
        ),
        'bytes',
        'a balancer starts from its disk or a peer where it can',
        'partly',
        BY_GROUP,
    ),
    Line(
        'bad day: rack or switch lost',
        'records that survivors send again, for one lost node, in a minute',
        'flow memory',
        lambda size: size.flows_per_node * size.owners,
        '12 bytes x flows / nodes x owners / 60 s / (members - 1)',
        lambda size, per: (
            12
            * size.flows_per_node
            * size.owners
            / RESTART_WAVE_SECONDS
            / (size.group_members - 1)
        ),
        'bytes',
        'pages of records from the surviving owners',
        'yes',
    ),
    Line(
        'bad day: data centre lost or regions apart',
        'leases and digests of each group go on alone',
        'renewal bytes',
        lambda size: size.group_members,
        'as on a good day: groups do not span data centres',
        lambda size, per: (
            per['renewal bytes'] * size.group_members * RENEWALS_PER_SECOND
        ),
        'bytes',
        'no state is shared between groups but the tables',
        'yes',
    ),
    Line(
        'bad day: edit storm',
        '10 edits a second to each relay of fan-out 16',
        'edit bytes',
        lambda size: STORM_EDITS_PER_SECOND,
        'edit bytes x 10 a second x 16',
        lambda size, per: (
            per['edit bytes'] * STORM_EDITS_PER_SECOND * RELAY_FANOUT
        ),
        'bytes',
        'a tree of balancers below the control replicas',
        'no: design note capacity.md',
    ),
    Line(
        'bad day: all hosts announce at once',
        'sharing of every server of a group as new, in one second',
        'announcement bytes',
        lambda size: size.hosts_per_group,
        'announcement bytes x hosts / groups / members x (members - 1)',
        lambda size, per: (
            per['announcement bytes']
            * size.hosts_per_group
            / size.group_members
            * (size.group_members - 1)
        ),
        'bytes',
        'a change of state is shared at once within the group',
        'yes',
    ),
)
