/* A shard's jobs: reads them, and writes their progress and their ends to the state service. */
#include "shard-private.h"
#include "clock.h"
#include "constants.h"
#include "log.h"
#include <string.h>

/* --- ends ---------------------------------------------------------------------------- */
/* Marks a job as ended. Guards against a job that becomes live again with an old stored value: a
 * watch event, a list or a read from before its end may arrive seconds after it. */
static void
mark_ended (KrShard *shard, const char *id, guint64 revision)
{
  g_hash_table_replace (shard->ended_jobs, g_strdup (id), g_memdup2 (&revision, sizeof revision));
  g_hash_table_remove (shard->jobs, id);
}

gboolean
kr_shard_has_ended (KrShard *shard, const char *job)
{
  return g_hash_table_contains (shard->ended_jobs, job);
}

/* Whether the job watch has reached the revision of the job's end. */
static gboolean
watch_is_past (gpointer id, gpointer revision, gpointer watch_revision)
{
  return *(guint64 *) revision <= *(guint64 *) watch_revision;
}

void
kr_shard_prune_ended (KrShard *shard)
{
  guint64 watch_revision = kr_watch_revision (shard->node->job_watch);
  g_hash_table_foreach_remove (shard->ended_jobs, watch_is_past, &watch_revision);
}

/* --- progress ------------------------------------------------------------------------ */
typedef struct {
  char *id;
  guint8 *bits;
  gboolean final;
} WrittenJob;

typedef struct {
  KrShard *shard;
  GPtrArray *items; /* WrittenJob */
} Batch;

static void
written_job_free (gpointer data)
{
  WrittenJob *written = data;
  g_free (written->id);
  g_free (written->bits);
  g_free (written);
}

typedef struct {
  KrShard *shard;
  char *id;
} JobRead;

static void
on_job_read (guint status, json_t *body, gpointer data)
{
  JobRead *read = data;
  KrKeyValue item;
  if (!read->shard->closed && status == 200 && kr_wire_key_value_parse (body, &item))
    kr_shard_job_event (read->shard, &item);
  else if (!read->shard->closed && status == 404) {
    /* The final write was applied, but its response was lost. */
    kr_info ("job %s: ended", read->id);
    mark_ended (read->shard, read->id, kr_wire_revision (body));
  }
  kr_shard_unref (read->shard);
  g_free (read->id);
  g_free (read);
}

