"""Limits, intervals and timeouts of all parts of the product."""

from datetime import timedelta
from typing import Final

FLOW_KEY_BYTES: Final = 12
REQUEST_ID_BYTES: Final = 16
MAX_PACKET_BYTES: Final = 1400
MAX_HELD_PACKETS: Final = 4096
MAX_EARLY_MESSAGES: Final = 4096
MAX_FLOW_RECORDS: Final = 400_000
MAX_REQUEST_RECORDS: Final = 100_000
MAX_WAITING_REQUESTS: Final = 256
MAX_ANSWER_REPORT_BYTES: Final = 1200
MAX_BACKEND_SERVERS: Final = 4096
MAX_SERVER_SLOTS: Final = 1_000_000
MAX_REPORTED_NAME_LENGTH: Final = 255
MAX_TABLE_ENTRIES: Final = 40_000
MAX_DECISIONS: Final = 8192
MAX_TIMERS: Final = 32_768
MAX_HISTOGRAMS: Final = 4096

BUCKETS_PER_POOL: Final = 256
OWNERS_PER_BUCKET: Final = 3
MAX_RELAY_HOPS: Final = 2
PACKETS_PER_BATCH: Final = 64
MAX_HELD_PER_FLOW: Final = 16
MAX_CLOSED_FLOWS: Final = 16_384
RECORDS_PER_PAGE: Final = 160
HANDOVER_BYTES_PER_SECOND: Final = 1200

TICK: Final = timedelta(milliseconds=100)
GRANT_LIFETIME: Final = timedelta(seconds=2)
LEASE_LIFETIME: Final = timedelta(seconds=2)
LEASE_MARGIN: Final = timedelta(milliseconds=100)
RENEWAL_INTERVAL: Final = timedelta(milliseconds=300)
CAMPAIGN_LIFETIME: Final = timedelta(milliseconds=600)
CANDIDATE_STAGGER: Final = timedelta(milliseconds=300)
FOUNDING_WAIT: Final = timedelta(seconds=1)
RECORD_QUERY_INTERVAL: Final = timedelta(milliseconds=100)
REORDERING_HOLD: Final = timedelta(milliseconds=50)
CLOSED_FLOW_PERIOD: Final = timedelta(seconds=5)
EARLY_HOLD: Final = timedelta(seconds=1)
RECORD_PAGE_TIMEOUT: Final = timedelta(milliseconds=300)
FREEZE_THRESHOLD: Final = timedelta(seconds=1)
DISCARD_AFTER_FREEZE: Final = timedelta(milliseconds=500)
DIGEST_INTERVAL: Final = timedelta(milliseconds=500)
JOIN_WAIT: Final = timedelta(milliseconds=1200)
ANNOUNCEMENT_LIFETIME: Final = timedelta(seconds=3)
BACKEND_RETENTION: Final = timedelta(minutes=10)
SLOW_START: Final = timedelta(seconds=10)
MAX_SLOW_START: Final = timedelta(days=1)
REQUEST_RECORD_LIFETIME: Final = timedelta(seconds=120)
IDEMPOTENT_RECORD_MARGIN: Final = timedelta(seconds=60)
MAX_REQUEST_DEADLINE: Final = timedelta(seconds=60)
MAX_OUTCOME_LATENESS: Final = timedelta(seconds=1)
TIMER_LIFETIME: Final = timedelta(seconds=60)
WITHDRAWAL: Final = timedelta(milliseconds=500)
HTTP_GRACE: Final = timedelta(seconds=2)
STOP_BOUND: Final = timedelta(seconds=10)
OUTCOME_REPORT_MARGIN: Final = timedelta(milliseconds=150)
RETRY_BASE_DELAY: Final = timedelta(milliseconds=250)
RETRIES_PER_SUCCESS: Final = 0.1
MAX_RETRY_TOKENS: Final = 10.0
IN_FLIGHT_PER_SLOT: Final = 16
SHED_WINDOW_FACTOR: Final = 0.5

HEDGE_PERCENTILE: Final = 0.95
HEDGE_SAMPLES: Final = 256
# With fewer, the percentile would rest on one or two requests.
MIN_HEDGE_SAMPLES: Final = 64
HEDGE_RESORT_SAMPLES: Final = 8
# The unused budget of so many requests is kept for a burst of slow ones.
HEDGE_BURST_REQUESTS: Final = 100
MAX_HEDGE_PROMISES: Final = 16_384
MAX_HEDGE_EVENTS: Final = 1024
MAX_COPY_PARTS: Final = 64
MAX_COPIES_WAITING: Final = 16
COPY_FLOW_RETRY: Final = timedelta(milliseconds=250)
COPY_FLOW_IDLE: Final = timedelta(seconds=60)
QUEUED_PER_SLOT: Final = 1

