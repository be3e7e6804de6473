"""Tests the queue of a slow link, on a played link of 2.65 Mbit/s.

The link's own queue holds a third of an upload's burst and drops the rest.
Load where stated: 6 uploads a second, each a burst of 16 full packets within
1 ms in random order, beside 100 small packets a second and 20 openings.
"""

import random
from collections import Counter, defaultdict, deque

import pytest

from mustardhold.systems.link_queue import (
    enqueue,
    make_key,
    make_link_queue,
    make_reset_key,
    may_bypass,
    take_due,
)
from mustardhold.tables.configurations import ServiceAddress
from mustardhold.tables.constants import LINK_BURST_BYTES, LINK_QUEUE_PERIOD
from mustardhold.tables.forwarding import CallerPacket, ForwardingTables
from mustardhold.tables.link_queue import Datagram

RATE = 2.65 * 125_000
SERVER, OTHER_SERVER = ('10.0.0.1', 80), ('10.0.0.2', 80)
BURST_PACKETS, PAYLOAD, HEADERS = 16, 1200, 40
LINK_BUFFER = BURST_PACKETS * (PAYLOAD + HEADERS + 28) / 3
START = 100.0


def packet(flow='f', sequence=0, length=PAYLOAD, ack=0, **flags):
    return CallerPacket(
        flow.encode(),
        ServiceAddress(1, 443),
        0,
        ack,
        0,
        flags.get('is_opening', False),
        flags.get('is_reset', False),
        sequence,
        length,
    )


def datagram_of(sent, address=SERVER):
    return Datagram(bytes(HEADERS + sent.length), address)


def make_queue():
    return make_link_queue(RATE, ForwardingTables())


def add(queue, now, sent, address=SERVER, payload=None):
    datagram = datagram_of(sent, address)
    if payload:
        datagram = Datagram(payload.ljust(HEADERS + PAYLOAD), address)
    enqueue(queue, now, datagram, make_key(sent, datagram), sent.acknowledged)


def fill_link(queue, now=START):
    while may_bypass(queue, now, 1268):
        pass


def drain(queue, now=START):
    """Yield the time and key of each packet until the queue is empty."""
    while True:
        due = take_due(queue, now)
        yield from ((now, entry.key) for entry in due.packets)
        if due.check_at is None:
            return
        assert due.check_at > now
        now = due.check_at


class PlayedLink:
    """A link of the rate with a small drop-tail queue."""

    def __init__(self):
        self.free_at = START
        self.ends = deque()
        self.delays, self.losses = defaultdict(list), Counter()

    def send(self, now, size, kind, arrived_at):
        """Carry a packet, or lose it if the link's queue is full."""
        backlog = max(self.free_at - now, 0) * RATE
        if backlog + size > LINK_BUFFER + 1268:
            self.losses[kind] += 1
            return
        self.free_at = max(self.free_at, now) + size / RATE
        self.delays[kind].append(self.free_at - arrived_at)

    def loss(self, kind):
        """Return the share of the packets of a kind that were lost."""
        lost = self.losses[kind]
        return lost / (lost + len(self.delays[kind]))

    def p99(self, kind):
        """Return the 99th percentile of the delay, in seconds."""
        delays = sorted(self.delays[kind])
        return delays[int(len(delays) * 0.99)]


def mixed_load(seconds=20):
    rng = random.Random(7)
    load = []
    for number in range(seconds * 6):
        begin = START + rng.uniform(0, seconds)
        sent = [packet(f'u{number}', n * PAYLOAD) for n in range(BURST_PACKETS)]
        rng.shuffle(sent)
        load += [(begin + n / 16_000, 'upload', p) for n, p in enumerate(sent)]
    for number in range(seconds * 100):
        at = START + rng.uniform(0, seconds)
        load.append((at, 'small', packet(f's{number}', length=300)))
    for number in range(seconds * 20):
        at = START + rng.uniform(0, seconds)
        opening = packet(f'o{number}', length=0, is_opening=True)
        load.append((at, 'opening', opening))
    # The feed shares the link, and is not paced.
    load += [(START + n / 5, 'feed', packet('', 0)) for n in range(seconds * 5)]
    return sorted(load, key=lambda entry: entry[0])


def play(load, queue):
    """Send a load over the link, through the queue if there is one."""
    link = PlayedLink()
    kind_of, check_at = {}, None
    for now, kind, sent in [*load, (START + 60, '', None)]:
        while check_at is not None and check_at <= now:
            at, due = check_at, take_due(queue, check_at)
            check_at = due.check_at
            for entry in due.packets:
                size = entry.size
                link.send(at, size, kind_of[entry.key], entry.queued_at)
        if sent is None:
            break
        datagram = datagram_of(sent)
        size = datagram.link_bytes
        if queue is None or kind == 'feed' or may_bypass(queue, now, size):
            link.send(now, size, kind, now)
            continue
        kind_of[make_key(sent, datagram)] = kind
        add(queue, now, sent)
        due = take_due(queue, now)
        check_at = due.check_at
        for entry in due.packets:
            size = entry.size
            link.send(now, size, kind_of[entry.key], entry.queued_at)
    return link


