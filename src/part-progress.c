/* A part's jobs: reading them, and writing progress and ends. */
#include "part-private.h"
#include "clock.h"
#include "constants.h"
#include "log.h"
#include <string.h>

/* --- ends ---------------------------------------------------------------------------- */
/* Guards against a job that lives again, with what an earlier write held: a watch event, a scan or
 * a read from before its end may come seconds after it. */
static void
job_ended (KrPart *part, const char *id, guint64 revision)
{
  g_hash_table_replace (part->ended, g_strdup (id), g_memdup2 (&revision, sizeof revision));
  g_hash_table_remove (part->jobs, id);
}

gboolean
kr_part_has_ended (KrPart *part, const char *job)
{
  return g_hash_table_contains (part->ended, job);
}

static gboolean
is_past (gpointer id, gpointer revision, gpointer shown)
{
  return *(guint64 *) revision <= *(guint64 *) shown;
}

void
kr_part_prune_ended (KrPart *part)
{
  guint64 shown = kr_follow_revision (part->node->jobs);
  g_hash_table_foreach_remove (part->ended, is_past, &shown);
}

/* --- progress ------------------------------------------------------------------------ */
typedef struct {
  char *id;
  guint8 *bits;
  gboolean final;
} Written;

typedef struct {
  KrPart *part;
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
  KrPart *part;
  char *id;
} JobRead;

static void
job_read (guint status, json_t *body, gpointer data)
{
  JobRead *r = data;
  KrItem item;
  if (!r->part->gone && status == 200 && kr_wire_item_parse (body, &item))
    kr_part_job_event (r->part, &item);
  else if (!r->part->gone && status == 404) {
    /* Our final write was applied after all, though its answer was lost. */
    kr_info ("job %s: ended", r->id);
    job_ended (r->part, r->id, kr_wire_revision (body));
  }
  kr_part_unref (r->part);
  g_free (r->id);
  g_free (r);
}

static void
reread_job (KrPart *part, const char *id)
{
  g_autofree char *key = kr_job_key (id);
  JobRead *r = g_new (JobRead, 1);
  *r = (JobRead){ kr_part_ref (part), g_strdup (id) };
  kr_state_get (part->node->state, key, KR_NORMAL, KR_STATE_TIMEOUT_MS, part->cancel, job_read, r);
}

static gboolean
flush_again (gpointer data)
{
  KrPart *part = data;
  if (!part->gone)
    kr_part_flush (part);
  kr_part_unref (part);
  return G_SOURCE_REMOVE;
}

static void
flushed (guint status, json_t *body, gpointer data)
{
  Batch *batch = data;
  KrPart *part = batch->part;

  part->flushing = FALSE;
  for (guint i = 0; !part->gone && i < batch->items->len; i++) {
    Written *written = batch->items->pdata[i];
    KrJob *job = kr_part_job (part, written->id);
    g_autofree char *key = kr_job_key (written->id);
    if (!job)
      continue;
    job->writing = FALSE;
    if (status == 200) {
      job->revision = MAX (job->revision, kr_wire_revision (body));
      memcpy (job->durable, written->bits, kr_job_bytes (job));
      if (written->final) {
        kr_info ("job %s: %s, %u tasks, %.1f s after submission", written->id,
                 job->cancelled ? "cancelled" : "done", job->n_done, kr_time_of_day () - job->at);
        job_ended (part, written->id, kr_wire_revision (body));
      }
    } else {
      job->dirty = TRUE;
      if (status == 409 && kr_wire_failed_has (body, key))
        reread_job (part, written->id);
    }
  }
  if (!part->gone) {
    kr_timer_add (status == 200 ? KR_FLUSH_NEXT_MS : KR_RETRY_MS, flush_again, kr_part_ref (part));
    if (status && status != 200)
      kr_debug ("part %u: write of progress refused (%u)", part->index, status);
  }
  g_ptr_array_unref (batch->items);
  kr_part_unref (part);
  g_free (batch);
}

static gboolean
is_final (KrJob *job)
{
  return job->chunks_missing == 0 && (job->cancelled ? job->n_active == 0 : kr_job_complete (job));
}

/* Puts and deletes of a job's end: its own key and its chunks go, what became of it comes. */
static guint
end_ops (const KrJob *job)
{
  return 1 + kr_job_chunks (job);
}

/* A cancelled job is over only when every machine that may hold its tasks is known. */
static gboolean
end_is_due (const KrPart *part, KrJob *job)
{
  return !job->writing && is_final (job) && (!job->cancelled || part->phase == OPEN);
}

