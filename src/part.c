#include "part.h"
#include "clock.h"
#include "constants.h"
#include "log.h"
#include "place.h"
#include "rank.h"
#include "worker.h"
#include <math.h>
#include <string.h>

typedef enum { LOADING, FENCING, OPEN } Phase;

struct KrPart {
  grefcount refs;
  KrNode *node;
  guint index;
  guint64 token;

  Phase phase;
  gboolean gone, have_record, have_jobs;
  GCancellable *cancel;
  GHashTable *jobs;    /* id -> KrJob */
  GHashTable *berths;  /* id -> KrBerth */
  GHashTable *leaving; /* ids to be taken out of the record: deleted */
  guint64 launches;    /* counter below the token */
  gint64 taken_at, last_beat, last_fence;
  gboolean quiet_before; /* no other owner since every machine was fenced: leases may settle */
  gboolean settled_written, record_busy, record_again, flushing;
  gint64 next_flush;
  json_t *claim; /* the record as we take it over */
  guint tick, preempt_soon;
};

static void write_record (KrPart *p);
static void flush (KrPart *p);
static void delete_berth (KrPart *p, KrBerth *b, const char *why);
static void check_open (KrPart *p);
static void preempt (KrPart *p, gint64 now);

static KrPart *
ref (KrPart *p)
{
  g_ref_count_inc (&p->refs);
  return p;
}

static void
unref (KrPart *p)
{
  if (!g_ref_count_dec (&p->refs))
    return;
  g_hash_table_unref (p->jobs);
  g_hash_table_unref (p->berths);
  g_hash_table_unref (p->leaving);
  g_object_unref (p->cancel);
  json_decref (p->claim);
  g_free (p);
}

guint64
kr_part_token (KrPart *p)
{
  return p->token;
}

static KrBerth *
berth (KrPart *p, const char *id)
{
  return g_hash_table_lookup (p->berths, id);
}

static KrJob *
job (KrPart *p, const char *id)
{
  return g_hash_table_lookup (p->jobs, id);
}

/* --- what reports show --------------------------------------------------------------- */
static void
count_launch (KrPart *p, KrBerth *b, KrLaunch *l)
{
  KrJob *j = job (p, l->job);
  if (!j || l->counted || l->state == KR_TASK_EXITED)
    return;
  /* Guards against a second copy: a completed, cancelled or elsewhere active task must not run. */
  if (j->cancelled || kr_job_is_done (j, l->index) ||
      (l->index < j->spec->tasks && j->active[l->index]))
    l->kill = KR_KILL_NOW;
  kr_job_add_active (j, l->index);
  l->counted = TRUE;
}

static void
uncount_launch (KrPart *p, KrLaunch *l)
{
  KrJob *j = job (p, l->job);
  if (l->counted && j)
    kr_job_drop_active (j, l->index);
  l->counted = FALSE;
}

static void
task_failed (KrPart *p, KrBerth *b, KrJob *j, gint64 now)
{
  guint only_here = 0;
  GHashTableIter it;
  gpointer id;

  b->pause_until = now + kr_seconds (KR_JOB_HOLD_S / 2);
  g_hash_table_add (j->failed_on, g_strdup (b->id));
  g_hash_table_add (b->bad_jobs, g_strdup (j->spec->id));
  /* A job that fails on several machines is at fault itself: growing pauses keep it from taking
   * every free slot for ever once it is past its goal. */
  if (g_hash_table_size (j->failed_on) >= KR_JOB_FAIL_BERTHS) {
    j->hold_until = now + kr_seconds (j->hold_s);
    kr_info ("job %s: fails on %u machines, held for %.0f s", j->spec->id,
             g_hash_table_size (j->failed_on), j->hold_s);
    j->hold_s = MIN (j->hold_s * 2, KR_JOB_HOLD_MAX_S);
  } else
    j->hold_until = 0;
  g_hash_table_iter_init (&it, b->bad_jobs);
  while (g_hash_table_iter_next (&it, &id, NULL)) {
    KrJob *o = job (p, id);
    if (o && g_hash_table_size (o->failed_on) == 1)
      only_here += 1 + (o->count > 0);
  }
  if (only_here >= KR_SICK_JOBS && !b->drain) {
    kr_info ("machine %s: tasks fail only here, draining it", b->id);
    b->drain = TRUE;
  }
}

static void
saw (KrBerth *b, KrLaunch *l, KrSaw what, gpointer data)
{
  KrPart *p = data;
  KrJob *j = job (p, l->job);
  gint64 now = kr_now ();

  switch (what) {
  case KR_SAW_NEW:
    if (p->have_jobs)
      count_launch (p, b, l);
    break;
  case KR_SAW_RUNNING:
    kr_debug ("task %s/%u: runs on %s", l->job, l->index, b->id);
    if (j && j->spec->image)
      g_hash_table_add (b->images, g_strdup (j->spec->image));
    if (j)
      j->dirty = TRUE;
    break;
  case KR_SAW_EXITED:
    kr_debug ("task %s/%u: exited on %s (%d)", l->job, l->index, b->id, l->why);
    uncount_launch (p, l);
    if (!j)
      break;
    if (l->why == KR_WHY_DONE) {
      if (!kr_job_is_done (j, l->index)) {
        if (j->spec->form != KR_FORM_SERVICE) /* a service's task starts again */
          kr_job_set_done (j, l->index);
        j->dirty = TRUE;
        if (l->since && !l->adopted) {
          j->sum += (double) (now - l->since) / G_USEC_PER_SEC;
          j->count++;
        }
      }
      g_hash_table_remove_all (j->failed_on);
      g_hash_table_remove (b->bad_jobs, j->spec->id);
      j->hold_until = 0;
      j->hold_s = KR_JOB_HOLD_S;
      if (kr_job_complete (j))
        flush (p);
    } else if (l->why == KR_WHY_ERROR) {
      kr_info ("task %s/%u: error on %s", l->job, l->index, b->id);
      task_failed (p, b, j, now);
    } else if (l->why == KR_WHY_REFUSED || l->why == KR_WHY_UNKNOWN)
      kr_info ("task %s/%u: start refused by %s", l->job, l->index, b->id);
    if (j->cancelled)
      flush (p);
    break;
  case KR_SAW_GONE:
    if (l->state != KR_TASK_EXITED)
      kr_debug ("task %s/%u: gone from %s", l->job, l->index, b->id);
    uncount_launch (p, l);
    if (j && j->cancelled)
      flush (p);
    break;
  }
}

/* --- the durable record of machines -------------------------------------------------- */
typedef struct {
  KrPart *part;
  json_t *value;
  guint to; /* move: the receiving part; otherwise our own */
  json_t *to_value;
  char *moving;
} RecordWrite;

static void
record_write_free (RecordWrite *w)
{
  json_decref (w->value);
  json_decref (w->to_value);
  g_free (w->moving);
  unref (w->part);
  g_free (w);
}

static void
record_read (guint status, json_t *body, gpointer data)
{
  RecordWrite *w = data;
  KrItem item;
  if (status == 200 && kr_wire_item_parse (body, &item))
    kr_membership_note_record (w->part->node->membership, w->to, item.value, item.mark);
  record_write_free (w);
}

static void
reread_record (KrPart *p, guint part)
{
  RecordWrite *w = g_new0 (RecordWrite, 1);
  g_autofree char *key = kr_membership_record_key (part);
  w->part = ref (p);
  w->to = part;
  kr_state_get (p->node->state, key, KR_STATE_TIMEOUT_MS, p->cancel, record_read, w);
}

static json_t *
record_copy (KrPart *p, guint part)
{
  KrRecord *r = kr_membership_record (p->node->membership, part);
  return r->value ? json_deep_copy (r->value) : json_pack ("{s{}}", "Berths");
}

static KrTxn *
owner_txn (KrPart *p)
{
  g_autofree char *key = kr_membership_owner_key (p->index);
  KrTxn *txn = kr_txn_new ();
  kr_txn_when (txn, key, p->token);
  return txn;
}

