/* A part's jobs: reading them, and writing progress and ends. */
#include "part-private.h"
#include "clock.h"
#include "constants.h"
#include "log.h"
#include <string.h>

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
  Written *w = p;
  g_free (w->id);
  g_free (w->bits);
  g_free (w);
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
    g_hash_table_remove (r->part->jobs, r->id);
  }
  kr_part_unref (r->part);
  g_free (r->id);
  g_free (r);
}

static void
reread_job (KrPart *p, const char *id)
{
  g_autofree char *key = kr_job_key (id);
  JobRead *r = g_new (JobRead, 1);
  *r = (JobRead){ kr_part_ref (p), g_strdup (id) };
  kr_state_get (p->node->state, key, KR_NORMAL, KR_STATE_TIMEOUT_MS, p->cancel, job_read, r);
}

static gboolean
flush_again (gpointer data)
{
  KrPart *p = data;
  if (!p->gone)
    kr_part_flush (p);
  kr_part_unref (p);
  return G_SOURCE_REMOVE;
}

static void
flushed (guint status, json_t *body, gpointer data)
{
  Batch *batch = data;
  KrPart *p = batch->part;

  p->flushing = FALSE;
  for (guint i = 0; !p->gone && i < batch->items->len; i++) {
    Written *w = batch->items->pdata[i];
    KrJob *j = kr_part_job (p, w->id);
    g_autofree char *key = kr_job_key (w->id);
    if (!j)
      continue;
    j->writing = FALSE;
    if (status == 200) {
      j->revision = MAX (j->revision, kr_wire_revision (body));
      memcpy (j->durable, w->bits, kr_job_bytes (j));
      if (w->final) {
        kr_info ("job %s: %s, %u tasks, %.1f s after submission", w->id,
                 j->cancelled ? "cancelled" : "done", j->n_done, kr_time_of_day () - j->at);
        g_hash_table_remove (p->jobs, w->id);
      }
    } else {
      j->dirty = TRUE;
      if (status == 409 && kr_wire_failed_has (body, key))
        reread_job (p, w->id);
    }
  }
  if (!p->gone) {
    kr_timer_add (status == 200 ? KR_FLUSH_NEXT_MS : KR_RETRY_MS, flush_again, kr_part_ref (p));
    if (status && status != 200)
      kr_debug ("part %u: write of progress refused (%u)", p->index, status);
  }
  g_ptr_array_unref (batch->items);
  kr_part_unref (p);
  g_free (batch);
}

static gboolean
is_final (KrJob *j)
{
  return j->chunks_missing == 0 && (j->cancelled ? j->n_active == 0 : kr_job_complete (j));
}

/* Puts and deletes of a job's end: its own key and its chunks go, what became of it comes. */
static guint
end_ops (const KrJob *j)
{
  return 1 + kr_job_chunks (j);
}

/* A cancelled job is over only when every machine that may hold its tasks is known. */
static gboolean
end_is_due (const KrPart *p, KrJob *j)
{
  return !j->writing && is_final (j) && (!j->cancelled || p->phase == OPEN);
}

guint
kr_part_waiting_ends (KrPart *p)
{
  guint ops = 0;
  for (guint i = 0; i < p->lives->len; i++) {
    KrJob *j = ((KrLive *) p->lives->pdata[i])->job;
    ops += end_is_due (p, j) ? end_ops (j) : 0;
  }
  return ops;
}

static int
longest_ago (gconstpointer a, gconstpointer b)
{
  const KrJob *x = *(KrJob *const *) a, *y = *(KrJob *const *) b;
  return x->flushed_at < y->flushed_at ? -1 : x->flushed_at > y->flushed_at;
}

/* What has to be written now: ends, whatever the period; where there are none, progress that is
 * due, the longest waiting first. */
static GPtrArray *
due (KrPart *p, gint64 now, gboolean *finals)
{
  g_autoptr (GPtrArray) ends = g_ptr_array_new ();
  g_autoptr (GPtrArray) progress = g_ptr_array_new ();
  GHashTableIter it;
  gpointer value;

  g_hash_table_iter_init (&it, p->jobs);
  while (g_hash_table_iter_next (&it, NULL, &value)) {
    KrJob *j = ((KrLive *) value)->job;
    if (j->writing || j->chunks_missing)
      continue;
    if (end_is_due (p, j))
      g_ptr_array_add (ends, j);
    else if (j->dirty && !j->cancelled && now - j->flushed_at >= KR_FLUSH_MS * 1000)
      g_ptr_array_add (progress, j);
  }
  g_ptr_array_sort (progress, longest_ago);
  *finals = ends->len > 0;
  return *finals ? g_steal_pointer (&ends) : g_steal_pointer (&progress);
}

