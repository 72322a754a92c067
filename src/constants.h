/* Every constant of the program, with its unit and its reason. What a deployment decides (sizes,
 * rates, leases) is told by the settings file and never stands here. */
#pragma once

/* --- HTTP ---------------------------------------------------------------------------- */
#define KR_BODY_MAX_BYTES 65536 /* bytes; largest request body by the protocol */
#define KR_CONN_IDLE_S 40       /* s; a user's or worker's silent connection is closed then */
#define KR_CLIENT_SOCKET_SHARE                                                                     \
  0.7 /* of `sockets`: users and workers, who may all come to one node */
#define KR_ACCEPT_BACKLOG_MAX 4096 /* connections that wait in the kernel, which caps it too */
#define KR_ACCEPT_RETRY_MS 50      /* ms; pause after a failed accept, so that it cannot spin */
#define KR_API_PENDING_MIN 32      /* user requests that may wait for the state service, at least */
#define KR_API_POLL_SHARE 0.5      /* of these: polls, the rest is for what changes jobs */
#define KR_API_DIRECT_POLLS 4      /* polls under way: further ones share requests */
#define KR_API_SHARED_POLLS_MAX 2048 /* polls that may wait for such a request: some KB each */
#define KR_JOB_VIEW_SYNC_MS 100      /* ms between such requests */
#define KR_JOB_VIEW_STALE_S 3.0  /* s after which the live jobs are read anew, not their changes */
#define KR_RETRY_AFTER_S 1       /* s; told to users with 429/503: the shortest they honour */
#define KR_STATE_TIMEOUT_MS 2500 /* ms; state calls take 10 ms, now and then some hundreds */
#define KR_USER_READ_DEADLINE_MS 1700 /* ms; a user waits 2 s for a poll's answer */
#define KR_USER_STALE_MS 1000         /* ms over that time before an answer counts as from before */
#define KR_USER_WRITE_DEADLINE_MS 4000 /* ms; a user waits 5 s for the answer to a submission */
#define KR_USER_WRITE_WAIT_MAX_S 1.0   /* s; a write that would wait longer is refused at once */
#define KR_CLOUD_TIMEOUT_MS 10000      /* ms; rentals are slow; the outcome matters */
#define KR_WORKER_TIMEOUT_MS 1500      /* ms; a reachable worker answers in a few */
#define KR_PEER_TIMEOUT_MS 1500 /* ms; a reachable peer answers in a few, if it is not starved */
#define KR_STATE_CONNS 8        /* two watches and a few calls side by side */
#define KR_CLOUD_CONNS 4        /* the list is read while a rental is under way */
#define KR_WORKER_SOCKET_SHARE 0.15 /* of `sockets`: unreachable machines hold theirs long */
#define KR_CANCEL_CONFIRM_TIMEOUT_MS                                                               \
  1000 /* ms; an owner that does not say within it that a job's tasks end */
#define KR_CANCEL_CONFIRM_RETRY_MS                                                                 \
  200 /* ms between questions to it: a watch round, or part of a report's */
#define KR_CANCEL_CONFIRM_TRIES                                                                    \
  5                     /* such questions: a launch in doubt is settled within half a second */
#define KR_PEER_CONNS 4 /* one exchange at a time with each peer */
#define KR_CALL_LOST_TIMEOUT_MS                                                                    \
  5000 /* ms for the HTTP library to report the end of a cancelled call */
#define KR_IDLE_CLOSE_RETRY_MS 200 /* ms between looks for a moment without calls */
#define KR_WORKER_CONN_IDLE_S 15   /* s; direct connections to workers are rare */
#define KR_LIMITER_QUEUE_S 4.0 /* s worth of calls that may wait for a rate limit, as users do */
#define KR_LIMITER_WAIT_MAX_MS                                                                     \
  8000 /* ms that such a call waits at most: twice that, for those ahead of it */
#define KR_LIMITER_QUEUE_MIN 64 /* such calls at least; beyond: refused at once */

/* --- State service ------------------------------------------------------------------- */
#define KR_WATCH_HOLD_MS 10000         /* ms; long enough to be cheap, short enough to see a cut */
#define KR_WATCH_TIMEOUT_SLACK_MS 4000 /* ms beyond the hold before a watch counts as lost */
#define KR_WATCH_LOST_MS 2000       /* ms beyond the deadline of a read before it counts as lost */
#define KR_WATCH_INTERVAL_MS 100    /* ms between watches: changes of one moment come together */
#define KR_STORE_LIST_PAGE_KEYS 200 /* keys a page: stays far below 512 KiB */
#define KR_STATE_UNREACHABLE_S 4.0  /* s; two renewals of the lease unanswered */
#define KR_PEER_REACHES_STATE_S                                                                    \
  2.0                         /* s; a node that is served hears more often: it renews each 1.5 s */