static void
record_written (guint status, json_t *body, gpointer data)
{
  RecordWrite *w = data;
  KrPart *p = w->part;

  p->record_busy = FALSE;
  if (!p->gone) {
    if (status == 200) {
      guint64 mark = kr_wire_revision (body);
      if (w->moving) {
        kr_info ("part %u: machine %s given to part %u", p->index, w->moving, w->to);
        g_hash_table_remove (p->berths, w->moving);
        kr_membership_note_record (p->node->membership, w->to, w->to_value, mark);
      }
      kr_membership_note_record (p->node->membership, p->index, w->value, mark);
    } else if (status == 409) {
      reread_record (p, p->index);
      if (w->moving)
        reread_record (p, w->to);
    }
    if (w->moving && status != 200) {
      KrBerth *b = berth (p, w->moving);
      if (b && status != 0) { /* unknown outcome: stays out of use until the record shows it */
        b->leaving_to = -1;
        b->moving = FALSE;
      }
    }
  }
  record_write_free (w);
}

/* Brings the record in line with what we know: used, addresses, deletions, settled. */
static void
write_record (KrPart *p)
{
  GHashTableIter it;
  gpointer id, value;
  gboolean change = FALSE;

  if (p->record_busy || !p->have_record || p->gone)
    return;
  json_t *v = record_copy (p, p->index), *berths = json_object_get (v, "Berths");
  g_hash_table_iter_init (&it, p->leaving);
  while (g_hash_table_iter_next (&it, &id, NULL)) {
    if (json_object_del (berths, id) == 0)
      change = TRUE;
    else
      g_hash_table_iter_remove (&it);
  }
  g_hash_table_iter_init (&it, p->berths);
  while (g_hash_table_iter_next (&it, &id, &value)) {
    KrBerth *b = value;
    json_t *o = json_object_get (berths, id);
    if (!o || b->used || !b->used_wanted)
      continue;
    json_object_set_new (o, "U", json_integer (1));
    json_object_set_new (o, "E", json_string (b->endpoint));
    change = TRUE;
  }
  if (p->phase == OPEN && !p->settled_written) {
    json_object_set_new (v, "Settled", json_true ());
    change = TRUE;
  }
  if (!change) {
    json_decref (v);
    return;
  }
  g_autofree char *key = kr_membership_record_key (p->index);
  KrTxn *txn = owner_txn (p);
  RecordWrite *w = g_new0 (RecordWrite, 1);
  w->part = ref (p);
  w->value = v;
  w->to = p->index;
  kr_txn_when (txn, key, kr_membership_record (p->node->membership, p->index)->mark);
  kr_txn_put (txn, key, json_incref (v), 0);
  p->record_busy = TRUE;
  kr_state_commit (p->node->state, txn, TRUE, KR_STATE_TIMEOUT_MS, p->cancel, record_written, w);
}

/* Gives an empty machine to another part: one transaction over both records, under our key. */
static void
move_berth (KrPart *p, KrBerth *b)
{
  guint to = (guint) b->leaving_to;
  if (p->record_busy || b->launches->len || b->deleting)
    return;
  json_t *from_v = record_copy (p, p->index), *to_v = record_copy (p, to);
  json_t *entry = json_object_get (json_object_get (from_v, "Berths"), b->id);
  if (!entry) {
    json_decref (from_v);
    json_decref (to_v);
    return;
  }
  json_object_set (json_object_get (to_v, "Berths"), b->id, entry);
  json_object_del (json_object_get (from_v, "Berths"), b->id);
  KrTxn *txn = owner_txn (p);
  RecordWrite *w = g_new0 (RecordWrite, 1);
  g_autofree char *from_key = kr_membership_record_key (p->index);
  g_autofree char *to_key = kr_membership_record_key (to);
  kr_txn_when (txn, from_key, kr_membership_record (p->node->membership, p->index)->mark);
  kr_txn_when (txn, to_key, kr_membership_record (p->node->membership, to)->mark);
  kr_txn_put (txn, from_key, json_incref (from_v), 0);
  kr_txn_put (txn, to_key, json_incref (to_v), 0);
  w->part = ref (p);
  w->value = from_v;
  w->to_value = to_v;
  w->to = to;
  w->moving = g_strdup (b->id);
  p->record_busy = b->moving = TRUE;
  kr_state_commit (p->node->state, txn, FALSE, KR_STATE_TIMEOUT_MS, p->cancel, record_written, w);
}

void
kr_part_record_changed (KrPart *p)
{
  KrRecord *r = kr_membership_record (p->node->membership, p->index);
  json_t *berths = json_object_get (r->value, "Berths"), *o;
  const char *id;
  GHashTableIter it;
  gpointer value;
  gint64 now = kr_now ();

  if (!p->have_record)
    return;
  json_object_foreach (berths, id, o)
  {
    KrBerth *b = berth (p, id);
    if (g_hash_table_contains (p->leaving, id))
      continue;
    if (!b) {
      b = kr_berth_new (id);
      b->joined = b->idle_since = now;
      g_hash_table_insert (p->berths, b->id, b);
      kr_info ("part %u: machine %s joined", p->index, id);
    }
    b->used = json_integer_value (json_object_get (o, "U")) != 0;
    if (!b->endpoint && json_is_string (json_object_get (o, "E")))
      b->endpoint = g_strdup (json_string_value (json_object_get (o, "E")));
  }
  g_hash_table_iter_init (&it, p->berths);
  while (g_hash_table_iter_next (&it, NULL, &value)) {
    KrBerth *b = value;
    if (!json_object_get (berths, b->id)) {
      kr_berth_clear (b, saw, p);
      g_hash_table_iter_remove (&it);
    }
  }
  p->settled_written = json_is_true (json_object_get (r->value, "Settled"));
  write_record (p);
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
  unref (r->part);
  g_free (r->id);
  g_free (r);
}

static void
reread_job (KrPart *p, const char *id)
{
  g_autofree char *key = kr_job_key (id);
  JobRead *r = g_new (JobRead, 1);
  *r = (JobRead){ ref (p), g_strdup (id) };
  kr_state_get (p->node->state, key, KR_STATE_TIMEOUT_MS, p->cancel, job_read, r);
}

static gboolean
flush_again (gpointer data)
{
  KrPart *p = data;
  if (!p->gone)
    flush (p);
  unref (p);
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
    KrJob *j = job (p, w->id);
    g_autofree char *key = kr_job_key (w->id);
    if (!j)
      continue;
    j->writing = FALSE;
    if (status == 200) {
      j->mark = MAX (j->mark, kr_wire_revision (body));
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
    kr_timer_add (status == 200 ? 10 : KR_RETRY_MS, flush_again, ref (p));
    if (status && status != 200)
      kr_debug ("part %u: write of progress refused (%u)", p->index, status);
  }
  g_ptr_array_unref (batch->items);
  unref (p);
  g_free (batch);
}

static gboolean
is_final (KrJob *j)
{
  return j->chunks_missing == 0 && (j->cancelled ? j->n_active == 0 : kr_job_complete (j));
}

