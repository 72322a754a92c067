/* Shared among the files of one module: part.c (ownership, reports, deletion), part-takeover.c,
 * part-record.c, part-progress.c and part-dispatch.c. */
#pragma once
#include "part.h"
#include "place.h"
#include "rank.h"

typedef enum { LOADING, FENCING, OPEN } Phase;

/* A live job with what may be on machines of it, kept as that changes: a round of grants must not
 * cost a walk over all machines. */
typedef struct {
  KrPart *part;
  KrJob *job;
  const KrTeam *team; /* NULL: unknown */
  KrRoom *used;       /* the team's room in use, everything not surely gone */
  GPtrArray *launches;
  /* as the paper's functions see it */
  GArray *elapsed;
  KrEstimateInput in;
  KrRankKey key;
  double patience;  /* s from submission after which it stops whatever it may */
  gboolean stops;   /* it has waited long enough to stop others' tasks */
  gboolean starves; /* nothing of it has begun for long */
  gboolean skip;    /* out of this round */
} KrLive;

struct KrPart {
  grefcount refs;
  KrNode *node;
  guint index;
  guint64 token;
  Phase phase;
  gboolean gone, have_record, have_jobs;
  GCancellable *cancel;
  GHashTable *jobs;     /* id -> KrLive */
  GPtrArray *lives;     /* the same, to walk */
  KrRoom *used;         /* a team each */
  gint64 ranked_at;     /* monotonic us */
  GHashTable *machines; /* id -> KrMachine */
  GHashTable *ended;    /* id -> guint64: revision of the end that we wrote or found, kept until the
                           watch of the jobs is past it */
  GPtrArray *held;      /* KrMachine whose first report waits for its answer */
  GHashTable *leaving;  /* ids to be taken out of the record: deleted */
  guint64 launches;     /* counter below the token */
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

KrPart *kr_part_ref (KrPart *part);
void kr_part_unref (KrPart *part);
KrJob *kr_part_job (KrPart *part, const char *id);
KrMachine *kr_part_machine (KrPart *part, const char *id);
/* g_hash_table_iter_next over the machines, counted. */
gboolean kr_part_next (KrPart *part, GHashTableIter *it, gpointer *machine);
/* KrSawFunc: what a machine's report means for its tasks' jobs. */
void kr_part_saw (KrMachine *machine, KrLaunch *launch, KrSaw what, gpointer data);
void kr_part_count_launch (KrPart *part, KrLaunch *launch);
void kr_part_command_kills (KrPart *part, KrMachine *machine);
/* Before a machine is taken out of `machines`; `gone`: what became of its launches. */
void kr_part_forget (KrPart *part, KrMachine *machine, KrGone gone);
#define KR_LEFT_RECORD "it left the record with tasks" /* why a machine is deleted */
/* Has the cloud delete it: what runs there is gone once it says so. Repeated by those who ask until
 * then, with a pause after each refusal. FALSE: such a pause is on. */
gboolean kr_part_delete_machine (KrPart *part, KrMachine *machine, const char *why);
/* Answers first reports that need not wait any more. */
void kr_part_answer_held (KrPart *part);
/* Takes in what a machine says in answer to /show or /commands. */
void kr_part_take_report (KrPart *part, KrMachine *machine, const KrReport *report);

/* part-takeover.c */
/* A node that may have answered machines of the part since all of them were last fenced. */
typedef struct {
  char *node;
  gboolean quiet;  /* it has said that it answers them no more, or is this node */
  gboolean asking; /* a question to it is under way */
  gint64 next_ask; /* monotonic us: not asked before */
} KrFormerOwner;
/* The part is ours now; its record and jobs are yet to be read. */
void kr_takeover_begin (KrPart *part);
/* Opens the part once no used machine may obey an earlier owner any more. */
void kr_part_check_open (KrPart *part);
gboolean kr_part_needs_fence (const KrMachine *machine);

/* part-record.c */
/* A transaction that fails once the owner key is no longer ours. */
KrTxn *kr_part_owner_txn (KrPart *part);
/* Writes the part's claim, if nobody else has. */
KrTxn *kr_part_claim_txn (KrPart *part, json_t *value);
void kr_part_write_record (KrPart *part);
/* Takes out of the part's record machines that belong to another part. */
void kr_part_remove_strays (KrPart *part);
/* Tells the leader through the state service what is needed, where it does not reach us. */
void kr_part_tell_needs (KrPart *part);

/* part-progress.c */
void kr_part_flush (KrPart *part);
/* Whether the job has ended, as far as that is not yet past in the watch of the jobs. */
gboolean kr_part_has_ended (KrPart *part, const char *job);
/* Forgets ends that the watch of the jobs is past. */
void kr_part_prune_ended (KrPart *part);

/* part-dispatch.c */
KrLive *kr_live_new (KrPart *part, KrJob *job); /* takes `job` */
void kr_live_free (gpointer live);
void kr_live_add (KrLive *live, KrLaunch *launch);
void kr_live_drop (KrLaunch *launch);
/* All its tasks shall go. */
void kr_live_stop (KrLive *live);
/* The live job as whose task a launch counts, or NULL. */
KrJob *kr_live_job (const KrLaunch *launch);
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
KrReadiness kr_part_readiness (KrPart *part, const KrMachine *machine, gint64 now);
gboolean kr_part_usable (KrPart *part, const KrMachine *machine, gint64 now);
/* Adds `run` orders for the machine's free room. */
void kr_part_grant (KrPart *part, KrMachine *machine, json_t *orders, gint64 now);
void kr_part_run_planned (KrMachine *machine, json_t *orders);
void kr_part_drop_planned (KrPart *part, KrMachine *machine);
void kr_part_preempt (KrPart *part, gint64 now);