/* One batch. Progress goes out from what other writes leave of the budget: it may be late, since
 * the workers keep what has not become durable. */
void
kr_part_flush (KrPart *p)
{
  gint64 now = kr_now ();
  gboolean finals;

  if (p->flushing || p->gone || !p->have_jobs || p->phase == LOADING)
    return;
  g_autoptr (GPtrArray) jobs = due (p, now, &finals);
  guint most = p->node->settings->state_txn_ops;
  if (finals)
    most = MIN (most, MAX (KR_ENDS_MIN, kr_state_burst_writes (p->node->state)));
  else
    most = MIN (most, kr_state_spare_writes (p->node->state));
  if (jobs->len == 0 || most == 0)
    return;
  KrTxn *txn = kr_part_owner_txn (p);
  Batch *batch = g_new (Batch, 1);
  gsize bytes = 0;
  *batch = (Batch){ kr_part_ref (p), g_ptr_array_new_with_free_func (written_free) };

  for (guint i = 0; i < jobs->len; i++) {
    KrJob *j = jobs->pdata[i];
    guint chunks = kr_job_chunks (j), ops = finals ? end_ops (j) : chunks;
    gsize size = kr_job_bytes (j) * 4 / 3 + KR_VALUE_RESERVE;
    if (batch->items->len && (kr_txn_ops (txn) + ops > most || bytes + size > KR_COMMIT_BYTES))
      break;
    g_autofree char *key = kr_job_key (j->spec->id);
    kr_txn_when (txn, key, j->revision);
    if (finals) {
      g_autofree char *end = kr_job_end_key (j->spec->id);
      kr_txn_remove (txn, key);
      kr_txn_put (txn, end,
                  kr_job_end_value (j->cancelled ? KR_JOB_CANCELLED : KR_JOB_DONE, j->n_done), 0);
    } else
      kr_txn_put (txn, key, kr_job_encode (j, j->done, j->n_active), 0);
    for (guint c = 1; c < chunks; c++) {
      g_autofree char *chunk = kr_job_chunk_key (j->spec->id, c);
      if (finals)
        kr_txn_remove (txn, chunk);
      else
        kr_txn_put (txn, chunk, kr_job_chunk_encode (j, j->done, c), 0);
    }
    bytes += size;
    Written *w = g_new (Written, 1);
    *w = (Written){ g_strdup (j->spec->id), g_memdup2 (j->done, kr_job_bytes (j)), finals };
    g_ptr_array_add (batch->items, w);
    j->writing = TRUE;
    j->dirty = FALSE;
    j->flushed_at = now;
  }
  p->flushing = TRUE;
  kr_state_commit (p->node->state, txn, finals ? KR_FIRST : KR_NORMAL, KR_STATE_TIMEOUT_MS,
                   p->cancel, flushed, batch);
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
  KrPart *p = r->part;
  KrJob *j = p->gone ? NULL : kr_part_job (p, r->id);
  KrItem item;

  if (j && status != 200 && status != 404) {
    kr_timer_add (KR_RETRY_MS, read_chunk, r);
    return;
  }
  if (j) {
    if (status == 200 && kr_wire_item_parse (body, &item))
      kr_job_chunk_merge (j, r->chunk, item.value);
    j->chunks_missing--;
  }
  kr_part_unref (p);
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
job_cancelled (KrPart *p, KrLive *c)
{
  g_autoptr (GHashTable) machines = g_hash_table_new (g_direct_hash, g_direct_equal);
  GHashTableIter it;
  gpointer b;
  c->job->cancelled = TRUE;
  kr_info ("job %s: cancelled by its user, %u tasks to stop", c->job->spec->id, c->launches->len);
  kr_live_stop (c);
  for (guint i = 0; i < c->launches->len; i++)
    g_hash_table_add (machines, ((KrLaunch *) c->launches->pdata[i])->on);
  g_hash_table_iter_init (&it, machines);
  while (g_hash_table_iter_next (&it, &b, NULL))
    kr_part_command_kills (p, b);
  kr_part_flush (p);
}

/* Whether a machine may still start a task of it: a run that it has not yet confirmed, or one that
 * waits for its image. */
static gboolean
may_start (const KrLive *c)
{
  for (guint i = 0; i < c->launches->len; i++) {
    const KrLaunch *l = c->launches->pdata[i];
    if ((l->state == KR_TASK_DOUBT && !l->planned) || l->state == KR_TASK_PULLING)
      return TRUE;
  }
  return FALSE;
}

/* Our word counts until the tasks are gone, whatever becomes of the state service and of us:
 * every owner after us took its key after the cancellation was committed, reads it before it
 * answers a machine, and a machine that nobody answers ends its tasks with its lease. Without an
 * open part we cannot give it: an earlier owner, which was not asked, may command machines. */
KrCancelWord
kr_part_cancel (KrPart *p, const char *id, guint64 owner, guint64 revision)
{
  KrLive *c = g_hash_table_lookup (p->jobs, id);
  if (p->phase != OPEN || p->token < owner)
    return KR_CANCEL_NOT_OWNER;
  if (!c)
    return KR_CANCEL_UNKNOWN;
  if (!c->job->cancelled) {
    /* Only owners write the rest of the value, under the revision they know: ours is still that. */
    c->job->revision = MAX (c->job->revision, revision);
    job_cancelled (p, c);
  }
  return may_start (c) ? KR_CANCEL_SOON : KR_CANCEL_SURE;
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
kr_cancel_answer (KrNode *n, json_t *question)
{
  const char *id = json_string_value (json_object_get (question, "Job"));
  json_t *part = json_object_get (question, "Part"), *owner = json_object_get (question, "Owner"),
         *revision = json_object_get (question, "Revision");
  if (!id || !json_is_integer (part) || !json_is_integer (owner) || !json_is_integer (revision))
    return 400;
  guint64 p = (guint64) json_integer_value (part);
  if (p >= n->settings->size || !n->parts[p])
    return word_status[KR_CANCEL_NOT_OWNER];
  return word_status[kr_part_cancel (n->parts[p], id, (guint64) json_integer_value (owner),
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
  KrPart *p = data;
  p->preempt_soon = 0;
  kr_part_preempt (p, kr_now ());
  return G_SOURCE_REMOVE;
}

/* What machines report of jobs that have been read. */
static void
count_launches (KrPart *p)
{
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init (&it, p->machines);
  while (kr_part_next (p, &it, &value)) {
    KrMachine *b = value;
    for (guint k = 0; k < b->launches->len; k++) {
      KrLaunch *l = b->launches->pdata[k];
      if (l->of)
        continue;
      KrJob *j = kr_part_job (p, l->job);
      kr_part_count_launch (p, l);
      if (j && l->state == KR_TASK_EXITED && l->why == KR_WHY_DONE &&
          j->spec->form != KR_FORM_SERVICE && !kr_job_is_done (j, l->index)) {
        kr_job_set_done (j, l->index);
        j->dirty = TRUE;
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
  KrJob *j = kr_part_job (p, id);
  if (j && item->revision <= j->revision)
    return;
  json_t *part = json_object_get (item->value, "Part");
  if (json_is_integer (part) && (guint) json_integer_value (part) != p->index)
    return;
  if (j) {
    j->revision = item->revision;
    if (!j->cancelled && json_is_true (json_object_get (item->value, "Cancelled")))
      job_cancelled (p, g_hash_table_lookup (p->jobs, id));
    return;
  }
  j = kr_job_decode (item->value, item->revision);
  if (!j) {
    kr_info ("state: %s is malformed, left alone", item->key);
    return;
  }
  g_hash_table_insert (p->jobs, j->spec->id, kr_live_new (p, j));
  if (p->have_jobs)
    count_launches (p); /* of a job that was read only now */
  kr_info ("job %s: %s, %s, %u tasks of %g CPUs, part %u", id, j->spec->lane, j->spec->team,
           j->spec->tasks, j->spec->cpus, p->index);
  for (guint c = 1; c <= j->chunks_missing; c++) {
    ChunkRead *r = g_new (ChunkRead, 1);
    *r = (ChunkRead){ kr_part_ref (p), g_strdup (id), c };
    read_chunk (r);
  }
  if (p->have_jobs && is_final (j))
    kr_part_flush (p);
  if (p->have_jobs && !p->preempt_soon) /* those who cannot wait for the next tick */
    p->preempt_soon = kr_timer_add (KR_FOLLOW_PAUSE_MS, preempt_now, p);
}

void
kr_part_jobs_scanned (KrPart *p, json_t *items)
{
  json_t *o;
  size_t i;

  if (!p->have_record)
    return;
  json_array_foreach (items, i, o)
  {
    KrItem item;
    if (kr_wire_item_parse (o, &item))
      kr_part_job_event (p, &item);
  }
  if (p->have_jobs)
    return;
  p->have_jobs = TRUE;
  p->phase = FENCING;
  count_launches (p);
  kr_info ("part %u: %u jobs, %u machines read", p->index, g_hash_table_size (p->jobs),
           g_hash_table_size (p->machines));
  kr_part_answer_held (p);
  kr_part_check_open (p);
  kr_part_flush (p);
}

gboolean
kr_part_counts (KrPart *p, const char *id, guint *done, guint *running)
{
  KrJob *j = kr_part_job (p, id);
  if (!j || !p->have_jobs)
    return FALSE;
  *done = j->n_done;
  *running = j->n_active;
  return TRUE;
}