guint
kr_part_waiting_ends (KrPart *part)
{
  guint ops = 0;
  for (guint i = 0; i < part->lives->len; i++) {
    KrJob *job = ((KrLive *) part->lives->pdata[i])->job;
    ops += end_is_due (part, job) ? end_ops (job) : 0;
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
due (KrPart *part, gint64 now, gboolean *finals)
{
  g_autoptr (GPtrArray) ends = g_ptr_array_new ();
  g_autoptr (GPtrArray) progress = g_ptr_array_new ();
  GHashTableIter it;
  gpointer value;

  g_hash_table_iter_init (&it, part->jobs);
  while (g_hash_table_iter_next (&it, NULL, &value)) {
    KrJob *job = ((KrLive *) value)->job;
    if (job->writing || job->chunks_missing)
      continue;
    if (end_is_due (part, job))
      g_ptr_array_add (ends, job);
    else if (job->dirty && !job->cancelled && now - job->flushed_at >= KR_FLUSH_MS * 1000)
      g_ptr_array_add (progress, job);
  }
  g_ptr_array_sort (progress, longest_ago);
  *finals = ends->len > 0;
  return *finals ? g_steal_pointer (&ends) : g_steal_pointer (&progress);
}

/* Puts and deletes that may go out now. */
static guint
most_ops (KrPart *part, gboolean finals)
{
  KrState *state = part->node->state;
  guint most =
      finals ? MAX (KR_ENDS_MIN, kr_state_burst_writes (state)) : kr_state_spare_writes (state);
  return MIN (most, part->node->settings->state_txn_ops);
}

static void
add_end (KrTxn *txn, const KrJob *job)
{
  g_autofree char *key = kr_job_key (job->spec->id), *end = kr_job_end_key (job->spec->id);
  KrJobState state = job->cancelled ? KR_JOB_CANCELLED : KR_JOB_DONE;
  kr_txn_remove (txn, key);
  kr_txn_put (txn, end, kr_job_end_value (state, job->n_done), 0);
  for (guint c = 1; c < kr_job_chunks (job); c++) {
    g_autofree char *chunk = kr_job_chunk_key (job->spec->id, c);
    kr_txn_remove (txn, chunk);
  }
}

static void
add_progress (KrTxn *txn, const KrJob *job)
{
  g_autofree char *key = kr_job_key (job->spec->id);
  kr_txn_put (txn, key, kr_job_encode (job, job->done, job->n_active), 0);
  for (guint c = 1; c < kr_job_chunks (job); c++) {
    g_autofree char *chunk = kr_job_chunk_key (job->spec->id, c);
    kr_txn_put (txn, chunk, kr_job_chunk_encode (job, job->done, c), 0);
  }
}

static void
add_job (KrTxn *txn, Batch *batch, KrJob *job, gboolean final, gint64 now)
{
  g_autofree char *key = kr_job_key (job->spec->id);
  kr_txn_when (txn, key, job->revision);
  if (final)
    add_end (txn, job);
  else
    add_progress (txn, job);
  Written *written = g_new (Written, 1);
  *written =
      (Written){ g_strdup (job->spec->id), g_memdup2 (job->done, kr_job_bytes (job)), final };
  g_ptr_array_add (batch->items, written);
  job->writing = TRUE;
  job->dirty = FALSE;
  job->flushed_at = now;
}

/* One batch. Progress goes out from what other writes leave of the budget: it may be late, since
 * the workers keep what has not become durable. */
void
kr_part_flush (KrPart *part)
{
  gint64 now = kr_now ();
  gboolean finals;

  if (part->flushing || part->gone || !part->have_jobs || part->phase == LOADING)
    return;
  g_autoptr (GPtrArray) jobs = due (part, now, &finals);
  guint most = most_ops (part, finals);
  if (jobs->len == 0 || most == 0)
    return;
  KrTxn *txn = kr_part_owner_txn (part);
  Batch *batch = g_new (Batch, 1);
  gsize bytes = 0;
  *batch = (Batch){ kr_part_ref (part), g_ptr_array_new_with_free_func (written_free) };
  for (guint i = 0; i < jobs->len; i++) {
    KrJob *job = jobs->pdata[i];
    guint ops = finals ? end_ops (job) : kr_job_chunks (job);
    gsize size = kr_job_bytes (job) * 4 / 3 + KR_VALUE_RESERVE;
    if (batch->items->len && (kr_txn_ops (txn) + ops > most || bytes + size > KR_COMMIT_BYTES))
      break;
    add_job (txn, batch, job, finals, now);
    bytes += size;
  }
  part->flushing = TRUE;
  kr_state_commit (part->node->state, txn, finals ? KR_FIRST : KR_NORMAL, KR_STATE_TIMEOUT_MS,
                   part->cancel, flushed, batch);
}

/* --- jobs ---------------------------------------------------------------------------- */
typedef struct {
  KrPart *part;
  char *id;
  guint chunk;
} ChunkRead;

static gboolean read_chunk (gpointer data);

static void
chunk_read (guint status, json_t *body, gpointer data)
{
  ChunkRead *r = data;
  KrPart *part = r->part;
  KrJob *job = part->gone ? NULL : kr_part_job (part, r->id);
  KrItem item;

  if (job && status != 200 && status != 404) {
    kr_timer_add (KR_RETRY_MS, read_chunk, r);
    return;
  }
  if (job) {
    if (status == 200 && kr_wire_item_parse (body, &item))
      kr_job_chunk_merge (job, r->chunk, item.value);
    job->chunks_missing--;
  }
  kr_part_unref (part);
  g_free (r->id);
  g_free (r);
}

static gboolean
read_chunk (gpointer data)
{
  ChunkRead *r = data;
  g_autofree char *key = kr_job_chunk_key (r->id, r->chunk);
  kr_state_get (r->part->node->state, key, KR_NORMAL, KR_STATE_TIMEOUT_MS, r->part->cancel,
                chunk_read, r);
  return G_SOURCE_REMOVE;
}

static void
job_cancelled (KrPart *part, KrLive *live)
{
  g_autoptr (GHashTable) machines = g_hash_table_new (g_direct_hash, g_direct_equal);
  GHashTableIter it;
  gpointer b;
  live->job->cancelled = TRUE;
  kr_info ("job %s: cancelled by its user, %u tasks to stop", live->job->spec->id,
           live->launches->len);
  kr_live_stop (live);
  for (guint i = 0; i < live->launches->len; i++)
    g_hash_table_add (machines, ((KrLaunch *) live->launches->pdata[i])->on);
  g_hash_table_iter_init (&it, machines);
  while (g_hash_table_iter_next (&it, &b, NULL))
    kr_part_command_kills (part, b);
  kr_part_flush (part);
}

/* Whether a machine may still start a task of it: a run that it has not yet confirmed, or one that
 * waits for its image. */
static gboolean
may_start (const KrLive *live)
{
  for (guint i = 0; i < live->launches->len; i++) {
    const KrLaunch *launch = live->launches->pdata[i];
    if ((launch->state == KR_TASK_DOUBT && !launch->planned) || launch->state == KR_TASK_PULLING)
      return TRUE;
  }
  return FALSE;
}

/* Our word counts until the tasks are gone, whatever becomes of the state service and of us:
 * every owner after us took its key after the cancellation was committed, reads it before it
 * answers a machine, and a machine that nobody answers ends its tasks with its lease. Without an
 * open part we cannot give it: an earlier owner, which was not asked, may command machines. */
KrCancelWord
kr_part_cancel (KrPart *part, const char *id, guint64 owner, guint64 revision)
{
  KrLive *live = g_hash_table_lookup (part->jobs, id);
  if (part->phase != OPEN || part->token < owner)
    return KR_CANCEL_NOT_OWNER;
  if (!live)
    return KR_CANCEL_UNKNOWN;
  if (!live->job->cancelled) {
    /* Only owners write the rest of the value, under the revision they know: ours is still that. */
    live->job->revision = MAX (live->job->revision, revision);
    job_cancelled (part, live);
  }
  return may_start (live) ? KR_CANCEL_SOON : KR_CANCEL_SURE;
}

json_t *
kr_cancel_question (guint part, const char *id, guint64 owner, guint64 revision)
{
  return json_pack ("{sI ss sI sI}", "Part", (json_int_t) part, "Job", id, "Owner",
                    (json_int_t) owner, "Revision", (json_int_t) revision);
}

static const guint word_status[] = { [KR_CANCEL_SURE] = 200,
                                     [KR_CANCEL_SOON] = 202,
                                     [KR_CANCEL_UNKNOWN] = 404,
                                     [KR_CANCEL_NOT_OWNER] = 409 };

guint
kr_cancel_answer (KrNode *node, json_t *question)
{
  const char *id = json_string_value (json_object_get (question, "Job"));
  json_t *part = json_object_get (question, "Part"), *owner = json_object_get (question, "Owner"),
         *revision = json_object_get (question, "Revision");
  if (!id || !json_is_integer (part) || !json_is_integer (owner) || !json_is_integer (revision))
    return 400;
  guint64 p = (guint64) json_integer_value (part);
  if (p >= node->settings->size || !node->parts[p])
    return word_status[KR_CANCEL_NOT_OWNER];
  return word_status[kr_part_cancel (node->parts[p], id, (guint64) json_integer_value (owner),
                                     (guint64) json_integer_value (revision))];
}

KrCancelWord
kr_cancel_word (guint status)
{
  for (guint w = 0; w < G_N_ELEMENTS (word_status); w++)
    if (word_status[w] == status)
      return (KrCancelWord) w;
  return KR_CANCEL_SILENT;
}

static gboolean
preempt_now (gpointer data)
{
  KrPart *part = data;
  part->preempt_soon = 0;
  kr_part_preempt (part, kr_now ());
  return G_SOURCE_REMOVE;
}

/* What machines report of jobs that have been read. */
static void
count_launches (KrPart *part)
{
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init (&it, part->machines);
  while (kr_part_next (part, &it, &value)) {
    KrMachine *machine = value;
    for (guint k = 0; k < machine->launches->len; k++) {
      KrLaunch *launch = machine->launches->pdata[k];
      if (launch->of)
        continue;
      KrJob *job = kr_part_job (part, launch->job);
      kr_part_count_launch (part, launch);
      if (job && launch->state == KR_TASK_EXITED && launch->why == KR_WHY_DONE &&
          job->spec->form != KR_FORM_SERVICE && !kr_job_is_done (job, launch->index)) {
        kr_job_set_done (job, launch->index);
        job->dirty = TRUE;
      }
    }
  }
}

void
kr_part_job_event (KrPart *p, const KrItem *item)
{
  if (!item->value || !p->have_record)
    return;
  const char *id = item->key + strlen ("job/");
  KrJob *job = kr_part_job (p, id);
  if (job && item->revision <= job->revision)
    return;
  if (kr_part_has_ended (p, id)) {
    kr_debug ("job %s: its value of revision %" G_GUINT64_FORMAT " is from before its end", id,
              item->revision);
    return;
  }
  json_t *part = json_object_get (item->value, "Part");
  if (json_is_integer (part) && (guint) json_integer_value (part) != p->index)
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
  g_hash_table_insert (p->jobs, job->spec->id, kr_live_new (p, job));
  if (p->have_jobs)
    count_launches (p); /* of a job that was read only now */
  kr_info ("job %s: %s, %s, %u tasks of %g CPUs, part %u", id, job->spec->lane, job->spec->team,
           job->spec->tasks, job->spec->cpus, p->index);
  for (guint c = 1; c <= job->chunks_missing; c++) {
    ChunkRead *r = g_new (ChunkRead, 1);
    *r = (ChunkRead){ kr_part_ref (p), g_strdup (id), c };
    read_chunk (r);
  }
  if (p->have_jobs && is_final (job))
    kr_part_flush (p);
  if (p->have_jobs && !p->preempt_soon) /* those who cannot wait for the next tick */
    p->preempt_soon = kr_timer_add (KR_FOLLOW_PAUSE_MS, preempt_now, p);
}

void
kr_part_jobs_scanned (KrPart *part, json_t *items)
{
  json_t *o;
  size_t i;

  if (!part->have_record)
    return;
  json_array_foreach (items, i, o)
  {
    KrItem item;
    if (kr_wire_item_parse (o, &item))
      kr_part_job_event (part, &item);
  }
  if (part->have_jobs)
    return;
  part->have_jobs = TRUE;
  part->phase = FENCING;
  count_launches (part);
  kr_info ("part %u: %u jobs, %u machines read", part->index, g_hash_table_size (part->jobs),
           g_hash_table_size (part->machines));
  kr_part_answer_held (part);
  kr_part_check_open (part);
  kr_part_flush (part);
}

gboolean
kr_part_counts (KrPart *part, const char *id, guint *done, guint *running)
{
  KrJob *job = kr_part_job (part, id);
  if (!job || !part->have_jobs)
    return FALSE;
  *done = job->n_done;
  *running = job->n_active;
  return TRUE;
}