/* One batch: final states first, whatever the period; progress when it is due. */
static void
flush (KrPart *p)
{
  gint64 now = kr_now ();
  gboolean due = now >= p->next_flush, left = FALSE, finals = FALSE;
  GHashTableIter it;
  gpointer value;

  if (p->flushing || p->gone || !p->have_jobs || p->phase == LOADING)
    return;
  /* A cancelled job is over only when every machine that may hold its tasks is known. */
  gboolean may_cancel = p->phase == OPEN;
  KrTxn *txn = owner_txn (p);
  Batch *batch = g_new (Batch, 1);
  gsize bytes = 0;
  guint most = p->node->settings->state_txn_ops;
  *batch = (Batch){ ref (p), g_ptr_array_new_with_free_func (written_free) };

  for (guint pass = 0; pass < 2; pass++) {
    if (pass == 1 && (finals || !due))
      break;
    g_hash_table_iter_init (&it, p->jobs);
    while (g_hash_table_iter_next (&it, NULL, &value)) {
      KrJob *j = value;
      gboolean final = is_final (j) && (!j->cancelled || may_cancel);
      guint chunks = kr_job_chunks (j), ops = final ? 1 + chunks : chunks;
      if (j->writing || j->chunks_missing || (pass == 0 ? !final : !j->dirty || j->cancelled))
        continue;
      gsize size = kr_job_bytes (j) * 4 / 3 + KR_VALUE_RESERVE;
      if (batch->items->len && (kr_txn_ops (txn) + ops > most || bytes + size > KR_COMMIT_BYTES)) {
        left = TRUE;
        break;
      }
      g_autofree char *key = kr_job_key (j->spec->id);
      kr_txn_when (txn, key, j->mark);
      if (final) {
        g_autofree char *end = kr_job_end_key (j->spec->id);
        kr_txn_remove (txn, key);
        kr_txn_put (txn, end,
                    kr_job_end_value (j->cancelled ? KR_JOB_CANCELLED : KR_JOB_DONE, j->n_done), 0);
        finals = TRUE;
      } else
        kr_txn_put (txn, key, kr_job_encode (j, j->done, j->n_active), 0);
      for (guint c = 1; c < chunks; c++) {
        g_autofree char *chunk = kr_job_chunk_key (j->spec->id, c);
        if (final)
          kr_txn_remove (txn, chunk);
        else
          kr_txn_put (txn, chunk, kr_job_chunk_encode (j, j->done, c), 0);
      }
      bytes += size;
      Written *w = g_new (Written, 1);
      *w = (Written){ g_strdup (j->spec->id), g_memdup2 (j->done, kr_job_bytes (j)), final };
      g_ptr_array_add (batch->items, w);
      j->writing = TRUE;
      j->dirty = FALSE;
    }
  }
  if (due && !left && !finals)
    p->next_flush = now + KR_FLUSH_MS * 1000;
  if (batch->items->len == 0) {
    g_ptr_array_unref (batch->items);
    g_free (batch);
    kr_txn_free (txn);
    unref (p);
    return;
  }
  p->flushing = TRUE;
  kr_state_commit (p->node->state, txn, finals, KR_STATE_TIMEOUT_MS, p->cancel, flushed, batch);
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
  KrJob *j = p->gone ? NULL : job (p, r->id);
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
  unref (p);
  g_free (r->id);
  g_free (r);
}

static gboolean
read_chunk (gpointer data)
{
  ChunkRead *r = data;
  g_autofree char *key = kr_job_chunk_key (r->id, r->chunk);
  kr_state_get (r->part->node->state, key, KR_STATE_TIMEOUT_MS, r->part->cancel, chunk_read, r);
  return G_SOURCE_REMOVE;
}

static void
cancel_launches (KrPart *p, KrJob *j)
{
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init (&it, p->berths);
  while (g_hash_table_iter_next (&it, NULL, &value)) {
    KrBerth *b = value;
    for (guint i = 0; i < b->launches->len; i++) {
      KrLaunch *l = b->launches->pdata[i];
      if (g_str_equal (l->job, j->spec->id))
        l->kill = KR_KILL_NOW;
    }
  }
}

static void command_kills (KrPart *p, KrBerth *b);

static void
job_cancelled (KrPart *p, KrJob *j)
{
  GHashTableIter it;
  gpointer value;
  j->cancelled = TRUE;
  kr_info ("job %s: cancelled by its user, %u tasks to stop", j->spec->id, j->n_active);
  cancel_launches (p, j);
  g_hash_table_iter_init (&it, p->berths);
  while (g_hash_table_iter_next (&it, NULL, &value))
    command_kills (p, value);
  flush (p);
}

static gboolean
preempt_now (gpointer data)
{
  KrPart *p = data;
  p->preempt_soon = 0;
  if (p->node->types)
    preempt (p, kr_now ());
  return G_SOURCE_REMOVE;
}

void
kr_part_job_event (KrPart *p, const KrItem *item)
{
  if (!item->value || !p->have_record)
    return;
  const char *id = item->key + strlen ("job/");
  KrJob *j = job (p, id);
  if (j && item->mark <= j->mark)
    return;
  if ((guint) json_integer_value (json_object_get (item->value, "Part")) != p->index)
    return;
  if (j) {
    j->mark = item->mark;
    if (!j->cancelled && json_is_true (json_object_get (item->value, "Cancelled")))
      job_cancelled (p, j);
    return;
  }
  j = kr_job_decode (item->value, item->mark);
  if (!j)
    return;
  g_hash_table_insert (p->jobs, j->spec->id, j);
  kr_info ("job %s: %s, %s, %u tasks of %g CPUs, part %u", id, j->spec->lane, j->spec->team,
           j->spec->tasks, j->spec->cpus, p->index);
  for (guint c = 1; c <= j->chunks_missing; c++) {
    ChunkRead *r = g_new (ChunkRead, 1);
    *r = (ChunkRead){ ref (p), g_strdup (id), c };
    read_chunk (r);
  }
  if (p->have_jobs && is_final (j))
    flush (p);
  if (p->have_jobs && !p->preempt_soon) /* those who cannot wait for the next tick */
    p->preempt_soon = kr_timer_add (KR_FOLLOW_PAUSE_MS, preempt_now, p);
}

void
kr_part_jobs_scanned (KrPart *p, json_t *items)
{
  json_t *o;
  size_t i;
  GHashTableIter it;
  gpointer value;

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
  g_hash_table_iter_init (&it, p->berths);
  while (g_hash_table_iter_next (&it, NULL, &value)) {
    KrBerth *b = value;
    for (guint k = 0; k < b->launches->len; k++) {
      KrLaunch *l = b->launches->pdata[k];
      KrJob *j = job (p, l->job);
      count_launch (p, b, l);
      if (j && l->state == KR_TASK_EXITED && l->why == KR_WHY_DONE &&
          j->spec->form != KR_FORM_SERVICE && !kr_job_is_done (j, l->index)) {
        kr_job_set_done (j, l->index);
        j->dirty = TRUE;
      }
    }
  }
  kr_info ("part %u: %u jobs, %u machines read", p->index, g_hash_table_size (p->jobs),
           g_hash_table_size (p->berths));
  check_open (p);
  flush (p);
}

gboolean
kr_part_counts (KrPart *p, const char *id, guint *done, guint *running)
{
  KrJob *j = job (p, id);
  if (!j || !p->have_jobs)
    return FALSE;
  *done = j->n_done;
  *running = j->n_active;
  return TRUE;
}

/* --- orders -------------------------------------------------------------------------- */
static double
slack (KrPart *p, const KrLaunch *l)
{
  KrJob *j = job (p, l->job);
  return l->kill == KR_KILL_SLACK && j && j->spec->checkpoint_s > 0
             ? j->spec->save_s + KR_DEFAULT_SLACK_S
             : 0;
}

static void
add_kills_and_clears (KrPart *p, KrBerth *b, json_t *orders)
{
  for (guint i = 0; i < b->launches->len; i++) {
    KrLaunch *l = b->launches->pdata[i];
    KrJob *j = job (p, l->job);
    if (l->state == KR_TASK_EXITED) {
      /* Cleared only once the outcome is durable: until then the worker is the only witness. */
      if (l->why != KR_WHY_DONE || (j && j->spec->form == KR_FORM_SERVICE) ||
          (p->have_jobs && !j) || (j && kr_job_is_durable (j, l->index)) || (j && j->cancelled))
        kr_wire_order_clear (orders, l->job, l->index, l->attempt);
    } else {
      if (p->have_jobs && !j)
        l->kill = KR_KILL_NOW; /* its job is over */
      if (l->kill && !(l->kill == KR_KILL_SLACK && l->state == KR_TASK_SAVING))
        kr_wire_order_kill (orders, l->job, l->index, l->attempt, slack (p, l));
    }
  }
}

/* A direct command's or a fence's answer. */
typedef struct {
  KrPart *part;
  char *id;
  guint64 session;
} Contact;

static Contact *
contact_new (KrPart *p, KrBerth *b)
{
  Contact *c = g_new (Contact, 1);
  *c = (Contact){ ref (p), g_strdup (b->id), b->session };
  return c;
}

static void
contact_free (Contact *c)
{
  unref (c->part);
  g_free (c->id);
  g_free (c);
}

