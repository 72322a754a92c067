/* Shared among the files of one module: shard.c (ownership, reports, deletion), shard-takeover.c,
 * shard-record.c, shard-progress.c and shard-dispatch.c. */
#pragma once
#include "shard.h"
#include "placement.h"
#include "ranking.h"

typedef enum { SHARD_LOADING, SHARD_FENCING, SHARD_OPEN } ShardPhase;

/* A live job with what may be on machines of it, kept as that changes: a round of grants must not
 * cost a walk over all machines. */
typedef struct {
  KrShard *shard;
  KrJob *job;
  const KrTeam *team; /* NULL: unknown */
  KrResources *used;  /* the team's room in use, everything not surely gone */
  GPtrArray *attempts;
  /* as the paper's functions see it */
  GArray *elapsed;
  KrEstimateInput estimate_input;
  KrRankingKey ranking_key;
  double preempt_all_after_s; /* s from submission after which it stops whatever it may */
  gboolean may_preempt;       /* it has waited long enough to stop others' tasks */
  gboolean starved;           /* nothing of it has begun for long */
  gboolean skip;              /* out of this round */
} KrLiveJob;

struct KrShard {
  grefcount refs;
  KrNode *node;
  guint index;
  guint64 token;
  ShardPhase phase;
  gboolean closed, record_loaded, jobs_loaded;
  GCancellable *cancel;
  GHashTable *jobs;         /* id -> KrLiveJob */
  GPtrArray *live_jobs;     /* the same, to walk */
  KrResources *team_usage;  /* a team each */
  gint64 ranked_at;         /* monotonic us */
  GHashTable *machines;     /* id -> KrMachine */
  GHashTable *ended_jobs;   /* id -> guint64: revision of the end that we wrote or found, kept until
                          the   watch of the jobs is past it */
  GPtrArray *held_machines; /* KrMachine whose first report waits for its answer */
  GHashTable *deleted_ids;  /* ids to be taken out of the record: deleted */
  guint64 attempt_counter;  /* counter below the token */
  gint64 acquired_at, last_report_at;
  GPtrArray *former_owners; /* KrFormerOwner: who may have answered machines; NULL: not known */
  gboolean only_this_node;  /* none of them but earlier processes of this node */
  gint64 former_stopped_at; /* monotonic us from which on none of them answers; 0: not yet known */
  gboolean record_write_in_flight, flush_in_flight;
  gint64 next_summary_at;      /* monotonic us: needs are not told before */
  gint64 next_record_write_at; /* monotonic us: the record is not written before */
  json_t *owner_history_write; /* what the claim is being made; NULL: no write of it is under way */
  gboolean deletions_refused;  /* the cloud did not carry out the newest */
  guint tick_timer, fence_timer, preempt_timer;
  guint tick_count; /* so far */
  guint held_timer;
  guint64 machine_visits;  /* machines, by walks over all of them: no event may cost one */
  guint fence_calls;       /* calls of it under way */
  guint overtaken_reports; /* reports that a command's answer was faster than, so far */
  gint64 listed_at;        /* monotonic us of the newest list */
};

KrShard *kr_shard_ref (KrShard *shard);
void kr_shard_unref (KrShard *shard);
KrJob *kr_shard_job (KrShard *shard, const char *id);
KrMachine *kr_shard_machine (KrShard *shard, const char *id);
/* g_hash_table_iter_next over the machines, counted. */
gboolean kr_shard_next_machine (KrShard *shard, GHashTableIter *it, gpointer *machine);
/* KrAttemptEventFunc: what a machine's report means for its tasks' jobs. */
void kr_shard_on_attempt_event (KrMachine *machine, KrAttempt *attempt, KrAttemptEvent what,
                                gpointer data);
void kr_shard_add_attempt (KrShard *shard, KrAttempt *attempt);
void kr_shard_command_kills (KrShard *shard, KrMachine *machine);
/* Before a machine is taken out of `machines`; `gone`: what became of its launches. */
void kr_shard_remove_machine (KrShard *shard, KrMachine *machine, KrGoneReason gone);
#define KR_REASON_LEFT_RECORD                                                              \
  "it left the record with tasks" /* why a machine is deleted                                      \
                                   */
