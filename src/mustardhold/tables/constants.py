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
MAX_HELD_PER_FLOW: Final = 16
RECORDS_PER_PAGE: Final = 160
HANDOVER_BYTES_PER_SECOND: Final = 1200

TICK: Final = timedelta(milliseconds=100)
GRANT_LIFETIME: Final = timedelta(seconds=2)
LEASE_LIFETIME: Final = timedelta(seconds=2)
LEASE_MARGIN: Final = timedelta(milliseconds=100)
RENEWAL_INTERVAL: Final = timedelta(milliseconds=300)
CAMPAIGN_LIFETIME: Final = timedelta(milliseconds=600)
CANDIDATE_STAGGER: Final = timedelta(milliseconds=300)
ASK_INTERVAL: Final = timedelta(milliseconds=100)
OVERTAKEN_HOLD: Final = timedelta(milliseconds=50)
EARLY_HOLD: Final = timedelta(seconds=1)
PAGE_TIMEOUT: Final = timedelta(milliseconds=300)
FROZEN_AFTER: Final = timedelta(seconds=1)
DISCARD_AFTER_FREEZE: Final = timedelta(milliseconds=500)
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
