/* All constants of the program, each with its unit and its reason. Values that depend on the
 * deployment (sizes, rates, leases) are read from the settings file instead. The suffix of a name
 * gives the unit: _MS milliseconds, _S seconds, _BYTES bytes. */
#pragma once

/* --- HTTP ---------------------------------------------------------------------------- */
/* Largest request body that the protocol allows. */
#define KR_BODY_MAX_BYTES 65536
/* Longest line in a response to a worker or a user, by the protocol. */
#define KR_LINE_MAX_BYTES 65536
/* Part of a worker's report beside its list of tasks: names, an address, numbers, and fields that
 * the protocol does not know. */
#define KR_REPORT_HEAD_BYTES 2048
/* Idle HTTP connections, e.g. of users and workers, are closed after this time. */
#define KR_CONN_IDLE_S 40
/* Time within which a new connection must have sent its request, head and body. No client waits for
 * an answer for as long: users give up after 5 s, workers after 4 s. */
#define KR_REQUEST_READ_MAX_S 10.0
/* Interval between looks for connections past that time. */
#define KR_REQUEST_CHECK_MS 1000
/* When no place is left, a connection may be closed that has sent no whole request after this time.
 */
#define KR_REQUEST_READ_MIN_MS 250
/* Share of the setting `sockets` for connections of users and workers, all of whom may connect to
 * one node. */
#define KR_CLIENT_SOCKET_SHARE 0.7
/* Length of the listen backlog, in connections. The kernel limits it too. */
#define KR_ACCEPT_BACKLOG_MAX 4096
/* Delay after a failed accept(), so that the node does not spin on the error. */
#define KR_ACCEPT_RETRY_MS 50
/* The limit on user requests that wait for the state service is never lower than this number. */
#define KR_API_PENDING_MIN 32
/* Share of that limit that polls may use. The rest is left to requests that change jobs. */
#define KR_API_POLL_SHARE 0.5
/* Number of polls in progress that read their job by a request of their own. Further polls share
 * requests. */
#define KR_API_DIRECT_POLLS 4
/* Number of polls that may wait for a shared request. Each takes a few KB of memory. */
#define KR_API_SHARED_POLLS_MAX 2048
/* Interval between shared requests. */
#define KR_JOB_VIEW_SYNC_MS 100
/* When the last update is older than this, all live jobs are listed instead of their changes. */
#define KR_JOB_VIEW_STALE_S 3.0
/* Longest time-out of a request for the changes. It doubles after each failure, as the changes are
 * more each time. */
#define KR_JOB_VIEW_TIMEOUT_MAX_MS 10000
/* Polls that wait for the live jobs must not go unserved for this time while the state service
 * answers. */
#define KR_VIEW_UNSERVED_MAX_S 30.0
/* Nesting of JSON that is kept. No message of the protocol needs more than eight levels. */
#define KR_JSON_DEPTH_MAX 32
/* Refused requests that get a log line of their own in each KR_REFUSAL_LOG_INTERVAL_S. */
#define KR_REFUSALS_LOGGED_MAX 20
#define KR_REFUSAL_LOG_INTERVAL_S 10.0
/* Length of a text from outside in the line about a refused request. */
#define KR_REFUSAL_TEXT_MAX_BYTES 120
/* Retry-After of 429 and 503 answers to users: the shortest delay that they honour. */
#define KR_RETRY_AFTER_S 1
/* Time-out of a call to the state service. Calls usually take 10 ms, sometimes several hundred. */
#define KR_STATE_TIMEOUT_MS 2500
/* Deadline of the answer to a poll. A user waits for it for 2 s. */
#define KR_USER_READ_DEADLINE_MS 1700
/* Time for which a user waits for the answer to a poll. */
#define KR_USER_POLL_TIMEOUT_S 2.0
/* Interval between log lines about polls that were not answered. */
#define KR_POLL_LOG_INTERVAL_S 5.0
/* Number of jobs whose time without an answer a node keeps. */
#define KR_UNANSWERED_JOBS_MAX 8192
/* A job that nobody has asked this node about for this time does not wait for its answer. */
#define KR_UNANSWERED_FORGET_S 30.0
/* An answer later than its deadline by more than this counts as stale and is not given. */
#define KR_USER_STALE_MS 1000
/* Deadline of the answer to a submission or cancellation. A user waits for it for 5 s. */
#define KR_USER_WRITE_DEADLINE_MS 4000
/* A submission whose write would wait longer than this for the rate limit is refused at once. */
#define KR_USER_WRITE_WAIT_MAX_S 1.0
/* Time-out of a call to the cloud. Rentals are slow, and their outcome matters. */
#define KR_CLOUD_TIMEOUT_MS 10000
/* Time-out of a direct call to a worker. A reachable worker answers within a few ms. */
#define KR_WORKER_TIMEOUT_MS 1500
/* Time-out of a call to another node. A reachable node answers within a few ms unless it is starved
 * of CPU time. */
