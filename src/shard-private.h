/* Shared by the files of the shard module: shard.c (reports, machine deletion, lifecycle),
 * shard-takeover.c, shard-record.c, shard-progress.c and shard-dispatch.c. */
#pragma once
#include "shard.h"
#include "placement.h"
#include "ranking.h"

typedef enum {
  SHARD_LOADING, /* the record and the jobs are being read */
  SHARD_FENCING, /* a used machine may still obey an earlier owner */
  SHARD_OPEN     /* tasks are started */
} ShardPhase;

/* A live job and its attempts. The counts and lists are kept up to date on each change, so that
 * assigning tasks does not walk over all machines. */
typedef struct {
  KrShard *shard;
  KrJob *job;
  const KrTeam *team; /* NULL: unknown */
  KrResources *used;  /* resources of the team's attempts, until they exit or are certainly gone */
  GPtrArray *attempts;
  /* inputs and result of the ranking functions */
  KrEstimateInput estimate_input;
  KrRankingKey ranking_key;
  /* Seconds after submission from which it may preempt tasks whatever run time that loses. */
  double preempt_all_after_s;
  gboolean may_preempt; /* it has waited long enough to preempt others' tasks */
  gboolean starved;     /* no task of it has started for KR_STARVATION_S */
  gboolean skip;        /* excluded from the current round */
} KrLiveJob;

struct KrShard {
  grefcount refs;
  KrNode *node;
  guint index;
  guint64 token;
  ShardPhase phase;
  gboolean closed, record_loaded, jobs_loaded;
  GCancellable *cancel;
  GHashTable *jobs;        /* id -> KrLiveJob */
  GPtrArray *live_jobs;    /* the same live jobs, as an array */
  KrResources *team_usage; /* one entry per team */
  gint64 ranked_at;        /* monotonic us, last full ranking */
  GHashTable *machines;    /* id -> KrMachine */
  /* Job id -> guint64: revision of a job's end that this node wrote or found; kept until the job
   * watch is past it. */
  GHashTable *ended_jobs;
  GPtrArray *held_machines; /* KrMachine whose first report is not answered yet */
  GHashTable *deleted_ids;  /* ids of deleted machines, to be removed from the record */
  guint64 attempt_counter;  /* low bits of the next attempt id, below the token */
  gint64 acquired_at;       /* monotonic us */
  gint64 last_report_at;    /* monotonic us, last report from any machine */
  /* KrFormerOwner: the nodes that may have answered machines; NULL: not known. */
  GPtrArray *former_owners;
  gboolean only_this_node; /* all former owners are earlier processes of this node */
  /* Monotonic us since which no former owner answers a machine; 0: not known yet. */
  gint64 former_stopped_at;
  gboolean record_write_in_flight, flush_in_flight;
  gint64 next_summary_at;      /* monotonic us, earliest time to store the next summary */
  gint64 next_record_write_at; /* monotonic us, earliest time of the next record write */
  /* The owner history that the takeover is writing; NULL: no such write is in flight. */
  json_t *owner_history_write;
  gboolean deletions_refused; /* the cloud refused the last deletion */
  guint tick_timer, fence_timer, preempt_timer;
  guint tick_count; /* number of ticks so far */
  guint held_timer;
  /* Number of machines visited by walks over all of them. No event may require such a walk. */
  guint64 machine_visits;
  guint fence_calls;       /* calls to fence machines in flight */
  guint overtaken_reports; /* number of reports overtaken by the answer to a command */
  gint64 listed_at;        /* monotonic us, when the last machine list was read; 0: none yet */
};

KrShard *kr_shard_ref (KrShard *shard);
void kr_shard_unref (KrShard *shard);
/* Return the job or machine with that id, or NULL if the shard does not have it. */
KrJob *kr_shard_job (KrShard *shard, const char *id);
KrMachine *kr_shard_machine (KrShard *shard, const char *id);
/* Like g_hash_table_iter_next() over the machines; counts the steps. */
gboolean kr_shard_next_machine (KrShard *shard, GHashTableIter *it, gpointer *machine);
/* A KrAttemptEventFunc: applies an event to the machine and the job of the attempt. */
void kr_shard_on_attempt_event (KrMachine *machine, KrAttempt *attempt, KrAttemptEvent event,
                                gpointer data);
/* Counts an unfinished attempt for its job, if the job is known. Marks the attempt to be killed if
 * its task must not run. */
void kr_shard_add_attempt (KrShard *shard, KrAttempt *attempt);
/* Sends the kills due on the machine in a direct command, or after the command in flight. */
void kr_shard_command_kills (KrShard *shard, KrMachine *machine);
/* Removes the machine's attempts for the given reason and refuses its held report. Must be called
 * before the machine is removed from `machines`. */
void kr_shard_remove_machine (KrShard *shard, KrMachine *machine, KrGoneReason reason);
/* A reason for kr_shard_delete_machine(). */
#define KR_REASON_LEFT_RECORD "it left the record with tasks"
/* Asks the cloud to delete the machine; its attempts are gone once the cloud confirms that. The
 * callers repeat this until then, with a pause after each refusal. Returns FALSE during such a
 * pause. */
