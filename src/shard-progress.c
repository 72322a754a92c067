/* A part's jobs: reading them, and writing progress and ends. */
#include "shard-private.h"
#include "clock.h"
#include "constants.h"
#include "log.h"
#include <string.h>

/* --- ends ---------------------------------------------------------------------------- */
/* Guards against a job that lives again, with what an earlier write held: a watch event, a scan or
 * a read from before its end may come seconds after it. */
static void
job_ended (KrShard *shard, const char *id, guint64 revision)
{
  g_hash_table_replace (shard->ended_jobs, g_strdup (id), g_memdup2 (&revision, sizeof revision));
  g_hash_table_remove (shard->jobs, id);
}

gboolean
kr_shard_has_ended (KrShard *shard, const char *job)
{
  return g_hash_table_contains (shard->ended_jobs, job);
}

static gboolean
is_past (gpointer id, gpointer revision, gpointer shown)
{
  return *(guint64 *) revision <= *(guint64 *) shown;
}

void
kr_shard_prune_ended (KrShard *shard)
{
  guint64 shown = kr_watch_revision (shard->node->job_watch);
  g_hash_table_foreach_remove (shard->ended_jobs, is_past, &shown);
}

/* --- progress ------------------------------------------------------------------------ */
typedef struct {
  char *id;
  guint8 *bits;
  gboolean final;
} Written;

typedef struct {
  KrShard *shard;
  GPtrArray *items; /* Written */
} Batch;

static void
written_free (gpointer p)
{
  Written *written = p;
  g_free (written->id);
  g_free (written->bits);
  g_free (written);
}

typedef struct {
  KrShard *shard;
  char *id;
} JobRead;

static void
job_read (guint status, json_t *body, gpointer data)
{
  JobRead *r = data;
  KrKeyValue item;
  if (!r->shard->closed && status == 200 && kr_wire_key_value_parse (body, &item))
    kr_shard_job_event (r->shard, &item);
  else if (!r->shard->closed && status == 404) {
    /* Our final write was applied after all, though its answer was lost. */
    kr_info ("job %s: ended", r->id);
    job_ended (r->shard, r->id, kr_wire_revision (body));
  }
  kr_shard_unref (r->shard);
  g_free (r->id);
  g_free (r);
}

static void
reread_job (KrShard *shard, const char *id)
{
  g_autofree char *key = kr_job_key (id);
  JobRead *r = g_new (JobRead, 1);
  *r = (JobRead){ kr_shard_ref (shard), g_strdup (id) };
  kr_state_get (shard->node->state_client, key, KR_QUEUE_NORMAL, KR_STATE_TIMEOUT_MS, shard->cancel,
                job_read, r);
}

static gboolean
flush_again (gpointer data)
{
  KrShard *shard = data;
  if (!shard->closed)
    kr_shard_flush_progress (shard);
  kr_shard_unref (shard);
  return G_SOURCE_REMOVE;
}

static void
flushed (guint status, json_t *body, gpointer data)
{
  Batch *batch = data;
  KrShard *shard = batch->shard;

  shard->flush_in_flight = FALSE;
  for (guint i = 0; !shard->closed && i < batch->items->len; i++) {
    Written *written = batch->items->pdata[i];
    KrJob *job = kr_shard_job (shard, written->id);
    g_autofree char *key = kr_job_key (written->id);
    if (!job)
      continue;
    job->writing = FALSE;
    if (status == 200) {
      job->revision = MAX (job->revision, kr_wire_revision (body));
      memcpy (job->persisted, written->bits, kr_job_bitmap_bytes (job));
      if (written->final) {
        kr_info ("job %s: %s, %u tasks, %.1f s after submission", written->id,
                 job->cancelled ? "cancelled" : "done", job->n_done,
                 kr_wall_clock_s () - job->submitted_at);
        job_ended (shard, written->id, kr_wire_revision (body));
      }
    } else {
      job->progress_dirty = TRUE;
      if (status == 409 && kr_wire_commit_failed_on (body, key))
        reread_job (shard, written->id);
    }
  }
  if (!shard->closed) {
    kr_timer_add (status == 200 ? KR_FLUSH_BATCH_DELAY_MS : KR_STATE_RETRY_MS, flush_again,
                  kr_shard_ref (shard));
    if (status && status != 200)
      kr_debug ("part %u: write of progress refused (%u)", shard->index, status);
  }
  g_ptr_array_unref (batch->items);
  kr_shard_unref (shard);
  g_free (batch);
}