#define KR_PEER_TIMEOUT_MS 1500
/* Connections to the state service: two watches and a few concurrent calls. */
#define KR_STATE_CONNS 8
/* Connections to the cloud: the machine list is read while a rental is in progress. */
#define KR_CLOUD_CONNS 4
/* Share of the setting `sockets` for direct calls to workers. Calls to unreachable machines hold
 * their connections until they time out. */
#define KR_WORKER_SOCKET_SHARE 0.15
/* Time within which a shard's owner must answer whether it acts on a cancellation. */
#define KR_CANCEL_CONFIRM_TIMEOUT_MS 1000
/* Delay before the owner is asked for this confirmation again: long enough for one round of a
 * watch, or for part of a report interval. */
#define KR_CANCEL_CONFIRM_RETRY_MS 200
/* The owner is asked at most this number of times. An unconfirmed attempt is resolved within half a
 * second. */
#define KR_CANCEL_CONFIRM_TRIES 5
/* Connections to each peer, for one exchange at a time. */
#define KR_PEER_CONNS 4
/* Connections of one session of the HTTP library, whose calls each cost a walk over them. */
#define KR_HTTP_SESSION_CONNS 32
/* Time within which the HTTP library must report the end of a cancelled call. After that the call
 * counts as lost. */
#define KR_CALL_LOST_TIMEOUT_MS 5000
/* Idle connections can only be closed while no call is in progress. While there is one, this is the
 * delay until the next try. */
#define KR_IDLE_CLOSE_RETRY_MS 200
/* Idle connections to workers are closed at this interval. Direct calls to workers are rare. */
#define KR_WORKER_CONN_IDLE_S 15
/* Length of a rate limiter's queue, in seconds' worth of calls. Users wait for about that long. */
#define KR_LIMITER_QUEUE_S 4.0
/* Longest time that a call to the state service waits for the rate limits: twice the length of the
 * queue, as calls of class high overtake others. A call of class low waits for its own time-out. */
#define KR_LIMITER_WAIT_MAX_MS 8000
/* Least length of that queue, in calls. When the queue is full, calls are refused at once, except
 * those of class high. */
#define KR_LIMITER_QUEUE_MIN 64

/* --- State service ------------------------------------------------------------------- */
/* Time for which the state service holds a watch request open: long enough to be cheap, short
 * enough to notice a network partition. */
#define KR_WATCH_HOLD_MS 10000
/* Time beyond the hold time before a watch request times out. */
#define KR_WATCH_TIMEOUT_SLACK_MS 4000
/* Time beyond its time-out before a list or watch request counts as lost and is sent again. */
#define KR_WATCH_LOST_MS 2000
/* Pause between two watch requests, so that changes made close together arrive in one answer. */
#define KR_WATCH_INTERVAL_MS 100
/* Keys in a page of a list. A page stays far below 512 KiB. */
#define KR_STORE_LIST_PAGE_KEYS 200
/* Without an answer for this time, the state service counts as unreachable: two renewals of the
 * node's lease have then gone unanswered. */
#define KR_STATE_UNREACHABLE_S 4.0
/* A peer that had an answer within this time reaches the state service: it renews its lease every
 * 1.5 s. */
#define KR_PEER_REACHES_STATE_S 2.0
/* Delay after a failed call to the state service. */
#define KR_STATE_RETRY_MS 500
/* Lease of a node. The shards of a node that died become free after this time. */
#define KR_NODE_LEASE_MS 6000
/* A process that was stopped for this time may have lost all its keys. */
#define KR_PROCESS_STALL_MS 6000
/* A node that could not read the owner keys for this time lets its lease expire, and with it the
 * keys that it holds. */