#define KR_STATE_RETRY_MS 500 /* ms; pause after a failed state call */
#define KR_NODE_LEASE_MS 6000 /* ms; a dead node's parts are free after this */
#define KR_PROCESS_STALL_MS 6000 /* ms; a node that stood still so long may have lost all keys */
#define KR_OWNERS_UNREAD_MAX_S                                                                     \
  15.0 /* s; a node that could not read who owns what gives its keys up */
#define KR_STATE_FAILING_S                                                                         \
  10.0 /* s since a failed call in which the state service counts as failing */
#define KR_PROBE_CHECK_MS 500 /* ms between looks at a probe */
#define KR_PROBE_READS 4      /* answered reads of a presence that show no answer to the probe */
#define KR_PROBE_INTERVAL_MS 10000 /* ms between probes of one peer */
#define KR_NODE_RENEW_MS 1500      /* ms; four tries within the lease */
#define KR_VALUE_JOB_FIELDS_BYTES                                                                  \
  2048                              /* bytes of a value kept for a job's fields beside its bits */
#define KR_DONE_CHUNK_BITS 24000    /* tasks a chunk of a done set: 4 KB in base64 */
#define KR_COMMIT_MAX_BYTES 40000   /* bytes; a batch stays well below the protocol's 64 KiB */
#define KR_PROGRESS_FLUSH_MS 5000   /* ms; a job's progress is written this often at most */
#define KR_FINAL_WRITES_MIN 4       /* changes; two jobs' ends go out together at least */
#define KR_BURST_RESERVE_SHARE 0.25 /* of a burst: what progress leaves to accepts and ends */
#define KR_FLUSH_BATCH_DELAY_MS 10  /* ms; between batches when more than one is due */
#define KR_FINAL_CACHE_JOBS 4096    /* jobs whose final answer a node remembers */

/* --- Shares of the budgets ------------------------------------------------------------ */
/* The state service's and the cloud's limits hold for all nodes together. Each node's part grows
 * with what it has to do; the weights are relative to each other. */
#define KR_STATE_WEIGHT_NODE 1.0   /* users' requests come to all nodes alike */
#define KR_STATE_WEIGHT_SHARD 1.0  /* a part with teams: ends, progress, records */
#define KR_STATE_WEIGHT_LEADER 1.0 /* the leader: machines given to parts */
#define KR_CLOUD_WEIGHT_NODE 0.05  /* machine types only */
#define KR_CLOUD_WEIGHT_SHARD 0.5  /* a part with teams: the list, deletions (100 a call) */
#define KR_CLOUD_WEIGHT_LEADER 4.0 /* the leader: the list, rentals (50 a call) */

#define KR_BUDGET_KEEP_SHARE                                                                       \
  0.5 /* of a node's changes: what it keeps when others have more to write */
#define KR_BUDGET_BACKLOG_S 4.0 /* s that what waits would take, before others lend */
#define KR_BUDGET_VALID_S 2.5   /* s; two rounds of the leader: then the fixed parts hold again */

/* --- Machines' records --------------------------------------------------------------- */
#define KR_RECORD_CHUNK_MACHINES 80  /* machines a chunk: txn_ops of them stay below 64 KiB */
#define KR_RECORD_MACHINE_BYTES 64   /* bytes; an entry (id and address) with room to spare */
#define KR_VALUE_SLACK_BYTES 256     /* bytes of a value kept free beside the entries */
#define KR_RECORD_WRITE_SHARE 0.5    /* of a node's writes: what a part's record may take */
#define KR_RECORD_INTERVAL_MIN_S 0.2 /* s between two writes of it: machines boot by the dozen */
#define KR_RECORD_CHUNKS_MAX 10000   /* chunks a part: any more is no key of ours */

/* --- Ownership ----------------------------------------------------------------------- */
#define KR_RECONCILE_MS 300      /* ms between looks at which keys to take or give */
#define KR_NON_HOME_WAIT_MS 1500 /* ms a part must be free before a node not its home takes it */
#define KR_NON_HOME_STEP_MS 800  /* ms more for each part already held: the idlest goes first */
#define KR_HOME_HEALTHY_MS 8000  /* ms the home node must be present before it gets parts back */
#define KR_HAND_BACK_MAX_LEASES                                                                    \
  2.0 /* workers' leases that a foreign part may stay closed before it */
      /* goes home all the same: a wait for one lease, and its fences */
#define KR_TAKEOVER_ASK_INTERVAL_MS 1000 /* ms between questions to a former owner of a part */
#define KR_SHARD_SILENCE_S 3.0 /* s beyond two reports without any machine: hand the part on */
#define KR_SHARD_SILENCE_HOLD_OFF_MS 30000 /* ms a node keeps off a part it handed on for silence  \
                                            */