static void
reread_job (KrShard *shard, const char *id)
{
  g_autofree char *key = kr_job_key (id);
  JobRead *read = g_new (JobRead, 1);
  *read = (JobRead){ kr_shard_ref (shard), g_strdup (id) };
  kr_state_get (shard->node->state_client, key, KR_QUEUE_NORMAL, KR_STATE_TIMEOUT_MS, shard->cancel,
                on_job_read, read);
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
on_flush_response (guint status, json_t *body, gpointer data)
{
  Batch *batch = data;
  KrShard *shard = batch->shard;

  shard->flush_in_flight = FALSE;
  for (guint i = 0; !shard->closed && i < batch->items->len; i++) {
    WrittenJob *written = batch->items->pdata[i];
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
        mark_ended (shard, written->id, kr_wire_revision (body));
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
      kr_debug ("shard %u: write of job progress failed (status %u)", shard->index, status);
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

/* Returns the number of puts and deletes for a job's end: its key and chunks are removed, its final
 * state is put. */
static guint
final_write_count (const KrJob *job)
{
  return 1 + kr_job_chunk_count (job);
}

/* A cancelled job only ends once every machine that may hold its tasks is known. */
static gboolean
final_write_due (const KrShard *shard, KrJob *job)
{
  return !job->writing && is_final (job) && (!job->cancelled || shard->phase == SHARD_OPEN);
}

guint
kr_shard_pending_end_writes (KrShard *shard)
{
  guint ops = 0;
  for (guint i = 0; i < shard->live_jobs->len; i++) {
    KrJob *job = ((KrLiveJob *) shard->live_jobs->pdata[i])->job;
    ops += final_write_due (shard, job) ? final_write_count (job) : 0;
  }
  return ops;
}

static int
compare_flushed_at (gconstpointer a, gconstpointer b)
{
  const KrJob *x = *(KrJob *const *) a, *y = *(KrJob *const *) b;
  return x->flushed_at < y->flushed_at ? -1 : x->flushed_at > y->flushed_at;
}

/* Returns the jobs to write now: those that have ended, whatever the flush period; if there are
 * none, those whose progress is due, the longest waiting first. `finals` is set to whether they
 * have ended. */
static GPtrArray *
jobs_to_write (KrShard *shard, gint64 now, gboolean *finals)
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
    if (final_write_due (shard, job))
      g_ptr_array_add (ends, job);
    else if (job->progress_dirty && !job->cancelled &&
             now - job->flushed_at >= KR_PROGRESS_FLUSH_MS * 1000)
      g_ptr_array_add (progress, job);
  }
  g_ptr_array_sort (progress, compare_flushed_at);
  *finals = ends->len > 0;
  return *finals ? g_steal_pointer (&ends) : g_steal_pointer (&progress);
}

/* Returns the number of puts and deletes that may be sent now. */
static guint
max_writes (KrShard *shard, gboolean finals)
{
  KrStateClient *state = shard->node->state_client;
  guint writes_max = finals ? MAX (KR_FINAL_WRITES_MIN, kr_state_write_burst (state))
                            : kr_state_spare_writes (state);
  return MIN (writes_max, shard->node->settings->state_txn_ops);
}

static void
add_final_writes (KrTxn *txn, const KrJob *job)
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
add_progress_writes (KrTxn *txn, const KrJob *job)
{
  g_autofree char *key = kr_job_key (job->spec->id);
  kr_txn_put (txn, key, kr_job_encode (job, job->done, job->n_active), 0);
  for (guint c = 1; c < kr_job_chunk_count (job); c++) {
    g_autofree char *chunk = kr_job_chunk_key (job->spec->id, c);
    kr_txn_put (txn, chunk, kr_job_chunk_encode (job, job->done, c), 0);
  }
}

static void
add_job_writes (KrTxn *txn, Batch *batch, KrJob *job, gboolean final, gint64 now)
{
  g_autofree char *key = kr_job_key (job->spec->id);
  kr_txn_expect_revision (txn, key, job->revision);
  if (final)
    add_final_writes (txn, job);
  else
    add_progress_writes (txn, job);
  WrittenJob *written = g_new (WrittenJob, 1);
  *written = (WrittenJob){ g_strdup (job->spec->id),
                           g_memdup2 (job->done, kr_job_bitmap_bytes (job)), final };
  g_ptr_array_add (batch->items, written);
  job->writing = TRUE;
  job->progress_dirty = FALSE;
  job->flushed_at = now;
}

/* Writes one batch. Progress only uses the rate that other writes leave over: it may be late, since
 * the workers keep each outcome until it is durable. */
void
kr_shard_flush_progress (KrShard *shard)
{
  gint64 now = kr_now ();
  gboolean finals;

  if (shard->flush_in_flight || shard->closed || !shard->jobs_loaded ||
      shard->phase == SHARD_LOADING)
    return;
  g_autoptr (GPtrArray) jobs = jobs_to_write (shard, now, &finals);
  guint writes_max = max_writes (shard, finals);
  if (jobs->len == 0 || writes_max == 0)
    return;
  KrTxn *txn = kr_shard_owner_txn (shard);
  Batch *batch = g_new (Batch, 1);
  gsize bytes = 0;
  *batch = (Batch){ kr_shard_ref (shard), g_ptr_array_new_with_free_func (written_job_free) };
  for (guint i = 0; i < jobs->len; i++) {
    KrJob *job = jobs->pdata[i];
    guint ops = finals ? final_write_count (job) : kr_job_chunk_count (job);
    gsize size = kr_job_stored_max_bytes (job);
    if (batch->items->len &&
        (kr_txn_write_count (txn) + ops > writes_max || bytes + size > KR_COMMIT_MAX_BYTES))
      break;
    add_job_writes (txn, batch, job, finals, now);
    bytes += size;
  }
  shard->flush_in_flight = TRUE;
  kr_state_commit (shard->node->state_client, txn, finals ? KR_QUEUE_HIGH : KR_QUEUE_NORMAL,
                   KR_STATE_TIMEOUT_MS, shard->cancel, on_flush_response, batch);
}

/* --- jobs ---------------------------------------------------------------------------- */
typedef struct {
  KrShard *shard;
  char *id;
  guint chunk;
} ChunkRead;

static gboolean read_chunk (gpointer data);

static void
on_chunk_read (guint status, json_t *body, gpointer data)
{
  ChunkRead *read = data;
  KrShard *shard = read->shard;
  KrJob *job = shard->closed ? NULL : kr_shard_job (shard, read->id);
  KrKeyValue item;

  if (job && status != 200 && status != 404) {
    kr_timer_add (KR_STATE_RETRY_MS, read_chunk, read);
    return;
  }
  if (job) {
    if (status == 200 && kr_wire_key_value_parse (body, &item))
      kr_job_chunk_merge (job, read->chunk, item.value);
    job->chunks_missing--;
  }
  kr_shard_unref (shard);
  g_free (read->id);
  g_free (read);
}

static gboolean
read_chunk (gpointer data)
{
  ChunkRead *read = data;
  g_autofree char *key = kr_job_chunk_key (read->id, read->chunk);
  kr_state_get (read->shard->node->state_client, key, KR_QUEUE_NORMAL, KR_STATE_TIMEOUT_MS,
                read->shard->cancel, on_chunk_read, read);
  return G_SOURCE_REMOVE;
}

static void
cancel_job (KrShard *shard, KrLiveJob *live_job)
{
  g_autoptr (GHashTable) machines = g_hash_table_new (g_direct_hash, g_direct_equal);
  GHashTableIter it;
  gpointer machine;
  live_job->job->cancelled = TRUE;
  kr_info ("job %s: cancelled by its user, stopping %u tasks", live_job->job->spec->id,
           live_job->attempts->len);
  kr_live_job_kill_all (live_job);
  for (guint i = 0; i < live_job->attempts->len; i++)
    g_hash_table_add (machines, ((KrAttempt *) live_job->attempts->pdata[i])->machine);
  g_hash_table_iter_init (&it, machines);
  while (g_hash_table_iter_next (&it, &machine, NULL))
    kr_shard_command_kills (shard, machine);
  kr_shard_flush_progress (shard);
}

/* Whether a machine may still start a task of the job: its run order was sent and is unconfirmed,
 * or the worker is still pulling the image. */
static gboolean
may_still_start (const KrLiveJob *live_job)
{
  for (guint i = 0; i < live_job->attempts->len; i++) {
    const KrAttempt *attempt = live_job->attempts->pdata[i];
    if ((attempt->state == KR_TASK_UNCONFIRMED && !attempt->planned) ||
        attempt->state == KR_TASK_PULLING)
      return TRUE;
  }
  return FALSE;
}

/* The answer remains valid until the tasks are gone, whatever happens to the state service and to
 * this node: every later owner acquires its key after the cancellation was committed and reads the
 * cancellation before it answers a machine, and a machine that nobody answers ends its tasks when
 * its lease expires. While the shard is not open, this node cannot give that answer: an earlier
 * owner, which was not asked, may still command machines. */
KrCancelStatus
kr_shard_cancel_job (KrShard *shard, const char *id, guint64 owner, guint64 revision)
{
  KrLiveJob *live_job = g_hash_table_lookup (shard->jobs, id);
  if (shard->phase != SHARD_OPEN || shard->token < owner)
    return KR_CANCEL_NOT_OWNER;
  if (!live_job)
    return KR_CANCEL_NO_SUCH_JOB;
  if (!live_job->job->cancelled) {
    /* Only the owner writes the rest of the value, expecting the revision that it knows, so nothing
     * but the cancellation has changed since. */
    live_job->job->revision = MAX (live_job->job->revision, revision);
    cancel_job (shard, live_job);
  }
  return may_still_start (live_job) ? KR_CANCEL_PENDING : KR_CANCEL_CONFIRMED;
}

json_t *
kr_cancel_request_new (guint shard, const char *id, guint64 owner, guint64 revision)
{
  return json_pack ("{sI ss sI sI}", "Part", (json_int_t) shard, "Job", id, "Owner",
                    (json_int_t) owner, "Revision", (json_int_t) revision);
}

static const guint cancel_http_status[] = { [KR_CANCEL_CONFIRMED] = 200,
                                            [KR_CANCEL_PENDING] = 202,
                                            [KR_CANCEL_NO_SUCH_JOB] = 404,
                                            [KR_CANCEL_NOT_OWNER] = 409 };

guint
kr_cancel_handle_request (KrNode *node, json_t *request)
{
  const char *id = json_string_value (json_object_get (request, "Job"));
  json_t *shard_index = json_object_get (request, "Part"),
         *owner = json_object_get (request, "Owner"),
         *revision = json_object_get (request, "Revision");
  if (!id || !json_is_number (shard_index) || !kr_json_is_uint (owner) ||
      !kr_json_is_uint (revision))
    return 400;
  guint64 index = kr_json_uint_below (shard_index, node->settings->shard_count);
  if (index >= node->settings->shard_count || !node->shards[index])
    return cancel_http_status[KR_CANCEL_NOT_OWNER];
  return cancel_http_status[kr_shard_cancel_job (node->shards[index], id, kr_json_uint (owner),
                                                 kr_json_uint (revision))];
}

KrCancelStatus
kr_cancel_status_from_http (guint status)
{
  for (guint i = 0; i < G_N_ELEMENTS (cancel_http_status); i++)
    if (cancel_http_status[i] == status)
      return (KrCancelStatus) i;
  return KR_CANCEL_NO_ANSWER;
}

static gboolean
on_preempt_timer (gpointer data)
{
  KrShard *shard = data;
  shard->preempt_timer = 0;
  kr_shard_preempt (shard, kr_now ());
  return G_SOURCE_REMOVE;
}

/* Assigns the attempts that machines have reported to the jobs that have been read, and applies
 * the outcomes of those that have exited. */
static void
match_attempts (KrShard *shard)
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
kr_shard_job_event (KrShard *shard, const KrKeyValue *item)
{
  if (!item->value || !shard->record_loaded)
    return;
  const char *id = item->key + strlen ("job/");
  KrJob *job = kr_shard_job (shard, id);
  if (job && item->revision <= job->revision)
    return;
  if (kr_shard_has_ended (shard, id)) {
    kr_debug ("job %s: ignoring its value of revision %" G_GUINT64_FORMAT ", from before its end",
              id, item->revision);
    return;
  }
  json_t *stored_shard = json_object_get (item->value, "Part");
  if (json_is_integer (stored_shard) && (guint) kr_json_uint (stored_shard) != shard->index)
    return;
  if (job) {
    job->revision = item->revision;
    if (!job->cancelled && json_is_true (json_object_get (item->value, "Cancelled")))
      cancel_job (shard, g_hash_table_lookup (shard->jobs, id));
    return;
  }
  job = kr_job_decode (item->value, item->revision);
  /* The table's key is the id within the value. */
  if (job && !g_str_equal (job->spec->id, id))
    g_clear_pointer (&job, kr_job_free);
  if (!job) {
    kr_info ("state service: ignoring the malformed value of %s", item->key);
    return;
  }
  g_hash_table_insert (shard->jobs, job->spec->id, kr_live_job_new (shard, job));
  if (shard->jobs_loaded)
    match_attempts (shard); /* The job was read after its attempts were reported. */
  kr_info ("job %s: class %s, team %s, %u tasks of %g CPUs, shard %u", id, job->spec->job_class,
           job->spec->team, job->spec->tasks, job->spec->cpus, shard->index);
  for (guint c = 1; c <= job->chunks_missing; c++) {
    ChunkRead *read = g_new (ChunkRead, 1);
    *read = (ChunkRead){ kr_shard_ref (shard), g_strdup (id), c };
    read_chunk (read);
  }
  if (shard->jobs_loaded && is_final (job))
    kr_shard_flush_progress (shard);
  if (shard->jobs_loaded && !shard->preempt_timer) /* for jobs that cannot wait for the next tick */
    shard->preempt_timer = kr_timer_add (KR_WATCH_INTERVAL_MS, on_preempt_timer, shard);
}

void
kr_shard_jobs_listed (KrShard *shard, json_t *items)
{
  json_t *value;
  size_t i;

  if (!shard->record_loaded)
    return;
  json_array_foreach (items, i, value)
  {
    KrKeyValue item;
    if (kr_wire_key_value_parse (value, &item))
      kr_shard_job_event (shard, &item);
  }
  if (shard->jobs_loaded)
    return;
  shard->jobs_loaded = TRUE;
  shard->phase = SHARD_FENCING;
  match_attempts (shard);
  kr_info ("shard %u: read %u jobs and %u machines", shard->index, g_hash_table_size (shard->jobs),
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