#define KR_OWNERS_UNREAD_MAX_S 15.0
/* The state service counts as failing for this time after a failed call. */
#define KR_STATE_FAILING_S 10.0
/* Interval between checks of a probe in progress. */
#define KR_PROBE_CHECK_MS 500
/* A peer counts as dead only after at least this number of successful reads of its presence without
 * an answer to the probe. */
#define KR_PROBE_READS 4
/* Interval between probes of the same peer. */
#define KR_PROBE_INTERVAL_MS 10000
/* Interval of lease renewals: four tries within the lease. */
#define KR_NODE_RENEW_MS 1500
/* Length of a job's id: the longest key with it, "done/ID/CHUNK", has at most 200 bytes. */
#define KR_JOB_ID_MAX_BYTES 188
/* Part of a stored value that is kept for a job's numbers and field names. */
#define KR_VALUE_JOB_FIELDS_BYTES 2048
/* Length of a job's value, where the state service allows more: a transaction with it and with the
 * chunks of its bitmap stays below 64 KiB. */
#define KR_JOB_VALUE_MAX_BYTES 32768
/* Length of a character of a string in JSON, at most: \u0001. */
#define KR_JSON_CHARACTER_MAX_BYTES 6
/* Tasks in a chunk of that bitmap. A chunk takes 4 KB in base64. */
#define KR_DONE_CHUNK_BITS 24000
/* Size limit of a batch of writes. It stays well below the 64 KiB of the protocol. */
#define KR_COMMIT_MAX_BYTES 40000
/* Minimum interval between two writes of the same job's progress. */
#define KR_PROGRESS_FLUSH_MS 5000
/* A batch of final states may always have this many writes: the final states of two jobs. */
#define KR_FINAL_WRITES_MIN 4
/* Share of a rate limiter's burst that progress writes leave to accepted jobs and final states. */
#define KR_BURST_RESERVE_SHARE 0.25
/* Delay between two batches when more than one is due. */
#define KR_FLUSH_BATCH_DELAY_MS 10
/* Number of jobs whose final answer a node caches. */
#define KR_FINAL_CACHE_JOBS 4096

/* --- Shares of the rate limits -------------------------------------------------------- */
/* The rate limits of the state service and of the cloud hold for all nodes together. A node's share
 * grows with its duties. The weights are relative to each other. */

/* Each node: users' requests are spread evenly over the nodes. */
#define KR_STATE_WEIGHT_NODE 1.0
/* Each shard that has teams: final states, progress and machine records. */
#define KR_STATE_WEIGHT_SHARD 1.0
/* The leader: the records of machines that it assigns to shards. */
#define KR_STATE_WEIGHT_LEADER 1.0
/* Each node: only the list of machine types. */
#define KR_CLOUD_WEIGHT_NODE 0.05
/* Each shard that has teams: the machine list, and deletions (100 machines a call). */
#define KR_CLOUD_WEIGHT_SHARD 0.5
/* The leader: the machine list, and rentals (50 machines a call). */
#define KR_CLOUD_WEIGHT_LEADER 4.0

/* Share of its base write rate that a node keeps when other nodes have more to write. */
#define KR_BUDGET_KEEP_SHARE 0.5
/* A node whose queued writes would take longer than this at its base rate borrows from others. */
#define KR_BUDGET_BACKLOG_S 4.0
/* Validity of an allotted write rate: two rounds of the leader. After it, the base rate holds. */
#define KR_BUDGET_VALID_S 2.5

/* --- Machine records ----------------------------------------------------------------- */
/* Machines in a chunk. A transaction of `txn_ops` chunks stays below 64 KiB. */
#define KR_RECORD_CHUNK_MACHINES 80
/* Size of a record entry (machine id and address), with room to spare. */
#define KR_RECORD_MACHINE_BYTES 64
/* Part of a stored value that is kept free beside its entries. */
#define KR_VALUE_SLACK_BYTES 256
/* Share of a node's writes that a shard's machine record may use. */
#define KR_RECORD_WRITE_SHARE 0.5
/* Minimum interval between two writes of a shard's machine record. Machines boot by the dozen, so
 * one write covers several of them. */