#define KR_FENCE_GRACE_S 6.0               /* s; a used machine not reached by then is deleted */
#define KR_FENCE_CHECK_MS 100              /* ms between looks at a takeover */
#define KR_FENCE_PARALLEL_MIN 32 /* machines asked at once, at least: each call has a connection   \
                                  */
#define KR_FENCE_PARALLEL_DIVISOR 3 /* of a part's used machines, the inverse share asked at once  \
                                     */
#define KR_FENCE_TRIES 2            /* calls without an answer before a machine is given up */
#define KR_WORKER_BACKOFF_S                                                                        \
  1.0 /* s; first pause after a direct call that a machine did not answer */
#define KR_WORKER_BACKOFF_MAX_S                                                                    \
  8.0 /* s; longest such pause: it may be well again, and kills wait */
#define KR_WORKER_BACKOFF_DOUBLINGS 3 /* doublings of it until then */
#define KR_DELETE_RETRY_S 2.0         /* s until a refused deletion is asked for again */
#define KR_FENCE_FEW_DIVISOR 5 /* of the used machines, the inverse share that counts as few */
#define KR_FENCE_FEW_S 4.0     /* s; then few that were not reached are deleted */
#define KR_LEASE_MARGIN_S 1.0  /* s over a worker's lease: timers' steps and our own lateness */
#define KR_CLOCK_DRIFT 0.001   /* two clocks may drift apart by 0.0005 each */
#define KR_SILENT_MACHINE_DELETE_S                                                                 \
  25.0                             /* s of silence beyond the lease before a machine is returned */
#define KR_ATTEMPT_COUNTER_BITS 20 /* bits of an attempt number below the token */

/* --- Scheduling ---------------------------------------------------------------------- */
#define KR_TICK_MS 1000                /* ms; the part's periodic duties */
#define KR_STATUS_TICKS 5              /* ticks between status lines (debug) */
#define KR_TIME_TO_GOAL_MIN_S 1.0      /* s; floor of goal minus now: slots needed stay finite */
#define KR_DEFAULT_FINISH_GOAL_S 600.0 /* s; goal of a job with neither deadline nor objective */
#define KR_JOB_BACKOFF_S 5.0           /* s; first pause of a job that fails on several machines */
#define KR_JOB_BACKOFF_MAX_S                                                                       \
  60.0 /* s; longest such pause: machines that failed it may be well again */
#define KR_RECOVERED_RUN_FACTOR                                                                    \
  1.5 /* times the longest run that failed: a try that gets so far does well, */
#define KR_RECOVERED_RUN_S 2.0 /* and at least that many seconds more */
#define KR_FAILED_MACHINE_AVOID_S                                                                  \
  30.0                            /* s that a job keeps off the only machine on which it failed */
#define KR_JOB_BACKOFF_MACHINES 2 /* machines on which a job must fail to be held back */
#define KR_FAULTY_MACHINE_JOBS 2  /* jobs failing only there: the machine is sick */
#define KR_FIRST_REPORT_HOLD_MS                                                                    \
  1500 /* ms that a first report waits for the record; workers wait 4 s */
#define KR_FIRST_REPORT_HOLD_CHECK_MS 250 /* ms between looks for such that have waited */
#define KR_RANKING_CACHE_MS 100           /* ms that the rank of an unchanged job is used again */
#define KR_DEFAULT_START_GOAL_S 60.0 /* s; in which a job without such an objective should start   \
                                      */
#define KR_STARVATION_S 120.0        /* s without a first task before a job goes first */
#define KR_STARVATION_MACHINE_S                                                                    \
  60.0 /* s; then its part gets a machine, which may have to run empty first */
#define KR_FIRST_TASK_PROTECT_S 30.0 /* s that such a task is not stopped for others */
#define KR_UNDELIVERED_BACKOFF_S 2.0 /* s; first pause of a machine that launches do not reach */
#define KR_UNDELIVERED_BACKOFF_MAX_S                                                               \
  60.0 /* s; longest such pause: it may hear again, and work waits */
#define KR_UNDELIVERED_BACKOFF_SHIFT                                                               \
  3 /* each further pause is 2^this times as long: a worker whose */
#define KR_UNDELIVERED_BACKOFF_STEPS                                                               \
  2                                /* answers are lost comes back every dozen seconds; how often */