static gboolean
is_final (KrJob *job)
{
  return job->chunks_missing == 0 &&
         (job->cancelled ? job->n_active == 0 : kr_job_is_complete (job));
}

/* Puts and deletes of a job's end: its own key and its chunks go, what became of it comes. */
static guint
end_ops (const KrJob *job)
{
  return 1 + kr_job_chunk_count (job);
}

/* A cancelled job is over only when every machine that may hold its tasks is known. */
static gboolean
end_is_due (const KrShard *shard, KrJob *job)
{
  return !job->writing && is_final (job) && (!job->cancelled || shard->phase == SHARD_OPEN);
}

guint
kr_shard_pending_end_writes (KrShard *shard)
{
  guint ops = 0;
  for (guint i = 0; i < shard->live_jobs->len; i++) {
    KrJob *job = ((KrLiveJob *) shard->live_jobs->pdata[i])->job;
    ops += end_is_due (shard, job) ? end_ops (job) : 0;
  }
  return ops;
}

static int
longest_ago (gconstpointer a, gconstpointer b)
{
  const KrJob *job = *(KrJob *const *) a, *y = *(KrJob *const *) b;
  return job->flushed_at < y->flushed_at ? -1 : job->flushed_at > y->flushed_at;
}

/* What has to be written now: ends, whatever the period; where there are none, progress that is
 * due, the longest waiting first. */
static GPtrArray *
due (KrShard *shard, gint64 now, gboolean *finals)
{
  g_autoptr (GPtrArray) ends = g_ptr_array_new ();
  g_autoptr (GPtrArray) progress = g_ptr_array_new ();
  GHashTableIter it;
  gpointer value;

  g_hash_table_iter_init (&it, shard->jobs);
  while (g_hash_table_iter_next (&it, NULL, &value)) {
    KrJob *job = ((KrLiveJob *) value)->job;
    if (job->writing || job->chunks_missing)
      continue;
    if (end_is_due (shard, job))
      g_ptr_array_add (ends, job);
    else if (job->progress_dirty && !job->cancelled &&
             now - job->flushed_at >= KR_PROGRESS_FLUSH_MS * 1000)
      g_ptr_array_add (progress, job);
  }
  g_ptr_array_sort (progress, longest_ago);
  *finals = ends->len > 0;
  return *finals ? g_steal_pointer (&ends) : g_steal_pointer (&progress);
}

/* Puts and deletes that may go out now. */
static guint
most_ops (KrShard *shard, gboolean finals)
{
  KrStateClient *state = shard->node->state_client;
  guint most = finals ? MAX (KR_FINAL_WRITES_MIN, kr_state_write_burst (state))
                      : kr_state_spare_writes (state);
  return MIN (most, shard->node->settings->state_txn_ops);
}

static void
add_end (KrTxn *txn, const KrJob *job)
{
  g_autofree char *key = kr_job_key (job->spec->id), *end = kr_job_final_key (job->spec->id);
  KrJobState state = job->cancelled ? KR_JOB_CANCELLED : KR_JOB_DONE;
  kr_txn_remove (txn, key);
  kr_txn_put (txn, end, kr_job_final_value (state, job->n_done), 0);
  for (guint c = 1; c < kr_job_chunk_count (job); c++) {
    g_autofree char *chunk = kr_job_chunk_key (job->spec->id, c);
    kr_txn_remove (txn, chunk);
  }
}