#define KR_RECORD_INTERVAL_MIN_S 0.2
/* Limit on the chunks of a shard. A key with a higher chunk number is ignored. */
#define KR_RECORD_CHUNKS_MAX 10000

/* --- Ownership ----------------------------------------------------------------------- */
/* Interval of the loop that acquires and releases the keys of shards and of the leader. */
#define KR_RECONCILE_MS 300
/* A shard must be free for this time before a node other than its home node acquires it. */
#define KR_NON_HOME_WAIT_MS 1500
/* Additional wait for each shard that the node already holds, so that the node with the fewest
 * shards comes first. */
#define KR_NON_HOME_STEP_MS 800
/* A home node must be present for this time before its shards are handed back to it. */
#define KR_HOME_HEALTHY_MS 8000
/* A shard whose takeover has not finished is handed back to its home node only after this multiple
 * of the workers' lease: the takeover waits for one lease and then fences the machines. */
#define KR_HAND_BACK_MAX_LEASES 2.0
/* Interval between takeover requests to the same former owner of a shard. */
#define KR_TAKEOVER_ASK_INTERVAL_MS 1000
/* An owner releases a shard when none of the shard's machines has reported for two report intervals
 * and this time. */
#define KR_SHARD_SILENCE_S 3.0
/* A node that released a shard for this reason does not acquire it again for this time. */
#define KR_SHARD_SILENCE_HOLD_OFF_MS 30000
/* In a takeover, a used machine that was not reached within this time is deleted. */
#define KR_FENCE_GRACE_S 6.0
/* Interval between checks of a takeover in progress. */
#define KR_FENCE_CHECK_MS 100
/* Least limit on concurrent fencing calls, and on the connections that they need. */
#define KR_FENCE_PARALLEL_MIN 32
/* Fencing calls go to 1/this of a shard's used machines concurrently. */
#define KR_FENCE_PARALLEL_DIVISOR 3
/* Unanswered fencing calls before a machine may be given up. */
#define KR_FENCE_TRIES 2
/* First delay before the next direct call to a machine that did not answer. */
#define KR_WORKER_BACKOFF_S 1.0
/* Longest such delay: the machine may be reachable again, and kills wait for the call. */
#define KR_WORKER_BACKOFF_MAX_S 8.0
/* Number of doublings of that delay until the longest one is reached. */
#define KR_WORKER_BACKOFF_DOUBLINGS 3
/* Delay before the deletion of a machine that the cloud refused is requested again. */
#define KR_DELETE_RETRY_S 2.0
/* At most 1/this of a shard's used machines count as few. */
#define KR_FENCE_FEW_DIVISOR 5
/* In a takeover, when only few used machines were not reached, they are deleted after this time. */
#define KR_FENCE_FEW_S 4.0
/* Margin added to a worker's lease, for the granularity of timers and delays of this process. */
#define KR_LEASE_MARGIN_S 1.0
/* Relative drift between two clocks: each may drift by 0.0005. */
#define KR_CLOCK_DRIFT 0.001
/* A machine that has not reported for its lease and this time is deleted. */
#define KR_SILENT_MACHINE_DELETE_S 25.0
/* Low bits of an attempt id that count the attempts; the fencing token is in the bits above. */
#define KR_ATTEMPT_COUNTER_BITS 20

/* --- Scheduling ---------------------------------------------------------------------- */
/* Interval of a shard's periodic duties. */
#define KR_TICK_MS 1000
/* Number of these intervals between status lines in the log (debug). */
#define KR_STATUS_TICKS 5
/* Lower bound of the time left until a goal, so that the number of slots needed stays finite. */
#define KR_TIME_TO_GOAL_MIN_S 1.0
/* Finish goal of a job with neither a deadline nor an objective. */
#define KR_DEFAULT_FINISH_GOAL_S 600.0
/* First backoff of a job that fails on several machines. */
#define KR_JOB_BACKOFF_S 5.0
/* Longest such backoff: the machines on which the job failed may be healthy again. */
#define KR_JOB_BACKOFF_MAX_S 60.0
/* An attempt clears a job's failures when it has run for this multiple of the longest failed run
 * and at least KR_RECOVERED_RUN_S more: it will probably succeed. */