static void
take_report (KrPart *p, KrBerth *b, const KrReport *r)
{
  kr_berth_apply (b, r, FALSE, p->token, kr_now (), saw, p);
  if (r->token > p->token)
    kr_membership_renew_token (p->node->membership, p->index);
  check_open (p);
}

static void
commanded (guint status, KrReport *report, gpointer data)
{
  Contact *c = data;
  KrBerth *b = c->part->gone ? NULL : berth (c->part, c->id);
  if (b) {
    b->fencing = FALSE;
    if (report && (status == 200 || status == 409))
      take_report (c->part, b, report);
  }
  contact_free (c);
}

static void
command_kills (KrPart *p, KrBerth *b)
{
  if (!b->endpoint || !b->session)
    return;
  json_t *orders = kr_wire_commands_new (p->token, b->session);
  for (guint i = 0; i < b->launches->len; i++) {
    KrLaunch *l = b->launches->pdata[i];
    /* In doubt: a direct kill may overtake the run; it is repeated in the responses. */
    if (l->kill && l->state != KR_TASK_EXITED &&
        !(l->kill == KR_KILL_SLACK && l->state == KR_TASK_SAVING))
      kr_wire_order_kill (orders, l->job, l->index, l->attempt, slack (p, l));
  }
  if (kr_wire_orders_count (orders) == 0) {
    json_decref (orders);
    return;
  }
  kr_worker_command (p->node->workers, b->endpoint, orders, p->cancel, commanded,
                     contact_new (p, b));
}

/* --- fencing ------------------------------------------------------------------------- */
static void
shown (guint status, KrReport *report, gpointer data)
{
  Contact *c = data;
  KrPart *p = c->part;
  KrBerth *b = p->gone ? NULL : berth (p, c->id);

  if (!b || status != 200 || !report || !g_str_equal (report->machine, c->id)) {
    if (b)
      b->fencing = FALSE;
    contact_free (c);
    return;
  }
  kr_worker_command (p->node->workers, b->endpoint,
                     kr_wire_commands_new (p->token, report->session), p->cancel, commanded, c);
}

static gboolean
needs_fence (const KrBerth *b)
{
  return b->must_fence && !b->fenced;
}

static void
fence (KrPart *p, gint64 now)
{
  GHashTableIter it;
  gpointer value;
  double age = (double) (now - p->taken_at) / G_USEC_PER_SEC;

  g_hash_table_iter_init (&it, p->berths);
  while (g_hash_table_iter_next (&it, NULL, &value)) {
    KrBerth *b = value;
    if (!needs_fence (b) || b->deleting)
      continue;
    /* Restarted ourselves, no other owner since all were fenced: nobody has answered it since the
     * takeover, so its lease is over. */
    if (p->quiet_before && !b->answered &&
        age > p->node->settings->lease_s * (1 + KR_CLOCK_DRIFT) + KR_LEASE_MARGIN_S) {
      kr_info ("machine %s: not reached, its lease is over", b->id);
      kr_berth_clear (b, saw, p);
      b->must_fence = FALSE;
      continue;
    }
    if (age > KR_FENCE_GRACE_S && !p->quiet_before) {
      delete_berth (p, b, "not reached by the new owner");
      continue;
    }
    if (b->endpoint && !b->fencing) {
      b->fencing = TRUE;
      kr_worker_show (p->node->workers, b->endpoint, p->cancel, shown, contact_new (p, b));
    }
  }
}

static void
check_open (KrPart *p)
{
  GHashTableIter it;
  gpointer value;
  if (p->phase != FENCING)
    return;
  g_hash_table_iter_init (&it, p->berths);
  while (g_hash_table_iter_next (&it, NULL, &value))
    if (needs_fence (value))
      return;
  p->phase = OPEN;
  kr_info ("part %u: open, %.1f s after the takeover", p->index,
           (double) (kr_now () - p->taken_at) / G_USEC_PER_SEC);
  write_record (p);
  flush (p);
}

/* --- deletion ------------------------------------------------------------------------ */
static void
deleted (guint status, json_t *body, gpointer data)
{
  Contact *c = data;
  KrPart *p = c->part;
  KrBerth *b = p->gone ? NULL : berth (p, c->id);

  if (b && status == 200) {
    kr_berth_clear (b, saw, p);
    g_hash_table_add (p->leaving, g_strdup (b->id));
    g_hash_table_remove (p->berths, b->id);
    write_record (p);
    check_open (p);
  } else if (b)
    b->deleting = FALSE; /* the next tick asks again */
  contact_free (c);
}

static void
delete_berth (KrPart *p, KrBerth *b, const char *why)
{
  char *ids[] = { b->id, NULL };
  if (b->deleting)
    return;
  b->deleting = b->drain = TRUE;
  kr_info ("machine %s: deleting it, %s", b->id, why);
  kr_cloud_delete (p->node->cloud, ids, p->cancel, deleted, contact_new (p, b));
}

void
kr_part_return (KrPart *p, const char *id)
{
  KrBerth *b = berth (p, id);
  if (b && p->phase == OPEN && b->launches->len == 0 && b->leaving_to < 0)
    delete_berth (p, b, "no longer needed");
}

void
kr_part_give (KrPart *p, const char *id, guint to)
{
  KrBerth *b = berth (p, id);
  if (b && p->phase == OPEN && !b->drain && b->leaving_to < 0 && to != p->index &&
      to < p->node->settings->size) {
    b->leaving_to = (gint) to;
    move_berth (p, b);
  }
}

void
kr_part_machines_listed (KrPart *p, GHashTable *by_id)
{
  GHashTableIter it;
  gpointer value;
  gint64 now = kr_now ();
  double lag = p->node->settings->cloud_list_lag_s;

  g_hash_table_iter_init (&it, p->berths);
  while (g_hash_table_iter_next (&it, NULL, &value)) {
    KrBerth *b = value;
    const KrMachine *m = g_hash_table_lookup (by_id, b->id);
    if (m) {
      b->listed = TRUE;
      b->missing_since = 0;
      if (!b->known && !b->type) {
        b->type = g_strdup (m->type);
        b->zone = g_strdup (m->zone);
        b->spot = m->spot;
      }
      if (!b->endpoint && m->endpoint && *m->endpoint)
        b->endpoint = g_strdup (m->endpoint);
      const KrType *t = kr_node_type (p->node, m->type);
      double boot = MAX (KR_BOOT_MIN_S, t ? t->boot_s * KR_BOOT_FACTOR : KR_BOOT_MIN_S);
      if (m->state == KR_MACHINE_FAILED)
        delete_berth (p, b, "it has failed");
      else if (m->state == KR_MACHINE_STARTING && !b->heard && m->held_s > boot)
        delete_berth (p, b, "it never came up");
    } else if (b->listed && !b->missing_since)
      b->missing_since = now;
    else if (!b->listed && !b->heard && now - b->joined > kr_seconds (60 + 4 * lag))
      delete_berth (p, b, "never listed"); /* adopted from a stale list */
    /* A list may be older than the one before: wait for the worst lag, then have the cloud say so
     * (200 to a deletion is proof; missing from a list is not). */
    if (b->missing_since && now - b->missing_since > kr_seconds (2 * lag + 2))
      delete_berth (p, b, "no longer listed");
  }
}

/* --- scheduling ---------------------------------------------------------------------- */
/* A job as the paper's functions see it, for one round. */
typedef struct {
  KrJob *job;
  const KrTeam *team;
  GArray *elapsed;
  KrEstimateInput in;
  KrRankKey key;
  gboolean skip;
} Candidate;

static void
candidate_free (gpointer data)
{
  Candidate *c = data;
  g_array_unref (c->elapsed);
  g_free (c);
}

static void
rerank (Candidate *c)
{
  c->in.elapsed = (const double *) (gpointer) c->elapsed->data;
  c->in.running = c->elapsed->len;
  c->in.unstarted = kr_job_unstarted (c->job);
  c->key = kr_rank_key (&c->in, c->job->spec->id);
}

static double
goal_of (KrPart *p, const KrJob *j)
{
  return j->at + (isnan (j->spec->deadline_s) ? kr_settings_goal (p->node->settings, j->spec->lane)
                                              : j->spec->deadline_s);
}

