/* Machines and the attempts on them, as the workers' reports show them. No I/O; the time is an
 * argument, in monotonic microseconds. */
#pragma once
#include "job.h"
#include "wire.h"

typedef enum { KR_KILL_NONE, KR_KILL_GRACEFUL, KR_KILL_NOW } KrKill;

/* The proof that an attempt is no longer on its machine. */
typedef enum {
  KR_GONE_NONE,
  KR_GONE_NOT_REPORTED, /* a report sent after the attempt's start does not list it */
  KR_GONE_NEW_SESSION,  /* the worker began a new session, so its lease had expired */
  /* The worker's lease, counted from this node's last answer, has expired. */
  KR_GONE_LEASE_EXPIRED,
  KR_GONE_DELETED, /* the cloud has deleted the machine */
  KR_GONE_MOVED,   /* the machine, which was empty, moved to another shard */
  KR_GONE_UNSENT   /* its place was only reserved, the `run` order was never sent */
} KrGoneReason;
const char *kr_gone_reason_name (KrGoneReason reason);

/* One attempt to run one task on one machine. */
typedef struct {
  char *job_id;
  guint task_index;
  guint64 attempt_id;
  KrTaskState state;
  KrExitReason exit_reason;
  /* While it is unconfirmed, only a heartbeat report with a higher `seq` proves that its `run`
   * order did not arrive. */
  guint64 sent_after_seq;
  gint64 running_since; /* monotonic us, first report that it runs; 0: none yet */
  gboolean adopted;     /* discovered in a report: its start time is unknown */
  KrKill kill;
  /* The first task of a starved job: not preempted for KR_FIRST_TASK_PROTECT_S. */
  gboolean preempt_protected;
  /* Its place is reserved; the response to the machine's next report has its `run` order. */
  gboolean planned;
  /* Set by the shard: the KrLiveJob that counts this attempt, and its index there. NULL if the
   * attempt has exited or its job is not known. */
  gpointer live_job;
  guint live_index;
  struct KrMachine *machine;
  KrGoneReason gone_reason; /* set once it is gone */
} KrAttempt;

typedef struct KrMachine {
  char *id, *endpoint, *type, *zone;
  gboolean spot, has_reported; /* the machine has reported: type, zone and spot are valid */
  guint64 session, seq, token; /* as in the newest report that was applied */
  /* `seq` of the newest heartbeat report; `seq` may be that of an answer to a command. */
  guint64 report_seq;
  gint64 last_report_at; /* monotonic us, newest report that was applied */
  /* Monotonic us of the last moment at which any node may have renewed its lease; 0: not known. */
  gint64 lease_renewed_at;
  gint64 reclaim_at; /* monotonic us, when the cloud reclaims it; 0: no notice */
  GPtrArray *attempts;
  gboolean must_fence; /* used under an earlier owner, which may still command it */
  /* The worker has seen this owner's token: no earlier owner can command it. */
  gboolean fenced;

  /* The rest is set by the shard. */
  /* `used` is durable: tasks may have been started there. `use_pending`: to be made durable. */
  gboolean used, use_pending;
  gboolean drain; /* it gets no new tasks and is deleted once it is empty */
  /* A call to delete or to fence the machine is in flight. */
  gboolean deleting, fencing;
  guint fence_failures;       /* unanswered calls to fence it */
  gboolean command_in_flight; /* a direct command is in flight */
  gboolean command_again;     /* more kills became due meanwhile */
  guint failed_calls;         /* consecutive unanswered direct calls */
  gint64 next_call_at;        /* monotonic us, earliest time of the next direct call */
  /* Monotonic us, earliest time to retry a refused deletion; 0: none was refused. */
  gint64 delete_after;
  gint move_to;                  /* target shard once it is empty; -1: none */
  gboolean moving;               /* a move may be in flight: nothing may be started */
  gboolean move_outcome_unknown; /* the move may still be executed later */
  guint64 chunk_revision;        /* of the record chunk that contains the machine */
  gint64 idle_since, joined_at;  /* monotonic us */
  /* The KrRequest of its first report, answered once its use is durable. */
  gpointer pending_request;
  gint64 pending_since; /* monotonic us */
  /* Monotonic us since it is missing from the machine list; 0: it is listed. */
  gint64 missing_since;
  gboolean listed;
  /* Monotonic us, no task is started before: backoff after a failure or an undelivered attempt. */
  gint64 no_start_until;
  guint undelivered; /* consecutive attempts that never reached the worker */
  /* Moving average of the ratio of its tasks' run times to their jobs' mean run times. */
  double slowdown;
  guint slowdown_samples;    /* number of tasks in that average */
  GHashTable *failed_jobs;   /* ids of jobs whose tasks failed here */
  GHashTable *cached_images; /* images that have been pulled here */
  char *reserved_for;        /* id of the job for which capacity is reserved */
  gint64 reserved_until;
} KrMachine;

