"""Limits and intervals shared by the whole product."""

from datetime import timedelta
from typing import Final

FLOW_KEY_BYTES: Final = 12
REQUEST_ID_BYTES: Final = 16
MAX_PACKET_BYTES: Final = 1400
MAX_HOLD_PACKETS: Final = 4096
MAX_FLOW_RECORDS: Final = 400_000
MAX_REQUEST_RECORDS: Final = 100_000
MAX_WAITING_REQUESTS: Final = 256
MAX_SEEN_BYTES: Final = 1200
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
IDEMPOTENT_RECORD_MARGIN: Final = timedelta(seconds=60)
MAX_REQUEST_DEADLINE: Final = timedelta(seconds=60)
TOLD_LATE_AT_MOST: Final = timedelta(seconds=1)
TIMER_LIFETIME: Final = timedelta(seconds=60)
LONG_POLL: Final = timedelta(seconds=5)
WITHDRAWAL: Final = timedelta(milliseconds=500)
HTTP_GRACE: Final = timedelta(seconds=2)
STOP_BOUND: Final = timedelta(seconds=10)
REQUEST_TELL_MARGIN: Final = timedelta(milliseconds=150)
RETRY_FIRST_WAIT: Final = timedelta(milliseconds=250)
RETRIES_PER_SUCCESS: Final = 0.1
MAX_RETRY_TOKENS: Final = 10.0
IN_FLIGHT_PER_SLOT: Final = 16
SHED_WINDOW_FACTOR: Final = 0.5
WAITING_PER_PLACE: Final = 1