#define KR_RECOVERED_RUN_FACTOR 1.5
#define KR_RECOVERED_RUN_S 2.0
/* Time for which a job avoids the only machine on which it has failed. */
#define KR_FAILED_MACHINE_AVOID_S 30.0
/* A job that has failed on this number of machines is subject to the backoff. */
#define KR_JOB_BACKOFF_MACHINES 2
/* A machine counts as faulty when this number of jobs have failed on it and on no other machine. A
 * job that has completed tasks counts twice. */
#define KR_FAULTY_MACHINE_JOBS 2
/* Longest time that a machine's first report waits for the machine record to be written. Workers
 * wait for an answer for 4 s. */
#define KR_FIRST_REPORT_HOLD_MS 1500
/* Interval between checks for reports that have waited for that time. */
#define KR_FIRST_REPORT_HOLD_CHECK_MS 250
/* The ranking of an unchanged job is reused for this time. */
#define KR_RANKING_CACHE_MS 100
/* Start goal of a job without an objective for it. */
#define KR_DEFAULT_START_GOAL_S 60.0
/* A job goes first if this time after its submission none of its tasks runs or has completed. */
#define KR_STARVATION_S 120.0
/* If this time after a job's submission none of its tasks runs or has completed, its shard gets a
 * machine. The machine may have to be drained first. */
#define KR_STARVATION_MACHINE_S 60.0
/* The first task of a job that has waited for KR_STARVATION_S is not preempted for this time. */
#define KR_FIRST_TASK_PROTECT_S 30.0
/* First backoff of a machine that reports but does not receive its orders. */
#define KR_UNDELIVERED_BACKOFF_S 2.0
/* Longest such backoff: the machine may receive orders again, and tasks wait. */
#define KR_UNDELIVERED_BACKOFF_MAX_S 60.0
/* Each further backoff is 2^this times as long. A worker whose responses are lost reports to one
 * node after the other and comes back to its owner only every dozen seconds. */
#define KR_UNDELIVERED_BACKOFF_SHIFT 3
/* Number of times that this backoff grows. */
#define KR_UNDELIVERED_BACKOFF_STEPS 2
/* Completed tasks before a machine's slowdown or a job's mean task time is meaningful. */
#define KR_SLOWDOWN_MIN_TASKS 4
/* Weight of the newest task in the moving average of a machine's slowdown. */
#define KR_SLOWDOWN_WEIGHT 0.3
/* A machine whose tasks take this multiple of the job's mean is drained. Machines of one type
 * differ by a tenth. */
#define KR_SLOWDOWN_LIMIT 2.5
/* Longest time that a job waits before it may preempt tasks of lower priority, or of teams that
 * exceed their guarantee. */
#define KR_PREEMPT_WAIT_S 1.0
/* Time for which the resources freed by a preemption stay reserved. */
#define KR_PREEMPT_RESERVE_S 8.0
/* Grace period beyond a job's save time (StowS) for a task that saves its state. */
#define KR_SAVE_GRACE_S 1.0
/* Without a report for this time, kills are sent to the machine by direct calls. */
#define KR_KILL_REPEAT_S 1.0
/* After this share of the setting `cancel_s`, an unreachable machine that has a cancelled task is
 * deleted. */
#define KR_CANCEL_DELETE_SHARE 0.6

/* --- Provisioning -------------------------------------------------------------------- */
/* Interval between reads of the machine types. Spot prices change. */
#define KR_TYPES_INTERVAL_MS 30000
/* The same while the machine types are not known. */
#define KR_TYPES_RETRY_MS 1000
/* Interval between the leader's reads of the machine list. */
#define KR_LIST_LEADER_INTERVAL_MS 5000
/* The same for the other owners of shards: failed machines are rare. */
#define KR_LIST_OWNER_INTERVAL_MS 10000
/* Machines in a page of the machine list, by the protocol. */
#define KR_MACHINE_LIST_PAGE 500
/* A machine known only from a stale list, and never listed again, is deleted after this time and
 * four times the list's lag. */