/* All live jobs with what runs of them; team -> KrRoom in use, everything not surely gone. */
static GPtrArray *
candidates (KrPart *p, gint64 now, GHashTable *teams)
{
  GPtrArray *out = g_ptr_array_new_with_free_func (candidate_free);
  g_autoptr (GHashTable) by_id = g_hash_table_new (g_str_hash, g_str_equal);
  GHashTableIter it;
  gpointer value;
  double real = kr_time_of_day ();

  g_hash_table_iter_init (&it, p->jobs);
  while (g_hash_table_iter_next (&it, NULL, &value)) {
    KrJob *j = value;
    Candidate *c = g_new0 (Candidate, 1);
    c->job = j;
    c->team = kr_settings_team (p->node->settings, j->spec->team);
    c->elapsed = g_array_new (FALSE, FALSE, sizeof (double));
    c->in = (KrEstimateInput){ .sum = j->sum,
                               .count = j->count,
                               .now = real,
                               .goal = goal_of (p, j),
                               .submitted = j->at,
                               .held = j->spec->form == KR_FORM_SERVICE,
                               .guess_s = j->spec->estimate_s };
    g_ptr_array_add (out, c);
    g_hash_table_insert (by_id, j->spec->id, c);
    if (c->team && !g_hash_table_contains (teams, c->team))
      g_hash_table_insert (teams, (gpointer) c->team, g_new0 (KrRoom, 1));
  }
  g_hash_table_iter_init (&it, p->berths);
  while (g_hash_table_iter_next (&it, NULL, &value)) {
    KrBerth *b = value;
    for (guint i = 0; i < b->launches->len; i++) {
      KrLaunch *l = b->launches->pdata[i];
      Candidate *c = g_hash_table_lookup (by_id, l->job);
      if (!c || l->state == KR_TASK_EXITED)
        continue;
      double e = l->since ? (double) (now - l->since) / G_USEC_PER_SEC : 0;
      g_array_append_val (c->elapsed, e);
      if (c->team)
        kr_place_give (g_hash_table_lookup (teams, c->team), c->job->spec);
    }
  }
  for (guint i = 0; i < out->len; i++)
    rerank (out->pdata[i]);
  return out;
}

static gboolean
free_room (KrPart *p, const KrBerth *b, KrRoom *room)
{
  const KrType *t = b->type ? kr_node_type (p->node, b->type) : NULL;
  if (!t)
    return FALSE;
  *room = (KrRoom){ t->cpus, t->gpus, t->mem_gb };
  for (guint i = 0; i < b->launches->len; i++) {
    KrLaunch *l = b->launches->pdata[i];
    if (l->state == KR_TASK_EXITED)
      continue;
    KrJob *j = job (p, l->job);
    if (!j)
      return FALSE; /* unknown load: nothing more until it is gone */
    kr_place_take (room, j->spec);
  }
  return TRUE;
}

static gboolean
spread_ok (KrPart *p, const KrBerth *b, const KrJob *j)
{
  KrSpread w = { 0, 0 };
  GHashTableIter it;
  gpointer value;
  if (!j->spec->one_zone && !j->spec->apart)
    return TRUE;
  g_hash_table_iter_init (&it, p->berths);
  while (g_hash_table_iter_next (&it, NULL, &value)) {
    KrBerth *o = value;
    for (guint i = 0; i < o->launches->len; i++) {
      KrLaunch *l = o->launches->pdata[i];
      if (l->state == KR_TASK_EXITED || !g_str_equal (l->job, j->spec->id))
        continue;
      w.total++;
      w.here += g_strcmp0 (o->zone, b->zone) == 0;
    }
  }
  return kr_place_spread_ok (j->spec, &w);
}

/* Until a machine is empty, if nothing more starts. */
static double
rest_s (KrPart *p, const KrBerth *b, gint64 now)
{
  double rest = 0;
  for (guint i = 0; i < b->launches->len; i++) {
    KrLaunch *l = b->launches->pdata[i];
    KrJob *j = job (p, l->job);
    double mean = !j ? 0 : j->count ? j->sum / j->count : j->spec->estimate_s;
    if (l->state != KR_TASK_EXITED)
      rest = MAX (rest, mean - (l->since ? (double) (now - l->since) / G_USEC_PER_SEC : 0));
  }
  return rest;
}

static gboolean
may_run_here (KrPart *p, const KrBerth *b, const Candidate *c, gint64 now)
{
  KrJob *j = c->job;
  if (j->cancelled || j->chunks_missing || !c->team || now < j->hold_until || kr_job_next (j) < 0)
    return FALSE;
  if (b->reserved_for && now < b->reserved_until && !g_str_equal (b->reserved_for, j->spec->id))
    return FALSE;
  /* A machine that empties itself takes what will end before it would be empty anyway. */
  if (b->leaving_to >= 0 && (!j->count || kr_estimate_mean (&c->in) > rest_s (p, b, now)))
    return FALSE;
  /* It failed here and nowhere else: another machine shall tell which of the two is at fault. */
  if (g_hash_table_size (j->failed_on) < KR_JOB_FAIL_BERTHS &&
      g_hash_table_contains (j->failed_on, b->id) && g_hash_table_size (p->berths) > 1)
    return FALSE;
  return kr_place_allowed (j->spec, b->type, b->zone, b->spot) && spread_ok (p, b, j);
}

static KrLaunch *
launch (KrPart *p, KrBerth *b, Candidate *c, GHashTable *teams, guint task)
{
  KrJob *j = c->job;
  KrLaunch *l =
      kr_berth_launch (b, j->spec->id, task, (p->token << KR_LAUNCH_BITS) + ++p->launches);
  double zero = 0;

  kr_job_add_active (j, task);
  l->counted = TRUE;
  kr_place_give (g_hash_table_lookup (teams, c->team), j->spec);
  g_array_append_val (c->elapsed, zero);
  rerank (c);
  return l;
}

static gboolean
usable (KrPart *p, const KrBerth *b, gint64 now)
{
  return p->phase == OPEN && b->known && b->used && !needs_fence (b) && !b->drain && !b->deleting &&
         !b->moving && !b->notice_at && now >= b->pause_until;
}

/* A gang is granted only whole: places are held on as many machines as it takes, and each machine's
 * next report brings its tasks there. A gang with some tasks lost is stopped and starts again. */
static void
plan_gang (KrPart *p, Candidate *c, GHashTable *teams, gint64 now)
{
  KrJob *j = c->job;
  KrRoom *used = g_hash_table_lookup (teams, c->team), after = *used;
  g_autoptr (GPtrArray) places = g_ptr_array_new ();
  guint want = kr_job_unstarted (j);
  GHashTableIter it;
  gpointer value;

  if (j->n_active) {
    cancel_launches (p, j);
    return;
  }
  for (guint i = 0; i < want; i++) {
    if (!kr_place_team_ok (c->team, &after, j->spec))
      return;
    kr_place_give (&after, j->spec);
  }
  g_hash_table_iter_init (&it, p->berths);
  while (places->len < want && g_hash_table_iter_next (&it, NULL, &value)) {
    KrBerth *b = value;
    KrRoom room;
    if (!usable (p, b, now) || !may_run_here (p, b, c, now) || !free_room (p, b, &room))
      continue;
    KrBerth *first = places->len ? places->pdata[0] : b;
    if (j->spec->one_zone && g_strcmp0 (first->zone, b->zone) != 0)
      continue;
    guint here = 0;
    for (guint i = 0; i < places->len; i++)
      here += g_strcmp0 (((KrBerth *) places->pdata[i])->zone, b->zone) == 0;
    while (places->len < want && kr_place_has_room (&room, j->spec) &&
           (!j->spec->apart || here + 1 <= (j->spec->tasks + 1) / 2)) {
      kr_place_take (&room, j->spec);
      g_ptr_array_add (places, b);
      here++;
    }
  }
  if (places->len < want)
    return;
  kr_info ("job %s: a gang of %u gets its places", j->spec->id, want);
  guint64 attempt = 0; /* one for all: its tasks gather by it (docs/questions.md) */
  for (guint i = 0; i < want; i++) {
    KrLaunch *l = launch (p, places->pdata[i], c, teams, (guint) kr_job_next (j));
    l->planned = TRUE;
    attempt = l->attempt = attempt ? attempt : l->attempt;
  }
}