static void
add_progress (KrTxn *txn, const KrJob *job)
{
  g_autofree char *key = kr_job_key (job->spec->id);
  kr_txn_put (txn, key, kr_job_encode (job, job->done, job->n_active), 0);
  for (guint c = 1; c < kr_job_chunk_count (job); c++) {
    g_autofree char *chunk = kr_job_chunk_key (job->spec->id, c);
    kr_txn_put (txn, chunk, kr_job_chunk_encode (job, job->done, c), 0);
  }
}

static void
add_job (KrTxn *txn, Batch *batch, KrJob *job, gboolean final, gint64 now)
{
  g_autofree char *key = kr_job_key (job->spec->id);
  kr_txn_expect_revision (txn, key, job->revision);
  if (final)
    add_end (txn, job);
  else
    add_progress (txn, job);
  Written *written = g_new (Written, 1);
  *written = (Written){ g_strdup (job->spec->id), g_memdup2 (job->done, kr_job_bitmap_bytes (job)),
                        final };
  g_ptr_array_add (batch->items, written);
  job->writing = TRUE;
  job->progress_dirty = FALSE;
  job->flushed_at = now;
}

/* One batch. Progress goes out from what other writes leave of the budget: it may be late, since
 * the workers keep what has not become durable. */
void
kr_shard_flush_progress (KrShard *shard)
{
  gint64 now = kr_now ();
  gboolean finals;

  if (shard->flush_in_flight || shard->closed || !shard->jobs_loaded ||
      shard->phase == SHARD_LOADING)
    return;
  g_autoptr (GPtrArray) jobs = due (shard, now, &finals);
  guint most = most_ops (shard, finals);
  if (jobs->len == 0 || most == 0)
    return;
  KrTxn *txn = kr_shard_owner_txn (shard);
  Batch *batch = g_new (Batch, 1);
  gsize bytes = 0;
  *batch = (Batch){ kr_shard_ref (shard), g_ptr_array_new_with_free_func (written_free) };
  for (guint i = 0; i < jobs->len; i++) {
    KrJob *job = jobs->pdata[i];
    guint ops = finals ? end_ops (job) : kr_job_chunk_count (job);
    gsize size = kr_job_bitmap_bytes (job) * 4 / 3 + KR_VALUE_JOB_FIELDS_BYTES;
    if (batch->items->len &&
        (kr_txn_write_count (txn) + ops > most || bytes + size > KR_COMMIT_MAX_BYTES))
      break;
    add_job (txn, batch, job, finals, now);
    bytes += size;
  }
  shard->flush_in_flight = TRUE;
  kr_state_commit (shard->node->state_client, txn, finals ? KR_QUEUE_HIGH : KR_QUEUE_NORMAL,
                   KR_STATE_TIMEOUT_MS, shard->cancel, flushed, batch);
}

/* --- jobs ---------------------------------------------------------------------------- */
typedef struct {
  KrShard *shard;
  char *id;
  guint chunk;
} ChunkRead;

static gboolean read_chunk (gpointer data);

static void
chunk_read (guint status, json_t *body, gpointer data)
{
  ChunkRead *r = data;
  KrShard *shard = r->shard;
  KrJob *job = shard->closed ? NULL : kr_shard_job (shard, r->id);
  KrKeyValue item;

  if (job && status != 200 && status != 404) {
    kr_timer_add (KR_STATE_RETRY_MS, read_chunk, r);
    return;
  }
  if (job) {
    if (status == 200 && kr_wire_key_value_parse (body, &item))
      kr_job_chunk_merge (job, r->chunk, item.value);
    job->chunks_missing--;
  }
  kr_shard_unref (shard);
  g_free (r->id);
  g_free (r);
}

static gboolean
read_chunk (gpointer data)
{
  ChunkRead *r = data;
  g_autofree char *key = kr_job_chunk_key (r->id, r->chunk);
  kr_state_get (r->shard->node->state_client, key, KR_QUEUE_NORMAL, KR_STATE_TIMEOUT_MS,
                r->shard->cancel, chunk_read, r);
  return G_SOURCE_REMOVE;
}

