/* Jobs and their stored form. A live job is stored under one key below job/, with its
 * specification, the sum and the number of its measured task run times and a bitmap of its
 * completed tasks; an ended job is stored below end/. A bitmap too large for one value continues in
 * chunks below done/. Functions that return a json_t return a new reference, which the caller
 * releases with json_decref(). */
#pragma once
#include "settings.h"
#include "wire.h"

typedef struct {
  KrJobSpec *spec;
  double submitted_at; /* s since the epoch, by the clock of the node that accepted the job */
  guint shard;
  guint64 revision; /* of the stored value */
  gboolean cancelled;
  double timed_sum_s; /* s; run times of `timed_count` completed tasks, for the paper's mean */
  guint timed_count;
  guint8 *done;            /* bitmap of the completed tasks */
  guint8 *persisted;       /* bitmap of the completed tasks whose completion is stored */
  guint8 *active;          /* for each task, the number of attempts that may be on a machine */
  guint n_done, n_active;  /* number of completed tasks, and of tasks with such attempts */
  guint cursor;            /* no task with a lower index can start */
  guint chunks_missing;    /* chunks still to be read; no task starts until it is 0 */
  gboolean progress_dirty; /* there is progress that is not stored */
  gboolean writing;        /* a write of the job is in flight */
  gint64 flushed_at;       /* monotonic us of the last write of its progress */
  /* failures */
  GHashTable *failed_on;       /* machines on which a task failed since the last success */
  gint64 failed_at;            /* monotonic us of the newest failure */
  double backoff_s;            /* backoff after the next failure */
  gint64 backoff_until;        /* monotonic us */
  double longest_failed_run_s; /* s; run time of the failed task that had run the longest */
  gboolean probing;            /* a single task is being tried after a backoff */
} KrJob;

/* Takes ownership of `spec`. `submitted_at` is in s since the epoch. */
KrJob *kr_job_new (KrJobSpec *spec, double submitted_at, guint shard);
void kr_job_free (KrJob *job);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (KrJob, kr_job_free)

/* Returns the stored form of a live job, without the chunks below done/. `done` is the bitmap to
 * store; `running` is the number of running tasks to show to users. */
json_t *kr_job_encode (const KrJob *job, const guint8 *done, guint running);
/* Restores a live job from its stored form. Returns NULL if `value` holds no valid job. */
KrJob *kr_job_decode (json_t *value, guint64 revision);
/* Returns the stored form of a job that ended in `state` with `done` completed tasks. */
json_t *kr_job_final_value (KrJobState state, guint done);
/* Reads the status shown to users from the stored form of a live or ended job. Returns FALSE if
 * `value` is not a job. */
gboolean kr_job_parse_status (json_t *value, KrJobState *state, guint *done, guint *running);
/* Returns a copy of a live job's stored form, marked as cancelled by the user. `owner` is the
 * revision of the shard's owner key that the transaction expects; 0: the shard has no owner. */
json_t *kr_job_cancel_value (json_t *value, guint64 owner);
/* Reads the shard and the `owner` of the cancellation from the stored form of a job. Returns FALSE
 * unless it is a live job that is cancelled. */
gboolean kr_job_parse_cancellation (json_t *value, guint *shard, guint64 *owner);
/* Returns the shard from the stored form of a live job. */
guint kr_job_parse_shard (json_t *value);

/* The keys of a live job, of an ended job, and of a chunk of the bitmap. The caller frees them with
 * g_free(). */
char *kr_job_key (const char *id);
char *kr_job_final_key (const char *id);
char *kr_job_chunk_key (const char *id, guint chunk);
/* Returns the number of chunks of the bitmap. Chunk 0 is stored under the job's own key. */
guint kr_job_chunk_count (const KrJob *job);
/* Returns the bits of a chunk of the bitmap `done` as base64 text. */
json_t *kr_job_chunk_encode (const KrJob *job, const guint8 *done, guint chunk);
/* Adds the bits of a stored chunk to the bitmaps `done` and `persisted`. Does nothing if `base64`
 * is not a string. */
void kr_job_chunk_merge (KrJob *job, guint chunk, json_t *base64);

gboolean kr_job_is_done (const KrJob *job, guint task);
gboolean kr_job_is_persisted (const KrJob *job, guint task);
void kr_job_set_done (KrJob *job, guint task);
/* Adds or removes one attempt of the task that may be on a machine. */
void kr_job_add_active (KrJob *job, guint task);
void kr_job_remove_active (KrJob *job, guint task);
/* Returns the number of tasks that are neither completed nor possibly on a machine. */
guint kr_job_unstarted (const KrJob *job);
/* Returns the index of the first such task, or -1. */
gint64 kr_job_next_task (KrJob *job);
gboolean kr_job_is_complete (const KrJob *job);
/* Whether tasks of the job have failed on several machines since the last success, so that either
 * the job or the machines are at fault. */
gboolean kr_job_is_suspect (const KrJob *job);
/* Forgets the failures and ends the backoff, after a task succeeded: the job is probably not at
 * fault. */
void kr_job_clear_failures (KrJob *job);
/* Returns the size of a bitmap with one bit per task. */
gsize kr_job_bitmap_bytes (const KrJob *job);
/* Returns an upper bound of the length of the job's stored values, in bytes. */
gsize kr_job_stored_max_bytes (const KrJob *job);
/* Whether the job's encoded value will stay within `value_kb`, the state service's limit in KiB. */
gboolean kr_job_fits_store (const KrJob *job, json_t *value, double value_kb);