static void
run_planned (KrBerth *b, json_t *orders)
{
  for (guint i = 0; i < b->launches->len; i++) {
    KrLaunch *l = b->launches->pdata[i];
    if (!l->planned)
      continue;
    l->planned = FALSE;
    l->doubt_seq = b->seq;
    kr_wire_order_run (orders, l->job, l->index, l->attempt);
  }
}

/* The paper's allocation, max variant, triggered by a machine's report: its free room goes out one
 * task at a time, to the first in rank that fits, and all are ranked anew after each grant. */
static void
grant (KrPart *p, KrBerth *b, json_t *orders, gint64 now)
{
  KrRoom room;
  if (!usable (p, b, now) || !free_room (p, b, &room))
    return;
  KrJob *waiting = b->reserved_for ? job (p, b->reserved_for) : NULL;
  if (b->reserved_for && (!waiting || !kr_job_unstarted (waiting)))
    g_clear_pointer (&b->reserved_for, g_free);
  g_autoptr (GHashTable) teams =
      g_hash_table_new_full (g_direct_hash, g_direct_equal, NULL, g_free);
  g_autoptr (GPtrArray) all = candidates (p, now, teams);

  for (;;) {
    Candidate *best = NULL;
    for (guint i = 0; i < all->len; i++) {
      Candidate *c = all->pdata[i];
      if (c->skip || (best && kr_rank_compare (&best->key, &c->key) < 0))
        continue;
      /* Room and limits only shrink within a round: what fails once is out for good. */
      if (!may_run_here (p, b, c, now) || !kr_place_has_room (&room, c->job->spec) ||
          !kr_place_team_ok (c->team, g_hash_table_lookup (teams, c->team), c->job->spec)) {
        c->skip = TRUE;
        continue;
      }
      best = c;
    }
    if (!best)
      return;
    KrJob *j = best->job;
    if (j->spec->form == KR_FORM_GANG) {
      plan_gang (p, best, teams, now);
      best->skip = TRUE;
      if (!free_room (p, b, &room))
        return;
      continue;
    }
    KrLaunch *l = launch (p, b, best, teams, (guint) kr_job_next (j));
    guint task = l->index;
    l->doubt_seq = b->seq;
    kr_place_take (&room, j->spec);
    b->idle_since = now;
    kr_wire_order_run (orders, j->spec->id, task, l->attempt);
    kr_debug ("task %s/%u: to %s", j->spec->id, task, b->id);
  }
}

/* --- preemption ---------------------------------------------------------------------- */
static gboolean
has_image (const KrBerth *b, const KrJob *j)
{
  return !j->spec->image || g_hash_table_contains (b->images, j->spec->image);
}

/* Seconds that fetching a job's image takes, on a machine or (NULL) on the slowest type. */
static double
fetch_s (KrPart *p, const KrBerth *b, const KrJob *j)
{
  const KrType *t = b && b->type ? kr_node_type (p->node, b->type) : NULL;
  double rate = t ? t->pull_gb_s : G_MAXDOUBLE;
  for (guint i = 0; !t && i < p->node->types->len; i++)
    rate = MIN (rate, ((KrType *) p->node->types->pdata[i])->pull_gb_s);
  return rate > 0 ? j->spec->image_gb / rate : 0;
}

/* What stopping a task loses, in seconds of its run. */
static double
loss_of (const KrLaunch *l, const KrJob *v, gint64 now)
{
  double ran = l->since ? (double) (now - l->since) / G_USEC_PER_SEC : 0;
  return v->spec->checkpoint_s > 0 ? MIN (ran, v->spec->save_s) : ran;
}

/* The task on `b` that may be stopped for `c` and loses least; tasks in `out` are spoken for. */
static KrLaunch *
victim (KrPart *p, KrBerth *b, Candidate *c, GHashTable *teams, GPtrArray *out, gint64 now,
        double *loss)
{
  /* A guarantee may stop work of any Rank, but that of higher Rank only when the wait is over:
   * otherwise the two stop each other in turn. */
  gboolean upward =
      c->in.now - c->job->at > kr_settings_wait (p->node->settings, c->job->spec->lane);

  KrLaunch *best = NULL;
  for (guint i = 0; i < b->launches->len; i++) {
    KrLaunch *l = b->launches->pdata[i];
    KrJob *v = job (p, l->job);
    const KrTeam *vt = v ? kr_settings_team (p->node->settings, v->spec->team) : NULL;
    if (!vt || l->state == KR_TASK_EXITED || l->state == KR_TASK_DOUBT ||
        (v->spec->rank > c->job->spec->rank && !upward) || g_ptr_array_find (out, l, NULL) ||
        !kr_place_may_stop (c->job->spec, c->team, g_hash_table_lookup (teams, c->team), v->spec,
                            vt, g_hash_table_lookup (teams, vt)))
      continue;
    double x = l->kill ? 0 : loss_of (l, v, now); /* those stopping already come first */
    if (!best || x < *loss) {
      best = l;
      *loss = x;
    }
  }
  return best;
}

/* Whom to stop on `b` so that one task of `c` fits; NULL if that is not enough. */
static GPtrArray *
victims (KrPart *p, KrBerth *b, Candidate *c, GHashTable *teams, gint64 now, double *total)
{
  g_autoptr (GPtrArray) out = g_ptr_array_new ();
  KrRoom room;
  *total = 0;
  if (!free_room (p, b, &room))
    return NULL;
  while (!kr_place_has_room (&room, c->job->spec)) {
    double loss = 0;
    KrLaunch *l = victim (p, b, c, teams, out, now, &loss);
    if (!l)
      return NULL;
    g_ptr_array_add (out, l);
    *total += loss;
    kr_place_give (&room, job (p, l->job)->spec);
  }
  return g_steal_pointer (&out);
}

/* Holds a machine for a waiting job, and stops there what has run no longer than `most` seconds:
 * the rest may end by itself first. */
static void
hold (KrPart *p, KrBerth *b, Candidate *c, GPtrArray *stop, double most, gint64 now)
{
  gboolean any = FALSE;
  if (g_strcmp0 (b->reserved_for, c->job->spec->id) != 0) {
    g_free (b->reserved_for);
    b->reserved_for = g_strdup (c->job->spec->id);
  }
  b->reserved_until = now + kr_seconds (KR_RESERVE_S);
  for (guint i = 0; i < stop->len; i++) {
    KrLaunch *l = stop->pdata[i];
    if (l->kill || loss_of (l, job (p, l->job), now) > most)
      continue;
    l->kill = KR_KILL_SLACK;
    any = TRUE;
    kr_info ("task %s/%u: stopped on %s for %s", l->job, l->index, b->id, c->job->spec->id);
  }
  if (any)
    command_kills (p, b);
}

static guint
places_on (KrPart *p, const KrBerth *b, const Candidate *c)
{
  const KrType *t = b->type ? kr_node_type (p->node, b->type) : NULL;
  return t ? MAX (1, (guint) (1 / kr_place_share (c->job->spec, t))) : 0;
}

/* Tasks of `c` that the machines held for it have room for, once what may be stopped there has. */
static guint
held_places (KrPart *p, Candidate *c, GHashTable *teams, double most, gint64 now)
{
  GHashTableIter it;
  gpointer value;
  guint n = 0;
  g_hash_table_iter_init (&it, p->berths);
  while (g_hash_table_iter_next (&it, NULL, &value)) {
    KrBerth *b = value;
    double total;
    if (g_strcmp0 (b->reserved_for, c->job->spec->id) != 0 || now >= b->reserved_until ||
        !usable (p, b, now))
      continue;
    g_autoptr (GPtrArray) stop = victims (p, b, c, teams, now, &total);
    if (!stop)
      continue; /* no longer of use: runs out */
    hold (p, b, c, stop, most, now);
    n += places_on (p, b, c);
  }
  return n;
}