typedef enum {
  KR_ATTEMPT_DISCOVERED, /* a report lists an attempt that was not known */
  /* An unconfirmed attempt is listed for the first time; other events may follow. */
  KR_ATTEMPT_CONFIRMED,
  /* An attempt never reached the worker: at most once per report; KR_ATTEMPT_GONE follows. */
  KR_ATTEMPT_UNDELIVERED,
  KR_ATTEMPT_STARTED, /* the task is running */
  KR_ATTEMPT_EXITED,  /* see attempt->exit_reason */
  KR_ATTEMPT_GONE     /* the attempt is no longer on the machine */
} KrAttemptEvent;
typedef void (*KrAttemptEventFunc) (KrMachine *machine, KrAttempt *attempt, KrAttemptEvent event,
                                    gpointer data);

KrMachine *kr_machine_new (const char *id);
void kr_machine_free (gpointer data);

/* How a report compares with what is known of its machine. */
typedef enum {
  KR_REPORT_FRESH,     /* newer than everything known: it was applied */
  KR_REPORT_OVERTAKEN, /* not seen before, but a newer answer to /commands or /show came first:
                          nothing changed, though the worker may be waiting for the response */
  KR_REPORT_STALE      /* seen before, or of an earlier session: nobody waits for its response */
} KrReportFreshness;

/* Applies a report and calls `on_event` for each change. `is_heartbeat`: the worker sent the report
 * itself, not in answer to /commands or /show. Only such a report settles unconfirmed attempts,
 * since the worker sends the next one only after it has received or given up on the response to the
 * last one. `token`: the shard's current token. */
KrReportFreshness kr_machine_apply_report (KrMachine *machine, const KrReport *report,
                                           gboolean is_heartbeat, guint64 token, gint64 now,
                                           KrAttemptEventFunc on_event, gpointer data);
/* Notes the end of a direct call. Each unanswered call is followed by a longer backoff, up to
 * KR_WORKER_BACKOFF_MAX_S. */
void kr_machine_note_call (KrMachine *machine, gboolean answered, gint64 now);
/* Removes all attempts, for the given reason. */
void kr_machine_remove_attempts (KrMachine *machine, KrGoneReason reason,
                                 KrAttemptEventFunc on_event, gpointer data);
/* Whether a lease that was last renewed at `since` has certainly expired. */
gboolean kr_lease_expired (gint64 since, gint64 now, double lease_s);
/* Whether the worker's lease, counted from this node's last answer, has certainly expired. Only
 * valid for a machine that is fenced, since no other node answers it. */
gboolean kr_machine_lease_expired (const KrMachine *machine, gint64 now, double lease_s);
/* Adds an unconfirmed attempt, which the machine owns. */
KrAttempt *kr_machine_add_attempt (KrMachine *machine, const char *job, guint index,
                                   guint64 attempt_id);
void kr_attempt_free (gpointer data);
/* Returns the seconds since the task was first reported as running, or 0 if it has not been. */
double kr_attempt_run_time_s (const KrAttempt *attempt, gint64 now);
/* Returns the number of attempts that have not exited, including unconfirmed ones. */
guint kr_machine_count_unfinished (const KrMachine *machine);
/* Converts seconds to microseconds. */
gint64 kr_seconds_to_us (double s);