gboolean kr_shard_delete_machine (KrShard *shard, KrMachine *machine, const char *why);
/* Answers or refuses the held first reports that need not wait any longer. */
void kr_shard_answer_held_reports (KrShard *shard);
/* Applies the report that a worker sent in answer to /show or /commands. */
void kr_shard_apply_direct_report (KrShard *shard, KrMachine *machine, const KrReport *report);

/* --- shard-takeover.c --- */
/* A node that may have answered machines of the shard since all of them were last fenced. */
typedef struct {
  char *node;
  gboolean stopped;           /* it has confirmed that it answers them no more, or is this node */
  gboolean request_in_flight; /* a request to it is in flight */
  gint64 next_request_at;     /* monotonic us, earliest time of the next request */
} KrFormerOwner;
/* Starts the takeover of a shard whose record and jobs have not been read yet. */
void kr_takeover_begin (KrShard *shard);
/* Opens the shard if no used machine can obey an earlier owner any more. */
void kr_shard_try_open (KrShard *shard);
/* Whether an earlier owner may still command the machine. */
gboolean kr_shard_needs_fence (const KrMachine *machine);

/* --- shard-record.c --- */
/* Returns a transaction that fails if this node no longer holds the shard's owner key. The caller
 * owns it. */
KrTxn *kr_shard_owner_txn (KrShard *shard);
/* Returns a transaction that also stores `value` as the owner history and fails if the stored one
 * has changed since this node last read it. The caller owns it and still owns `value`. */
KrTxn *kr_shard_owner_history_txn (KrShard *shard, json_t *value);
/* Writes what is due in the stored record and the owner history. */
void kr_shard_write_record (KrShard *shard);
/* Removes from the shard's record the machines that belong to another shard. */
void kr_shard_remove_duplicate_records (KrShard *shard);
/* Stores the shard's summary in the state service for the leader, if no leader has asked this node
 * for it. */
void kr_shard_store_summary (KrShard *shard);

/* --- shard-progress.c --- */
/* Writes the ends and the progress of jobs that are due, one batch at a time. */
void kr_shard_flush_progress (KrShard *shard);
/* Whether the job has ended. Ends are only known until the job watch is past them. */
gboolean kr_shard_has_ended (KrShard *shard, const char *job);
/* Forgets the ends that the job watch is past. */
void kr_shard_prune_ended (KrShard *shard);

/* --- shard-dispatch.c --- */
KrLiveJob *kr_live_job_new (KrShard *shard, KrJob *job); /* takes ownership of `job` */
void kr_live_job_free (gpointer data);
void kr_live_job_add_attempt (KrLiveJob *live_job, KrAttempt *attempt);
void kr_live_job_remove_attempt (KrAttempt *attempt);
/* Marks all the job's attempts to be killed. */
void kr_live_job_kill_all (KrLiveJob *live_job);
/* Returns the job that counts the attempt, or NULL if the attempt has exited or its job is not
 * known. */
KrJob *kr_attempt_job (const KrAttempt *attempt);
/* Whether a task may be started on a machine now; if not, the first reason against it. */
typedef enum {
  KR_MACHINE_READY,
  KR_SHARD_NOT_OPEN,         /* a machine of the shard may still obey an earlier owner */
  KR_MACHINE_NEVER_REPORTED, /* the machine has not reported yet */
  /* Its use is not durable: the next owner would not fence it. */
  KR_MACHINE_USE_NOT_RECORDED,
  KR_MACHINE_NOT_FENCED,      /* it may still obey an earlier owner */
  KR_MACHINE_DRAINING,        /* it is faulty, or is being deleted */
  KR_MACHINE_MOVING,          /* it may already belong to another shard */
  KR_MACHINE_RECLAIM_NOTICED, /* the cloud has announced that it will reclaim it */
  KR_MACHINE_BACKING_OFF      /* run orders do not reach it, or tasks fail on it */
} KrReadiness;
KrReadiness kr_shard_readiness (KrShard *shard, const KrMachine *machine, gint64 now);
/* Whether a task may be started on the machine now. */
gboolean kr_shard_usable (KrShard *shard, const KrMachine *machine, gint64 now);
/* Adds `run` orders to `orders` for tasks that use the machine's free capacity. */
void kr_shard_assign_tasks (KrShard *shard, KrMachine *machine, KrOrders *orders, gint64 now);
/* Adds the `run` orders of the machine's planned attempts to `orders`, as far as there is room. */
void kr_shard_send_planned (KrMachine *machine, KrOrders *orders);
/* Removes planned attempts that are not to start any more. */
void kr_shard_drop_planned (KrShard *shard, KrMachine *machine);
/* Reserves machines for waiting jobs and preempts tasks there. */
void kr_shard_preempt (KrShard *shard, gint64 now);
