/* Shared among the files of one module: shard.c (ownership, reports, deletion), shard-takeover.c,
 * shard-record.c, shard-progress.c and shard-dispatch.c. */
#pragma once
#include "shard.h"
#include "placement.h"
#include "ranking.h"

typedef enum { LOADING, FENCING, OPEN } Phase;

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
  KrEstimateInput in;
  KrRankingKey key;
  double patience;  /* s from submission after which it stops whatever it may */
  gboolean stops;   /* it has waited long enough to stop others' tasks */
  gboolean starves; /* nothing of it has begun for long */
  gboolean skip;    /* out of this round */
} KrLiveJob;

struct KrShard {
  grefcount refs;
  KrNode *node;
  guint index;
  guint64 token;
  Phase phase;
  gboolean gone, have_record, have_jobs;
  GCancellable *cancel;
  GHashTable *jobs;     /* id -> KrLiveJob */
  GPtrArray *live_jobs; /* the same, to walk */
  KrResources *used;    /* a team each */
  gint64 ranked_at;     /* monotonic us */
  GHashTable *machines; /* id -> KrMachine */
  GHashTable *ended;    /* id -> guint64: revision of the end that we wrote or found, kept until the
                           watch of the jobs is past it */
  GPtrArray *held;      /* KrMachine whose first report waits for its answer */
  GHashTable *leaving;  /* ids to be taken out of the record: deleted */
  guint64 attempts;     /* counter below the token */
  gint64 taken_at, last_beat;
  GPtrArray *former;  /* KrFormerOwner: who may have answered machines; NULL: not known */
  gboolean only_ours; /* none of them but earlier processes of this node */
  gint64 quiet_since; /* monotonic us from which on none of them answers; 0: not yet known */
  gboolean record_busy, flushing;
  gint64 next_tell;           /* monotonic us: needs are not told before */
  gint64 next_record;         /* monotonic us: the record is not written before */
  json_t *claim_written;      /* what the claim is being made; NULL: no write of it is under way */
  gboolean deletions_refused; /* the cloud did not carry out the newest */
  guint tick, fence_tick, preempt_soon;
  guint ticks; /* so far */
  guint held_tick;
  guint64 walked;   /* machines, by walks over all of them: no event may cost one */
  guint fencing;    /* calls of it under way */
  guint overtaken;  /* reports that a command's answer was faster than, so far */
  gint64 listed_at; /* monotonic us of the newest list */
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
#define KR_LEFT_RECORD "it left the record with tasks" /* why a machine is deleted */
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
  gboolean quiet;  /* it has said that it answers them no more, or is this node */
  gboolean asking; /* a question to it is under way */
  gint64 next_ask; /* monotonic us: not asked before */
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
  KR_READY,
  KR_NOT_OPEN,     /* a machine of the part may still obey an earlier owner */
  KR_NOT_KNOWN,    /* it has not reported yet */
  KR_NOT_RECORDED, /* that it is used is not durable: a successor would not fence it */
  KR_NOT_FENCED,   /* it may still obey an earlier owner */
  KR_DRAINING,     /* it is faulty, or is being deleted */
  KR_MOVING,       /* it may be another part's already */
  KR_NOTICED,      /* the cloud takes it soon */
  KR_PAUSED        /* launches do not reach it, or fail there */
} KrReadiness;
KrReadiness kr_shard_readiness (KrShard *shard, const KrMachine *machine, gint64 now);
gboolean kr_shard_usable (KrShard *shard, const KrMachine *machine, gint64 now);
/* Adds `run` orders for the machine's free room. */
void kr_shard_assign_tasks (KrShard *shard, KrMachine *machine, json_t *orders, gint64 now);
void kr_shard_send_planned (KrMachine *machine, json_t *orders);
void kr_shard_drop_planned (KrShard *shard, KrMachine *machine);
void kr_shard_preempt (KrShard *shard, gint64 now);