/* Has the cloud delete it: what runs there is gone once it says so. Repeated by those who ask until
 * then, with a pause after each refusal. FALSE: such a pause is on. */
gboolean kr_shard_delete_machine (KrShard *shard, KrMachine *machine, const char *why);
/* Answers first reports that need not wait any more. */
void kr_shard_answer_held_reports (KrShard *shard);
/* Takes in what a machine says in answer to /show or /commands. */
void kr_shard_apply_direct_report (KrShard *shard, KrMachine *machine, const KrReport *report);

/* shard-takeover.c */
/* A node that may have answered machines of the part since all of them were last fenced. */
typedef struct {
  char *node;
  gboolean stopped;           /* it has said that it answers them no more, or is this node */
  gboolean request_in_flight; /* a question to it is under way */
  gint64 next_request_at;     /* monotonic us: not asked before */
} KrFormerOwner;
/* The part is ours now; its record and jobs are yet to be read. */
void kr_takeover_begin (KrShard *shard);
/* Opens the part once no used machine may obey an earlier owner any more. */
void kr_shard_try_open (KrShard *shard);
gboolean kr_shard_needs_fence (const KrMachine *machine);

/* shard-record.c */
/* A transaction that fails once the owner key is no longer ours. */
KrTxn *kr_shard_owner_txn (KrShard *shard);
/* Writes the part's claim, if nobody else has. */
KrTxn *kr_shard_owner_history_txn (KrShard *shard, json_t *value);
void kr_shard_write_record (KrShard *shard);
/* Takes out of the part's record machines that belong to another part. */
void kr_shard_remove_duplicate_records (KrShard *shard);
/* Tells the leader through the state service what is needed, where it does not reach us. */
void kr_shard_store_summary (KrShard *shard);

/* shard-progress.c */
void kr_shard_flush_progress (KrShard *shard);
/* Whether the job has ended, as far as that is not yet past in the watch of the jobs. */
gboolean kr_shard_has_ended (KrShard *shard, const char *job);
/* Forgets ends that the watch of the jobs is past. */
void kr_shard_prune_ended (KrShard *shard);

/* shard-dispatch.c */
KrLiveJob *kr_live_job_new (KrShard *shard, KrJob *job); /* takes `job` */
void kr_live_job_free (gpointer live_job);
void kr_live_job_add_attempt (KrLiveJob *live_job, KrAttempt *attempt);
void kr_live_job_remove_attempt (KrAttempt *attempt);
/* All its tasks shall go. */
void kr_live_job_kill_all (KrLiveJob *live_job);
/* The live job as whose task a launch counts, or NULL. */
KrJob *kr_attempt_job (const KrAttempt *attempt);
/* Whether a task may be started on a machine now; if not, the first reason against it. */
typedef enum {
  KR_MACHINE_READY,
  KR_SHARD_NOT_OPEN,           /* a machine of the part may still obey an earlier owner */
  KR_MACHINE_NEVER_REPORTED,   /* it has not reported yet */
  KR_MACHINE_USE_NOT_RECORDED, /* that it is used is not durable: a successor would not fence it */
  KR_MACHINE_NOT_FENCED,       /* it may still obey an earlier owner */
  KR_MACHINE_DRAINING,         /* it is faulty, or is being deleted */
  KR_MACHINE_MOVING,           /* it may be another part's already */
  KR_MACHINE_RECLAIM_NOTICED,  /* the cloud takes it soon */
  KR_MACHINE_BACKING_OFF       /* launches do not reach it, or fail there */
} KrReadiness;
KrReadiness kr_shard_readiness (KrShard *shard, const KrMachine *machine, gint64 now);
gboolean kr_shard_usable (KrShard *shard, const KrMachine *machine, gint64 now);
/* Adds `run` orders for the machine's free room. */
void kr_shard_assign_tasks (KrShard *shard, KrMachine *machine, json_t *orders, gint64 now);
void kr_shard_send_planned (KrMachine *machine, json_t *orders);
void kr_shard_drop_planned (KrShard *shard, KrMachine *machine);
void kr_shard_preempt (KrShard *shard, gint64 now);