MAX_EDIT_RECORDS: Final = 50_000
MAX_PENDING_ENTRIES: Final = 1_000
MAX_ENTRIES_PER_MESSAGE: Final = 200
MAX_REPLICAS: Final = 24
MAX_BYTES_PER_MESSAGE: Final = 262_144
SNAPSHOT_ENTRIES: Final = 1_000
SNAPSHOT_BYTES: Final = 262_144
RETAINED_LOG_ENTRIES: Final = 200
RETAINED_LOG_BYTES: Final = 65_536
HEARTBEAT_INTERVAL: Final = timedelta(milliseconds=200)
MIN_ELECTION_TIMEOUT: Final = timedelta(milliseconds=1_000)
MAX_ELECTION_TIMEOUT: Final = timedelta(milliseconds=2_000)
ELECTION_RETRY: Final = timedelta(milliseconds=300)
LEADER_LEASE: Final = timedelta(milliseconds=800)
HELLO_INTERVAL: Final = timedelta(milliseconds=500)
HELLO_LIFETIME: Final = timedelta(seconds=3)
REPLICA_CONTACT_TIMEOUT: Final = timedelta(seconds=1)
VOTER_LOSS_TIMEOUT: Final = timedelta(milliseconds=1_500)
# If the learner that is to replace the voter has not caught up.
UNREADY_VOTER_LOSS_TIMEOUT: Final = timedelta(seconds=3)
LEARNER_RETENTION: Final = timedelta(seconds=15)
SNAPSHOT_RETRY: Final = timedelta(seconds=5)
SNAPSHOT_QUICK_RETRY: Final = timedelta(milliseconds=500)
# A member that was lost for longer gets a snapshot again.
CATCH_UP_PERIOD: Final = timedelta(seconds=10)
MAX_CATCH_UP_BYTES: Final = 2_097_152
MAX_CATCH_UP_ENTRIES: Final = 4_000
TABLE_POLL_WAIT: Final = timedelta(milliseconds=1_500)
TABLE_POLL_MARGIN: Final = timedelta(milliseconds=800)
TABLE_POLL_RETRY: Final = timedelta(milliseconds=200)
BALANCER_POLL_RETENTION: Final = timedelta(minutes=10)
MAX_POLLING_BALANCERS: Final = 12_000
MAX_CACHED_CHANGES: Final = 64
REPLICA_TICK: Final = timedelta(milliseconds=50)
REPLICA_TIMEOUT: Final = timedelta(milliseconds=400)
SNAPSHOT_TIMEOUT: Final = timedelta(seconds=10)
EDIT_TIMEOUT: Final = timedelta(seconds=3)
MAX_LINK_MESSAGES: Final = 64
MAX_REPLICA_BODY_BYTES: Final = 67_108_864

HTTP_IDLE_TIMEOUT: Final = timedelta(seconds=15)
CONNECT_RETRY_DELAY: Final = timedelta(milliseconds=30)
CONNECT_BACKOFF_FACTOR: Final = 1.25
TCP_ACK_TIMEOUT: Final = timedelta(seconds=2)
MAX_HTTP_CONNECTIONS: Final = 2_048
MAX_HTTP_RESPONSE_BYTES: Final = 67_108_864
MAX_IDLE_CONNECTIONS: Final = 8

