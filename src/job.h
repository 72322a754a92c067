/* What is durable: jobs with their sums, counts and done sets, in one key each below job/ while
 * they live and below end/ afterwards. Done sets too large for one value go on in done/ chunks. */
#pragma once
#include "settings.h"
#include "wire.h"

typedef struct {
  KrJobSpec *spec;
  double submitted_at; /* s since the epoch, by the accepting node's clock */
  guint shard;
  guint64 revision; /* version of the durable record */
  gboolean cancelled;
  double timed_sum_s; /* s, of `count` completed tasks: the paper's mean is sum/count */
  guint timed_count;
  guint8 *done;      /* bit a task: completed */
  guint8 *persisted; /* bit a task: completed and written */
  guint8 *active;    /* launches that may be on a machine, per task */
  guint n_done, n_active;
  guint cursor;            /* no startable task below it */
  guint chunks_missing;    /* chunks still to be read: not schedulable until 0 */
  gboolean progress_dirty; /* progress not yet written */
  gboolean writing;        /* a write is under way */
  gint64 flushed_at;       /* monotonic us of the last write of its progress */
  /* failures */
  GHashTable *failed_on;       /* machines on which a task failed since the last success */
  gint64 failed_at;            /* monotonic us of the newest failure */
  double backoff_s;            /* pause after the next failure */
  gint64 backoff_until;        /* monotonic us */
  double longest_failed_run_s; /* s that the longest failure of all had run */
  gboolean probing;            /* one task is being tried after a pause */
} KrJob;

KrJob *kr_job_new (KrJobSpec *spec, double at, guint shard); /* takes `spec` */
void kr_job_free (KrJob *job);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (KrJob, kr_job_free)

/* The durable form, and back; `done_count`: what the record says of itself. */
json_t *kr_job_encode (const KrJob *job, const guint8 *done, guint running);
KrJob *kr_job_decode (json_t *value, guint64 revision);
json_t *kr_job_final_value (KrJobState state, guint done);
/* What a stored value (live or ended) says to a user. FALSE if it is not a job's. */
gboolean kr_job_parse_status (json_t *value, KrJobState *state, guint *done, guint *running);
/* A live job's value with its user's cancellation. `owner`: the revision that the transaction
 * expects of the part's owner key (0: nobody has it). */
json_t *kr_job_cancel_value (json_t *value, guint64 owner);
/* FALSE: not a live job's that is cancelled. */
gboolean kr_job_parse_cancellation (json_t *value, guint *shard, guint64 *owner);
guint kr_job_parse_shard (json_t *value); /* of a live job's */

char *kr_job_key (const char *id);
char *kr_job_final_key (const char *id);
char *kr_job_chunk_key (const char *id, guint chunk);
guint kr_job_chunk_count (const KrJob *job); /* 1: all in the job's own key */
json_t *kr_job_chunk_encode (const KrJob *job, const guint8 *done, guint chunk);
/* Adds the bits of a stored chunk to both sets. */
void kr_job_chunk_merge (KrJob *job, guint chunk, json_t *text);

gboolean kr_job_is_done (const KrJob *job, guint task);
gboolean kr_job_is_persisted (const KrJob *job, guint task);
void kr_job_set_done (KrJob *job, guint task);
void kr_job_add_active (KrJob *job, guint task);
void kr_job_remove_active (KrJob *job, guint task);
/* Tasks neither completed nor possibly on a machine. */
guint kr_job_unstarted (const KrJob *job);
/* The lowest such task, or -1. */
gint64 kr_job_next_task (KrJob *job);
gboolean kr_job_is_complete (const KrJob *job);
/* It has failed on several machines since its last success: it is at fault itself, or they are. */
gboolean kr_job_is_suspect (const KrJob *job);
/* A task of it did well: it seems not at fault. */
void kr_job_clear_failures (KrJob *job);
gsize kr_job_bitmap_bytes (const KrJob *job); /* of a done set */