/* The free machine where making room for one task of `c` loses least. */
static KrBerth *
best_to_hold (KrPart *p, Candidate *c, GHashTable *teams, gint64 now, GPtrArray **stop)
{
  KrBerth *best = NULL;
  double best_total = G_MAXDOUBLE, total;
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init (&it, p->berths);
  while (g_hash_table_iter_next (&it, NULL, &value)) {
    KrBerth *b = value;
    if ((b->reserved_for && now < b->reserved_until) || b->leaving_to >= 0 || !usable (p, b, now) ||
        !may_run_here (p, b, c, now))
      continue;
    g_autoptr (GPtrArray) out = victims (p, b, c, teams, now, &total);
    if (out && !has_image (b, c->job))
      total += fetch_s (p, b, c->job); /* as good as run time lost */
    if (out && total < best_total) {
      best = b;
      best_total = total;
      g_clear_pointer (stop, g_ptr_array_unref);
      *stop = g_steal_pointer (&out);
    }
  }
  return best;
}

static int
rank_first (gconstpointer a, gconstpointer b)
{
  const Candidate *x = *(Candidate *const *) a, *y = *(Candidate *const *) b;
  if (x->job->spec->rank != y->job->spec->rank)
    return x->job->spec->rank > y->job->spec->rank ? -1 : 1;
  return kr_rank_compare (&x->key, &y->key);
}

/* Permitted preemption: a job that waits holds machines on which lower work may be stopped. What
 * has run for less than the job has waited is stopped at once, the rest when half of the time in
 * which it should have started is over. */
static void
preempt (KrPart *p, gint64 now)
{
  if (p->phase != OPEN || !p->node->types)
    return;
  g_autoptr (GHashTable) teams =
      g_hash_table_new_full (g_direct_hash, g_direct_equal, NULL, g_free);
  g_autoptr (GPtrArray) all = candidates (p, now, teams);
  KrRank lowest = KR_RANK_CRITICAL;
  g_ptr_array_sort (all, rank_first);
  if (all->len)
    lowest = ((Candidate *) all->pdata[all->len - 1])->job->spec->rank;
  for (guint i = 0; i < all->len; i++) {
    Candidate *c = all->pdata[i];
    KrJob *j = c->job;
    double waited = c->in.now - j->at;
    double goal = kr_settings_wait (p->node->settings, j->spec->lane);
    /* Time left for waiting, when a report and a fetch still have to follow. */
    double patience = MIN (goal / 2, goal - p->node->settings->report_s - fetch_s (p, NULL, j) -
                                         KR_DEFAULT_SLACK_S);
    if (!kr_job_unstarted (j) || j->cancelled || !c->team || now < j->hold_until ||
        waited < MIN (patience, KR_PREEMPT_WAIT_S) ||
        (j->spec->rank == lowest && c->team->cpus <= 0))
      continue;
    double most = waited > patience ? G_MAXDOUBLE : waited;
    KrRoom used = *(KrRoom *) g_hash_table_lookup (teams, c->team);
    guint want = 0, held = held_places (p, c, teams, most, now);
    for (; want < kr_job_unstarted (j) && kr_place_team_ok (c->team, &used, j->spec); want++)
      kr_place_give (&used, j->spec);
    while (held < want) {
      g_autoptr (GPtrArray) stop = NULL;
      KrBerth *b = best_to_hold (p, c, teams, now, &stop);
      if (!b)
        break;
      hold (p, b, c, stop, most, now);
      held += places_on (p, b, c);
    }
  }
}

/* Places held for tasks that shall not start any more. */
static void
drop_planned (KrPart *p, KrBerth *b)
{
  for (guint i = b->launches->len; i-- > 0;) {
    KrLaunch *l = b->launches->pdata[i];
    if (!l->planned || (!l->kill && usable (p, b, kr_now ())))
      continue;
    l = g_ptr_array_steal_index (b->launches, i);
    saw (b, l, KR_SAW_GONE, p);
    kr_launch_free (l);
  }
}

/* --- reports
 * -------------------------------------------------------------------------------------- */
void
kr_part_beat (KrPart *p, KrRequest *request, const KrReport *r)
{
  KrBerth *b = berth (p, r->machine);
  gint64 now = kr_now ();

  if (!b || b->deleting) {
    kr_request_reply (request, b || !p->have_record ? 503 : 421, kr_wire_redirect (NULL), 0);
    return;
  }
  if (r->token > p->token) {
    /* Somebody with a newer token commanded it. If the key is still ours, that one is gone or the
     * machine came from another part: we need a newer token, and must not order anything now. */
    kr_membership_renew_token (p->node->membership, p->index);
    const KrHolder *h = kr_membership_holder (p->node->membership, p->index);
    gboolean other = h->node && !kr_membership_owns (p->node->membership, p->index);
    kr_request_reply (request, 421, kr_wire_redirect (other ? h->node : NULL), 0);
    return;
  }
  json_t *orders = kr_wire_orders_new (p->token);
  p->last_beat = now;
  if (kr_berth_apply (b, r, TRUE, p->token, now, saw, p)) {
    check_open (p);
    b->answered = now;
    if (!b->used && !b->used_wanted) {
      b->used_wanted = TRUE; /* durable before the first run */
      write_record (p);
    }
    if (kr_berth_busy (b))
      b->idle_since = now;
    drop_planned (p, b);
    add_kills_and_clears (p, b, orders);
    grant (p, b, orders, now);
    if (usable (p, b, now))
      run_planned (b, orders);
  }
  kr_request_reply (request, 200, orders, 0);
}

/* --- periodic duties
 * ------------------------------------------------------------------------------ */
static void
watch_berth (KrPart *p, KrBerth *b, gint64 now)
{
  const KrSettings *s = p->node->settings;

  if (b->deleting)
    return;
  if (b->answered && !needs_fence (b) && kr_berth_lease_over (b, now, s->lease_s)) {
    if (kr_berth_busy (b))
      kr_info ("machine %s: silent, its lease is over, %u tasks gone", b->id, kr_berth_busy (b));
    kr_berth_clear (b, saw, p);
    if (now - b->heard > kr_seconds (s->lease_s + KR_LOST_DELETE_S) &&
        now - p->last_beat < kr_seconds (2 * s->report_s)) {
      delete_berth (p, b, "silent for long");
      return;
    }
  }
  gboolean cancelled = FALSE, kills = FALSE;
  for (guint i = 0; i < b->launches->len; i++) {
    KrLaunch *l = b->launches->pdata[i];
    KrJob *j = job (p, l->job);
    if (l->state == KR_TASK_EXITED)
      continue;
    kills |= l->kill != KR_KILL_NO;
    cancelled |= j && j->cancelled;
    if (b->notice_at && j && j->spec->checkpoint_s > 0 && !l->kill &&
        b->notice_at - now < kr_seconds (j->spec->save_s + 2 * s->report_s)) {
      l->kill = KR_KILL_SLACK; /* save while there is time */
      kills = TRUE;
    }
  }
  if (kills && now - b->heard > kr_seconds (1))
    command_kills (p, b);
  /* A cancelled task on a machine that cannot be reached: its lease may still be renewed by a
   * response of ours on its way, so the machine goes before the users' limit. */
  if (cancelled && now - b->heard > kr_seconds (s->cancel_s * KR_CANCEL_DELETE_SHARE)) {
    delete_berth (p, b, "holds a cancelled task and cannot be reached");
    return;
  }
  if (b->drain && b->launches->len == 0)
    delete_berth (p, b, "drained");
  else if (b->leaving_to >= 0 && b->launches->len == 0)
    move_berth (p, b);
  if (b->reserved_for && now >= b->reserved_until)
    g_clear_pointer (&b->reserved_for, g_free);
}