static void
job_cancelled (KrShard *shard, KrLiveJob *live_job)
{
  g_autoptr (GHashTable) machines = g_hash_table_new (g_direct_hash, g_direct_equal);
  GHashTableIter it;
  gpointer b;
  live_job->job->cancelled = TRUE;
  kr_info ("job %s: cancelled by its user, %u tasks to stop", live_job->job->spec->id,
           live_job->attempts->len);
  kr_live_job_kill_all (live_job);
  for (guint i = 0; i < live_job->attempts->len; i++)
    g_hash_table_add (machines, ((KrAttempt *) live_job->attempts->pdata[i])->machine);
  g_hash_table_iter_init (&it, machines);
  while (g_hash_table_iter_next (&it, &b, NULL))
    kr_shard_command_kills (shard, b);
  kr_shard_flush_progress (shard);
}

/* Whether a machine may still start a task of it: a run that it has not yet confirmed, or one that
 * waits for its image. */
static gboolean
may_start (const KrLiveJob *live_job)
{
  for (guint i = 0; i < live_job->attempts->len; i++) {
    const KrAttempt *attempt = live_job->attempts->pdata[i];
    if ((attempt->state == KR_TASK_UNCONFIRMED && !attempt->planned) ||
        attempt->state == KR_TASK_PULLING)
      return TRUE;
  }
  return FALSE;
}

/* Our word counts until the tasks are gone, whatever becomes of the state service and of us:
 * every owner after us took its key after the cancellation was committed, reads it before it
 * answers a machine, and a machine that nobody answers ends its tasks with its lease. Without an
 * open part we cannot give it: an earlier owner, which was not asked, may command machines. */
KrCancelStatus
kr_shard_cancel_job (KrShard *shard, const char *id, guint64 owner, guint64 revision)
{
  KrLiveJob *live_job = g_hash_table_lookup (shard->jobs, id);
  if (shard->phase != SHARD_OPEN || shard->token < owner)
    return KR_CANCEL_NOT_OWNER;
  if (!live_job)
    return KR_CANCEL_NO_SUCH_JOB;
  if (!live_job->job->cancelled) {
    /* Only owners write the rest of the value, under the revision they know: ours is still that. */
    live_job->job->revision = MAX (live_job->job->revision, revision);
    job_cancelled (shard, live_job);
  }
  return may_start (live_job) ? KR_CANCEL_PENDING : KR_CANCEL_CONFIRMED;
}

json_t *
kr_cancel_request_new (guint shard, const char *id, guint64 owner, guint64 revision)
{
  return json_pack ("{sI ss sI sI}", "Part", (json_int_t) shard, "Job", id, "Owner",
                    (json_int_t) owner, "Revision", (json_int_t) revision);
}

static const guint word_status[] = { [KR_CANCEL_CONFIRMED] = 200,
                                     [KR_CANCEL_PENDING] = 202,
                                     [KR_CANCEL_NO_SUCH_JOB] = 404,
                                     [KR_CANCEL_NOT_OWNER] = 409 };

guint
kr_cancel_handle_request (KrNode *node, json_t *question)
{
  const char *id = json_string_value (json_object_get (question, "Job"));
  json_t *shard = json_object_get (question, "Part"), *owner = json_object_get (question, "Owner"),
         *revision = json_object_get (question, "Revision");
  if (!id || !json_is_integer (shard) || !json_is_integer (owner) || !json_is_integer (revision))
    return 400;
  guint64 p = (guint64) json_integer_value (shard);
  if (p >= node->settings->shard_count || !node->shards[p])
    return word_status[KR_CANCEL_NOT_OWNER];
  return word_status[kr_shard_cancel_job (node->shards[p], id, (guint64) json_integer_value (owner),
                                          (guint64) json_integer_value (revision))];
}

KrCancelStatus
kr_cancel_status_from_http (guint status)
{
  for (guint w = 0; w < G_N_ELEMENTS (word_status); w++)
    if (word_status[w] == status)
      return (KrCancelStatus) w;
  return KR_CANCEL_NO_ANSWER;
}

static gboolean
preempt_now (gpointer data)
{
  KrShard *shard = data;
  shard->preempt_timer = 0;
  kr_shard_preempt (shard, kr_now ());
  return G_SOURCE_REMOVE;
}