#define KR_UNLISTED_MACHINE_S 60.0
/* Time beyond the longest lag of the list before a machine missing from it is deleted. */
#define KR_MISSING_MARGIN_S 2.0
/* A removed machine may still be listed for this time and four times the list's lag. */
#define KR_LIST_STALE_S 40.0
/* Removed machines are remembered for this time, far longer than any lag of the list. */
#define KR_REMOVED_MACHINE_MEMORY_S 3600.0
/* Interval of the leader's rounds with the shards' owners. */
#define KR_LEADER_ROUND_MS 1000
/* Interval of the provisioner's timer, and of a new leader's first rounds. */
#define KR_LEADER_CHECK_MS 100
/* Longest time that a round waits for the answers of all nodes. */
#define KR_LEADER_ANSWERS_MS 300
/* Time that a new leader waits for owners that do not answer. */
#define KR_NEW_LEADER_WAIT_S 1.5
/* Machines in one request with directives. It stays far below the body limit of 64 KiB. */
#define KR_DIRECTIVE_MACHINES_MAX 1500
/* When no leader has asked for an owner's summary for this time, the owner stores it in the state
 * service. */
#define KR_LEADER_SILENCE_S 4.0
/* The leader ignores a stored summary that is older than this. */
#define KR_STORED_SUMMARY_MAX_AGE_S 10.0
/* Minimum interval between two stored summaries of the same shard. */
#define KR_STORED_SUMMARY_INTERVAL_MS 2000
/* Interval of rentals: 50 machines a call, from pools of up to 1,000 machines. */
#define KR_RENT_INTERVAL_MS 250
/* Interval at which busy machines are rebalanced. Idle ones are rebalanced in each round. */
#define KR_REBALANCE_BUSY_INTERVAL_MS 5000
/* At least this number of machines may be moved in a round. */
#define KR_REBALANCE_MOVES_MIN 64
/* In larger clusters, 1/this of all machines may be moved in a round. */
#define KR_REBALANCE_MOVES_DIVISOR 8
/* 1/this of a shard's machines, and one more, may be draining for a move. */
#define KR_REBALANCE_DRAINING_DIVISOR 6
/* A job's demand is computed for this share of the time from its submission to its goal. The rest
 * is left for image pulls, reports and moves of machines. */
#define KR_RENT_GOAL_SHARE 0.75
/* No machine is rented for a part of a slot below this fraction of a machine. */
#define KR_RENT_MIN_MACHINES 0.05
/* Demand that has been unmet for this time is logged, and again at this interval. */
#define KR_UNMET_DEMAND_LOG_S 30.0
/* Machines in a rental, by the protocol. */
#define KR_RENT_BATCH_MAX 50
/* Machine ids in a deletion, by the protocol. */
#define KR_DELETE_BATCH_MAX 100
/* Deletions requested within this time go out in one call. */
#define KR_DELETE_BATCH_DELAY_MS 20
/* Burst of calls that the cloud accepts at once, in seconds' worth of calls, by the protocol. */
#define KR_CLOUD_BURST_S 2
/* A machine that has not reported for this number of report intervals does not count as supply, nor
 * as a reporting machine in a takeover. */
#define KR_SILENT_REPORT_PERIODS 3.0
/* First backoff of a pool in which the cloud refused a rental. */
#define KR_POOL_BACKOFF_MS 15000
/* Longest backoff of such a pool. */
#define KR_POOL_BACKOFF_MAX_MS 60000
/* Least backoff of such a pool once a machine has been removed. */
#define KR_POOL_REOPEN_MIN_MS 5000
/* A machine that has been idle and not needed for this time is returned. */
#define KR_IDLE_RETURN_S 5.0
/* After this multiple of its type's boot time (ReadyS), a starting machine counts as late and
 * others are rented. Booting usually takes 0.6 to 1.5 times ReadyS. */
#define KR_BOOT_LATE_FACTOR 2.0
/* After this multiple of ReadyS, a starting machine is given up. */
#define KR_BOOT_GIVE_UP_FACTOR 4.0
/* A starting machine is not given up before this time, whatever its ReadyS. */
#define KR_BOOT_MIN_S 60.0
/* The last demand of a shard that does not answer is used for this time: the network between the
 * nodes may be partitioned. */
#define KR_SUMMARY_MAX_AGE_S 60.0