#define KR_SLOWDOWN_MIN_TASKS 4    /* completed tasks before a pace or a mean says anything */
#define KR_SLOWDOWN_WEIGHT 0.3     /* of the newest task in a machine's pace */
#define KR_SLOWDOWN_LIMIT 2.5      /* times the mean: machines of a type differ by a tenth */
#define KR_PREEMPT_WAIT_S 1.0      /* s an urgent job waits before it may stop other work */
#define KR_PREEMPT_RESERVE_S 8.0   /* s room made by stopping stays reserved */
#define KR_SAVE_GRACE_S 1.0        /* s over StowS granted to a task that saves */
#define KR_KILL_REPEAT_S 1.0       /* s without a report before kills are repeated directly */
#define KR_CANCEL_DELETE_SHARE 0.6 /* of cancel_s: then an unreachable machine is deleted */

/* --- Renting ------------------------------------------------------------------------- */
#define KR_TYPES_INTERVAL_MS 30000      /* ms between reads of machine types (spot prices move) */
#define KR_TYPES_RETRY_MS 1000          /* ms; the same while they are not known */
#define KR_LIST_LEADER_INTERVAL_MS 5000 /* ms between the leader's reads of the machine list */
#define KR_LIST_OWNER_INTERVAL_MS 10000 /* ms between the other owners': what fails is rare */
#define KR_MACHINE_LIST_PAGE 500        /* machines a page, by the protocol */
#define KR_UNLISTED_MACHINE_S 60.0      /* s, and four lags: known from a stale list only */
#define KR_MISSING_MARGIN_S 2.0 /* s over the worst lag before a missing machine is deleted */
#define KR_LIST_STALE_S 40.0    /* s, and four lags: what left may still be listed */
#define KR_REMOVED_MACHINE_MEMORY_S 3600.0 /* s; far beyond any list's lag */
#define KR_LEADER_ROUND_MS 1000            /* ms between the leader's rounds with the parts */
#define KR_LEADER_CHECK_MS                                                                         \
  100 /* ms between looks at what is due, and a new leader's first rounds */
#define KR_LEADER_ANSWERS_MS 300       /* ms that a round waits for the slowest part */
#define KR_NEW_LEADER_WAIT_S 1.5       /* s a new leader waits for parts that do not answer */
#define KR_DIRECTIVE_MACHINES_MAX 1500 /* machines in one of them: far below the 64 KiB of a body  \
                                        */
#define KR_LEADER_SILENCE_S 4.0 /* s unasked by a leader before needs go to the state service */
#define KR_STORED_SUMMARY_MAX_AGE_S 10.0   /* s; needs told longer ago count no more */
#define KR_STORED_SUMMARY_INTERVAL_MS 2000 /* ms between such writes */
#define KR_DEMAND_BYTES 256                /* bytes; one need in JSON with room to spare */
#define KR_RENT_INTERVAL_MS                                                                        \
  250 /* ms; renting period: 50 machines a call, of pools of up to 1,000 */
#define KR_REBALANCE_BUSY_INTERVAL_MS                                                              \
  5000                            /* ms; shares period for busy machines; free ones: each round */
#define KR_REBALANCE_MOVES_MIN 64 /* machines that may be moved in a round, at least */
#define KR_REBALANCE_MOVES_DIVISOR 8 /* of all machines, the inverse share that may be */
#define KR_REBALANCE_DRAINING_DIVISOR                                                              \
  6                               /* of a part's machines, the inverse share that may be emptying */
#define KR_RENT_GOAL_SHARE 0.75   /* of the time to a goal: needs are told toward that moment */
#define KR_RENT_MIN_MACHINES 0.05 /* machines' worth of need below which none is rented */
#define KR_RENT_BATCH_MAX 50      /* machines a request, by the protocol */
#define KR_DELETE_BATCH_MAX 100   /* names a deletion, by the protocol */
#define KR_DELETE_BATCH_DELAY_MS 20 /* ms; deletions of one moment go out in one call */
#define KR_CLOUD_BURST_S 2 /* s worth of calls that the cloud takes at once, by the protocol */
#define KR_SILENT_REPORT_PERIODS 3.0 /* report periods without a report: not counted as supply */
#define KR_POOL_BACKOFF_MS 15000     /* ms; first pause of a refused pool */
#define KR_POOL_BACKOFF_MAX_MS 60000 /* ms; longest pause of a refused pool */
#define KR_POOL_REOPEN_MIN_MS 5000   /* ms; least pause of a refused pool once a machine has gone */
#define KR_IDLE_RETURN_S 5.0         /* s a machine is idle and unneeded before it is returned */
#define KR_BOOT_LATE_FACTOR 2.0 /* times ReadyS, of usually 0.6 to 1.5, before others are rented   \
                                 */
#define KR_BOOT_GIVE_UP_FACTOR 4.0 /* times ReadyS before a starting machine is given up */
#define KR_BOOT_MIN_S 60.0         /* s; at least this, whatever ReadyS is */
#define KR_SUMMARY_MAX_AGE_S                                                                       \
  60.0 /* s a silent part's last needs are still used: peers may be cut */