/* What machines report of jobs that have been read. */
static void
count_launches (KrShard *shard)
{
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init (&it, shard->machines);
  while (kr_shard_next_machine (shard, &it, &value)) {
    KrMachine *machine = value;
    for (guint k = 0; k < machine->attempts->len; k++) {
      KrAttempt *attempt = machine->attempts->pdata[k];
      if (attempt->live_job)
        continue;
      KrJob *job = kr_shard_job (shard, attempt->job_id);
      kr_shard_add_attempt (shard, attempt);
      if (job && attempt->state == KR_TASK_EXITED && attempt->exit_reason == KR_EXIT_DONE &&
          job->spec->kind != KR_JOB_KIND_SERVICE && !kr_job_is_done (job, attempt->task_index)) {
        kr_job_set_done (job, attempt->task_index);
        job->progress_dirty = TRUE;
      }
    }
  }
}

void
kr_shard_job_event (KrShard *p, const KrKeyValue *item)
{
  if (!item->value || !p->record_loaded)
    return;
  const char *id = item->key + strlen ("job/");
  KrJob *job = kr_shard_job (p, id);
  if (job && item->revision <= job->revision)
    return;
  if (kr_shard_has_ended (p, id)) {
    kr_debug ("job %s: its value of revision %" G_GUINT64_FORMAT " is from before its end", id,
              item->revision);
    return;
  }
  json_t *shard = json_object_get (item->value, "Part");
  if (json_is_integer (shard) && (guint) json_integer_value (shard) != p->index)
    return;
  if (job) {
    job->revision = item->revision;
    if (!job->cancelled && json_is_true (json_object_get (item->value, "Cancelled")))
      job_cancelled (p, g_hash_table_lookup (p->jobs, id));
    return;
  }
  job = kr_job_decode (item->value, item->revision);
  if (!job) {
    kr_info ("state: %s is malformed, left alone", item->key);
    return;
  }
  g_hash_table_insert (p->jobs, job->spec->id, kr_live_job_new (p, job));
  if (p->jobs_loaded)
    count_launches (p); /* of a job that was read only now */
  kr_info ("job %s: %s, %s, %u tasks of %g CPUs, part %u", id, job->spec->job_class,
           job->spec->team, job->spec->tasks, job->spec->cpus, p->index);
  for (guint c = 1; c <= job->chunks_missing; c++) {
    ChunkRead *r = g_new (ChunkRead, 1);
    *r = (ChunkRead){ kr_shard_ref (p), g_strdup (id), c };
    read_chunk (r);
  }
  if (p->jobs_loaded && is_final (job))
    kr_shard_flush_progress (p);
  if (p->jobs_loaded && !p->preempt_timer) /* those who cannot wait for the next tick */
    p->preempt_timer = kr_timer_add (KR_WATCH_INTERVAL_MS, preempt_now, p);
}

void
kr_shard_jobs_listed (KrShard *shard, json_t *items)
{
  json_t *o;
  size_t i;

  if (!shard->record_loaded)
    return;
  json_array_foreach (items, i, o)
  {
    KrKeyValue item;
    if (kr_wire_key_value_parse (o, &item))
      kr_shard_job_event (shard, &item);
  }
  if (shard->jobs_loaded)
    return;
  shard->jobs_loaded = TRUE;
  shard->phase = SHARD_FENCING;
  count_launches (shard);
  kr_info ("part %u: %u jobs, %u machines read", shard->index, g_hash_table_size (shard->jobs),
           g_hash_table_size (shard->machines));
  kr_shard_answer_held_reports (shard);
  kr_shard_try_open (shard);
  kr_shard_flush_progress (shard);
}

gboolean
kr_shard_job_counts (KrShard *shard, const char *id, guint *done, guint *running)
{
  KrJob *job = kr_shard_job (shard, id);
  if (!job || !shard->jobs_loaded)
    return FALSE;
  *done = job->n_done;
  *running = job->n_active;
  return TRUE;
}