def test_uploads_neither_lose_packets_nor_delay_small_ones():
    """Guards against bursts that overflow the link's queue with all others."""
    load = mixed_load()
    before, after = play(load, None), play(load, make_queue())
    assert before.loss('upload') > 0.5
    for kind in ('upload', 'small', 'opening', 'feed'):
        assert after.loss(kind) == 0
    for kind in ('small', 'opening'):
        assert after.p99(kind) < before.p99(kind)
        assert after.p99(kind) < 0.015


def test_idle_link_sends_at_once_and_a_busy_one_only_its_burst():
    """Guards against a wait where there is no need, and a burst above it."""
    queue = make_queue()
    sizes = [1268 for _ in range(20) if may_bypass(queue, START, 1268)]
    assert sum(sizes) == LINK_BURST_BYTES


def test_flow_is_sent_in_the_order_of_its_sequence_numbers():
    """Guards against a burst's random order, and the wrap of the numbers."""
    queue = make_queue()
    fill_link(queue)
    numbers = [(2**32 - 3 * PAYLOAD + n * PAYLOAD) % 2**32 for n in range(8)]
    for number in random.Random(1).sample(numbers, len(numbers)):
        add(queue, START, packet(sequence=number))
    assert [key.sequence for _, key in drain(queue)] == numbers


def test_openings_resets_and_sparse_flows_go_first():
    """Guards against small packets that wait behind an upload."""
    queue = make_queue()
    fill_link(queue)
    for number in range(4):
        add(queue, START, packet('upload', number * PAYLOAD))
    add(queue, START, packet('small', length=300))
    opening = packet('new', length=0, is_opening=True)
    for address in (SERVER, OTHER_SERVER):
        add(queue, START, opening, address)
    reset = datagram_of(packet(length=0), ('100.64.0.1', 8172))
    for _ in range(2):
        enqueue(queue, START, reset, make_reset_key(packet('gone'), reset))
    flows = [key.flow.decode() for _, key in drain(queue)]
    assert flows == ['new', 'new', 'gone', 'small'] + ['upload'] * 4


def test_three_uploads_share_the_link_by_bytes():
    """Guards against a flow that gets more by more or larger packets."""
    queue = make_queue()
    fill_link(queue)
    for flow, count in (('a', 60), ('b', 20), ('c', 40)):
        for number in range(count):
            length = PAYLOAD if flow != 'c' else PAYLOAD // 2
            add(queue, START, packet(flow, number * length, length))
    sent = Counter()
    for _, key in drain(queue):
        sent[key.flow] += key.length
        if sent[b'a'] >= 18 * PAYLOAD:
            break
    assert max(sent.values()) - min(sent.values()) <= 2 * PAYLOAD


def test_copy_takes_the_place_of_a_queued_packet():
    """Guards against copies that take the link twice or go back in time."""
    queue = make_queue()
    fill_link(queue)
    add(queue, START, packet('other'))
    for ack, payload in ((5, b'first'), (9, b'newest'), (7, b'late')):
        add(queue, START, packet(ack=ack), payload=payload)
    add(queue, START, packet('last'))
    sent = []
    for now in (START, START + 0.01, START + 0.02):
        sent += [entry.datagram for entry in take_due(queue, now).packets]
    assert [datagram.payload[:6] for datagram in sent[:2]] == [
        bytes(6),
        b'newest',
    ]
    assert queue.counters['link', 'replaced'] == 2


def test_acknowledgements_are_no_copies_of_each_other():
    """Guards against a late one that replaces a newer one.

    It would delay the server's next packets.
    """
    queue = make_queue()
    fill_link(queue)
    for ack in (9, 5):
        add(queue, START, packet(length=0, ack=ack))
    assert len(list(drain(queue))) == 2


def test_full_queue_drops_the_end_of_the_longest_flow():
    """Guards against a queue that grows, and a flow that displaces others."""
    queue = make_queue()
    fill_link(queue)
    add(queue, START, packet('short'))
    for number in range(400):
        add(queue, START, packet('long', number * PAYLOAD))
    dropped = queue.counters['drop', 'link-queue-full']
    assert dropped > 0
    assert queue.queued_bytes <= queue.max_bytes
    keys = [key for _, key in drain(queue)]
    assert keys[0].flow == b'short' or keys[1].flow == b'short'
    dropped += queue.counters['drop', 'link-queue-timeout']
    assert max(key.sequence for key in keys) == (399 - dropped) * PAYLOAD


@pytest.mark.parametrize('jump', [-3600, 0.9, 3600])
def test_clock_jump_releases_one_burst_at_most(jump):
    """Guards against a suspension that counts as time in which to send."""
    queue = make_queue()
    fill_link(queue)
    for number in range(30):
        add(queue, START, packet(sequence=number * PAYLOAD))
    due = take_due(queue, START + jump)
    sent_bytes = sum(entry.size for entry in due.packets)
    assert sent_bytes <= LINK_BURST_BYTES
    late = jump > LINK_QUEUE_PERIOD.total_seconds()
    assert queue.counters['drop', 'link-queue-timeout'] == (30 if late else 0)