static gboolean
tick (gpointer data)
{
  KrPart *p = data;
  const KrSettings *s = p->node->settings;
  gint64 now = kr_now ();
  guint heard = 0;

  if (p->have_record) {
    g_autoptr (GList) all = g_hash_table_get_values (p->berths);
    for (GList *l = all; l; l = l->next) {
      heard += ((KrBerth *) l->data)->answered != 0;
      watch_berth (p, l->data, now);
    }
  }
  if (p->phase == FENCING) {
    fence (p, now);
    check_open (p);
  }
  write_record (p);
  preempt (p, now);
  flush (p);
  /* Cut off from the workers, but not from the state service: somebody else may reach them. */
  if (heard >= 2 && now - p->last_beat > kr_seconds (2 * s->report_s + KR_SILENCE_S) &&
      kr_state_silence (p->node->state) < KR_SILENCE_S) {
    kr_info ("part %u: no machine reports here any more, handing it on", p->index);
    p->last_beat = now;
    kr_membership_release (p->node->membership, p->index, KR_SILENCE_HOLD_MS);
  }
  return G_SOURCE_CONTINUE;
}

/* --- for the leader
 * -------------------------------------------------------------------------------- */
/* Silent for so long that it is probably lost: others are rented in its place. */
static gboolean
silent (KrPart *p, const KrBerth *b, gint64 now)
{
  return b->heard && now - b->heard > kr_seconds (KR_SILENT_REPORTS * p->node->settings->report_s);
}

json_t *
kr_part_summary (KrPart *p)
{
  gint64 now = kr_now ();
  g_autoptr (GHashTable) teams =
      g_hash_table_new_full (g_direct_hash, g_direct_equal, NULL, g_free);
  g_autoptr (GPtrArray) all = candidates (p, now, teams);
  json_t *needs = json_array (), *berths = json_array ();
  GHashTableIter it;
  gpointer value;

  for (guint i = 0; i < all->len; i++) {
    Candidate *c = all->pdata[i];
    const KrSpec *s = c->job->spec;
    if (c->job->cancelled || !c->team)
      continue;
    double want = kr_rank_want (&c->in);
    if (now < c->job->hold_until)
      want = 0;
    /* Not beyond what the team's limit lets run. */
    KrRoom *used = g_hash_table_lookup (teams, c->team);
    if (c->team->cpus_max > 0 && s->cpus > 0)
      want = MIN (want, MAX (0, (c->team->cpus_max - used->cpus) / s->cpus));
    if (c->team->gpus_max > 0 && s->gpus > 0)
      want = MIN (want, MAX (0, (c->team->gpus_max - used->gpus) / s->gpus));
    used->cpus += want * s->cpus;
    used->gpus += want * s->gpus;
    double slots = want + c->in.running;
    if (slots <= 0)
      continue;
    json_t *types = json_null ();
    if (s->types) {
      types = json_array ();
      for (char **t = s->types; *t; t++)
        json_array_append_new (types, json_string (*t));
    }
    json_array_append_new (needs, json_pack ("{so ss* sb sf sf sf sf sb}", "Types", types, "Zone",
                                             s->zone, "Spot", s->spot, "Cpus", s->cpus, "Gpus",
                                             s->gpus, "Mem", s->mem_gb, "Slots", slots, "Urgent",
                                             s->rank >= KR_RANK_URGENT));
  }
  g_hash_table_iter_init (&it, p->berths);
  while (g_hash_table_iter_next (&it, NULL, &value)) {
    KrBerth *b = value;

    double idle = b->launches->len || !b->known || p->phase != OPEN
                      ? -1
                      : (double) (now - b->idle_since) / G_USEC_PER_SEC;
    json_array_append_new (
        berths,
        json_pack ("{ss ss* sb sb sf sf sb sI}", "Id", b->id, "Type", b->type, "Spot", b->spot,
                   "Up", b->known, "Idle", idle, "Rest", rest_s (p, b, now), "Going",
                   b->drain || b->deleting || b->notice_at != 0 || silent (p, b, now), "To",
                   (json_int_t) b->leaving_to));
  }
  return json_pack ("{sI so so}", "Part", (json_int_t) p->index, "Needs", needs, "Berths", berths);
}

/* --- taking over and letting go
 * ---------------------------------------------------------------------- */
static void load (KrPart *p);
static void claimed (guint status, json_t *body, gpointer data);

static gboolean
load_again (gpointer data)
{
  KrPart *p = data;
  if (!p->gone)
    load (p);
  unref (p);
  return G_SOURCE_REMOVE;
}

static void
loaded (guint status, json_t *body, gpointer data)
{
  KrPart *p = data;
  KrRecord *r = kr_membership_record (p->node->membership, p->index);
  KrItem item;

  if (p->gone) {
    unref (p);
    return;
  }
  if (status != 200 && status != 404) {
    kr_timer_add (KR_RETRY_MS, load_again, p);
    return;
  }
  if (status == 200 && kr_wire_item_parse (body, &item))
    kr_membership_note_record (p->node->membership, p->index, item.value, item.mark);
  /* Whoever owns the part writes its name here before it says or answers anything. So if ours
   * stands here, only our own earlier life, which is over, has been in touch with the machines. */
  const char *holder = json_string_value (json_object_get (r->value, "Holder"));
  if (g_strcmp0 (holder, p->node->settings->node_name) == 0 &&
      json_is_true (json_object_get (r->value, "Settled")))
    p->quiet_before = TRUE;
  g_autofree char *key = kr_membership_record_key (p->index);
  KrTxn *txn = owner_txn (p);
  json_t *v = record_copy (p, p->index);
  json_object_set_new (v, "Holder", json_string (p->node->settings->node_name));
  json_object_set_new (v, "Settled", json_false ());
  kr_txn_when (txn, key, r->mark);
  kr_txn_put (txn, key, json_incref (v), 0);
  json_decref (p->claim);
  p->claim = v;
  kr_state_commit (p->node->state, txn, TRUE, KR_STATE_TIMEOUT_MS, p->cancel, claimed, p);
}

static void
claimed (guint status, json_t *body, gpointer data)
{
  KrPart *p = data;
  GHashTableIter it;
  gpointer value;

  if (p->gone) {
    unref (p);
    return;
  }
  if (status != 200) {
    kr_timer_add (KR_RETRY_MS, load_again, p);
    return;
  }
  kr_membership_note_record (p->node->membership, p->index, p->claim, kr_wire_revision (body));
  p->have_record = TRUE;
  kr_part_record_changed (p);
  g_hash_table_iter_init (&it, p->berths);
  while (g_hash_table_iter_next (&it, NULL, &value)) {
    KrBerth *b = value;
    b->must_fence = b->used;
  }

  kr_follow_rescan (p->node->jobs);
  unref (p);
}

static void
load (KrPart *p)
{
  g_autofree char *key = kr_membership_record_key (p->index);
  kr_state_get (p->node->state, key, KR_STATE_TIMEOUT_MS, p->cancel, loaded, ref (p));
}

KrPart *
kr_part_new (KrNode *node, guint index, guint64 token)
{
  KrPart *p = g_new0 (KrPart, 1);
  g_ref_count_init (&p->refs);
  p->node = node;
  p->index = index;
  p->token = token;

  p->cancel = kr_cancellable_child (node->cancel);
  p->jobs = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, (GDestroyNotify) kr_job_free);
  p->berths = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, kr_berth_free);
  p->leaving = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  p->taken_at = p->last_beat = kr_now ();
  p->tick = kr_timer_add (KR_TICK_MS, tick, p);
  kr_info ("part %u: taking over with token %" G_GUINT64_FORMAT, index, token);
  load (p);
  return p;
}

void
kr_part_renewed (KrPart *p, guint64 token)
{
  GHashTableIter it;
  gpointer value;
  p->token = token;
  p->launches = 0;
  g_hash_table_iter_init (&it, p->berths);
  while (g_hash_table_iter_next (&it, NULL, &value)) {
    KrBerth *b = value;
    /* A machine that we fenced stays ours: only this process held the key since. */
    if (b->must_fence && b->fenced)
      b->must_fence = FALSE;
    b->fenced = FALSE;
  }
}

void
kr_part_drop (KrPart *p)
{
  kr_info ("part %u: no longer ours", p->index);
  p->gone = TRUE;
  kr_timer_remove (p->tick);
  kr_timer_clear (&p->preempt_soon);
  g_cancellable_cancel (p->cancel);
  unref (p);
}