ENDED_SERVER_RETENTION: Final = timedelta(seconds=90)
SILENT_SERVER_RETENTION: Final = timedelta(seconds=90)
UNRESPONSIVE_SERVER_RETENTION: Final = timedelta(seconds=180)
UNRESPONSIVE_AFTER_INTERVALS: Final = 3.0
SERVERS_PER_OPENING: Final = 2
COLD_WEIGHT: Final = 0.5
# Servers of a data centre whose evacuation ended have no open flows, and all
# balancers return at about the same time: the weights rise by a fifth a second.
# Each step prepares the ranking of every service again, so there are few.
RETURN_STEPS: Final = 4
RETURN_STEP: Final = timedelta(seconds=1)
# After a quiet time, this adds a quarter of the limit to what the balancers
# send in a second. The platform tolerates half of it and five; the rest is for
# balancers whose times happen to be close to each other.
COLD_OPENING_PERIOD: Final = timedelta(milliseconds=250)
# Hashes spread the balancers unevenly: with their whole shares of a limit of
# 10, 80 of them sent 21 openings in the busiest second of a simulation.
COLD_SHARE_USED: Final = 0.8
# Longer than a balancer takes to follow another source after one has failed.
BALANCER_COUNT_PERIOD: Final = timedelta(seconds=5)
# Times of arrival, from which the ends of slow starts are computed, vary by
# less than this: a report waits for up to one poll of the feed.
SLOW_START_TOLERANCE: Final = timedelta(seconds=1)
FEED_WAIT: Final = timedelta(milliseconds=600)
CONTROL_COALESCING: Final = timedelta(milliseconds=10)
FEED_COALESCING: Final = timedelta(milliseconds=50)
MAX_FEED_COALESCING: Final = timedelta(milliseconds=400)
# Share of a second that a process may spend on one watcher's replies.
FEED_REPLY_COST: Final = timedelta(milliseconds=2)
SNAPSHOT_LIFETIME: Final = timedelta(milliseconds=200)
# Thousands of servers on a slow link.
FEED_SNAPSHOT_TIMEOUT: Final = timedelta(seconds=2)
FEED_MARGIN: Final = timedelta(milliseconds=700)
DOCUMENT_TIMEOUT: Final = timedelta(seconds=5)
MAX_CONFIGURATION_BYTES: Final = 8_388_608
FEED_FIRST_RETRY: Final = timedelta(milliseconds=20)
FEED_RETRY: Final = timedelta(milliseconds=150)
FEED_MAX_RETRY: Final = timedelta(seconds=1)
FEED_RETRY_SHARE: Final = 0.1
GROUP_AWAY_PERIOD: Final = timedelta(seconds=5)
FEED_WATCHERS_PER_CONTROL: Final = 32
FEED_WATCHERS_PER_BALANCER: Final = 16
SUGGESTED_RELAYS: Final = 3
RELAY_FAILURE_PERIOD: Final = timedelta(seconds=10)
SETTLING_PERIOD: Final = timedelta(seconds=10)
WATCHER_LIFETIME: Final = timedelta(seconds=2)
FEED_FRESH_PERIOD: Final = timedelta(milliseconds=1_500)
FEED_STALE_AFTER: Final = timedelta(seconds=2)
WATCHED_CONTROLS: Final = 2
CONFIGURATION_TIMEOUT: Final = timedelta(milliseconds=900)
LEAVE_TIMEOUT: Final = timedelta(milliseconds=850)
MIN_DRAIN_PERIOD: Final = timedelta(milliseconds=1_500)
DRAIN_QUIET_PERIOD: Final = timedelta(seconds=1)
DRAIN_CHECK_INTERVAL: Final = timedelta(milliseconds=100)
STOP_GRACE: Final = timedelta(seconds=6)
# Time to close connections before the process would be killed.
STOP_MARGIN: Final = timedelta(milliseconds=500)
START_HOLD_TIMEOUT: Final = timedelta(seconds=1)
MAX_HELD_AT_START: Final = 1_024
OPENING_RETENTION: Final = timedelta(milliseconds=1_500)
MAX_RECENT_OPENINGS: Final = 16_384
# Longer than the round trip of an answered opening, and shorter than the time
# until a caller repeats an opening.
OPENING_ANSWER_TIMEOUT: Final = timedelta(milliseconds=120)
AVOID_AFTER_UNANSWERED: Final = 2
AVOIDANCE_PERIOD: Final = timedelta(seconds=3)

# An IPv4 and a UDP header.
DATAGRAM_HEADER_BYTES: Final = 28
# A datagram with a full packet: 8 bytes for the server, 32 of header, 1,200 of
# payload.
FULL_DATAGRAM_BYTES: Final = 1_268
# The rest is for the feed and for readiness checks.
LINK_RATE_SHARE: Final = 0.92
# A link's own queue holds some five full datagrams; the feed needs some of it.
LINK_BURST_BYTES: Final = 3 * FULL_DATAGRAM_BYTES
# Fast links queue more: without this, their timers would be too frequent.
LINK_BURST_PERIOD: Final = timedelta(milliseconds=5)
# A flow that has more than this in the queue at once has a backlog. Requests
# without a body fit; a full datagram does not.
SPARSE_FLOW_BYTES: Final = FULL_DATAGRAM_BYTES // 2
# Callers retransmit after 200 ms, 600 ms and 1.4 s.
LINK_QUEUE_PERIOD: Final = timedelta(seconds=1)
MAX_LINK_QUEUE_BYTES: Final = 1_048_576
MIN_LINK_WAIT: Final = timedelta(milliseconds=1)

ANSWER_CHECK_INTERVAL: Final = timedelta(milliseconds=100)
# Shorter than the time until a caller gives up, so that retries avoid a server.
EVIDENCE_INTERVAL: Final = timedelta(milliseconds=200)
EVIDENCE_MAX_PAUSE: Final = timedelta(seconds=2)
EVIDENCE_TIMEOUT: Final = timedelta(milliseconds=400)
EVIDENCE_TRIES: Final = 3
EVIDENCE_FAILURE_PERIOD: Final = timedelta(seconds=5)

LOG_LINES_PER_SECOND: Final = 20.0
LOG_LINES_BURST: Final = 100.0
MAX_LOG_BACKLOG_BYTES: Final = 65_536
DIRECTORY_SAVE_INTERVAL: Final = timedelta(milliseconds=500)
DIRECTORY_SAVE_PAUSE: Final = timedelta(milliseconds=50)
RESTORED_REPORT_AGE: Final = timedelta(seconds=1)
