"""Limits and intervals shared by the whole product."""

from datetime import timedelta
from typing import Final

FLOW_KEY_BYTES: Final = 12
REQUEST_ID_BYTES: Final = 16
MAX_PACKET_BYTES: Final = 1400
MAX_HOLD_PACKETS: Final = 4096
MAX_FLOW_RECORDS: Final = 400_000
MAX_REQUEST_RECORDS: Final = 100_000
MAX_BACKEND_SERVERS: Final = 4096
MAX_TABLE_ENTRIES: Final = 40_000
MAX_DECISIONS: Final = 8192
MAX_TIMERS: Final = 32_768
MAX_SERIES: Final = 4096

BUCKETS_PER_POOL: Final = 256
RECORD_OWNERS: Final = 3
RELAY_HOPS: Final = 2
PACKETS_PER_BATCH: Final = 64

TICK: Final = timedelta(milliseconds=100)
ANNOUNCE_INTERVAL: Final = timedelta(milliseconds=500)
ANNOUNCE_LIFETIME: Final = timedelta(seconds=3)
BACKEND_KEPT: Final = timedelta(minutes=10)
SLOW_START: Final = timedelta(seconds=10)
REQUEST_RECORD_LIFETIME: Final = timedelta(seconds=120)
TIMER_LIFETIME: Final = timedelta(seconds=60)
LONG_POLL: Final = timedelta(seconds=5)
WITHDRAWAL: Final = timedelta(milliseconds=500)
HTTP_GRACE: Final = timedelta(seconds=2)
STOP_BOUND: Final = timedelta(seconds=10)

MAX_EDIT_RECORDS: Final = 50_000
MAX_PENDING_ENTRIES: Final = 1_000
MAX_ENTRIES_PER_MESSAGE: Final = 200
MAX_REPLICAS: Final = 24
SNAPSHOT_ENTRIES: Final = 1_000
KEPT_ENTRIES: Final = 200
HEARTBEAT: Final = timedelta(milliseconds=200)
MIN_ELECTION_TIMEOUT: Final = timedelta(milliseconds=1_000)
MAX_ELECTION_TIMEOUT: Final = timedelta(milliseconds=2_000)
LEADER_LEASE: Final = timedelta(milliseconds=800)
HELLO_INTERVAL: Final = timedelta(milliseconds=500)
HELLO_LIFETIME: Final = timedelta(seconds=3)
SNAPSHOT_RETRY: Final = timedelta(seconds=5)
TABLE_POLL: Final = timedelta(milliseconds=1_500)
TABLE_POLL_MARGIN: Final = timedelta(milliseconds=800)
TABLE_POLL_RETRY: Final = timedelta(milliseconds=200)
BALANCER_SEEN_LIFETIME: Final = timedelta(minutes=10)
MAX_BALANCERS_SEEN: Final = 12_000
MAX_CACHED_CHANGES: Final = 64
REPLICA_TICK: Final = timedelta(milliseconds=50)
REPLICA_TIMEOUT: Final = timedelta(milliseconds=400)
SNAPSHOT_TIMEOUT: Final = timedelta(seconds=10)
EDIT_TIMEOUT: Final = timedelta(seconds=3)
MAX_LINK_MESSAGES: Final = 64
MAX_REPLICA_BODY_BYTES: Final = 67_108_864
