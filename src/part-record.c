/* The durable record of a part's machines. */
#include "clock.h"
#include "constants.h"
#include "log.h"
#include "part-private.h"
#include "rent.h"

/* A write of the record under way. */
typedef struct {
  KrPart *part;
  KrDraft *draft;
  json_t *claim;     /* what it makes of the claim; NULL: untouched */
  GPtrArray *moving; /* ids; NULL: no move */
  guint to;
} RecordWrite;

static void
record_write_free (RecordWrite *w)
{
  kr_draft_free (w->draft);
  json_decref (w->claim);
  g_clear_pointer (&w->moving, g_ptr_array_unref);
  kr_part_unref (w->part);
  g_free (w);
}

KrTxn *
kr_part_owner_txn (KrPart *p)
{
  g_autofree char *key = kr_membership_owner_key (p->index);
  KrTxn *txn = kr_txn_new ();
  kr_txn_when (txn, key, p->token);
  return txn;
}

KrTxn *
kr_part_claim_txn (KrPart *p, gboolean settled)
{
  KrMembership *m = p->node->membership;
  g_autofree char *key = kr_membership_claim_key (p->index);
  KrTxn *txn = kr_part_owner_txn (p);
  kr_txn_when (txn, key, kr_membership_claim (m, p->index)->revision);
  kr_txn_put (txn, key, kr_membership_claim_value (m, settled), 0);
  return txn;
}

static void
moved (RecordWrite *w, guint status)
{
  KrPart *p = w->part;
  if (status == 200)
    kr_info ("part %u: %u machines given to part %u", p->index, w->moving->len, w->to);
  for (guint i = 0; i < w->moving->len; i++) {
    KrMachine *b = kr_part_machine (p, w->moving->pdata[i]);
    if (!b)
      continue;
    /* Unknown outcome: it may be executed later, and until that is ruled out the machine stays out
     * of use. kr_part_write_record writes its chunk anew, which rules it out. */
    b->moving = b->move_unknown = status == 0;
  }
}

static void
record_written (guint status, json_t *body, gpointer data)
{
  RecordWrite *w = data;
  KrPart *p = w->part;

  p->record_busy = FALSE;
  if (!p->gone) {
    if (w->moving)
      moved (w, status);
    if (status == 200) {
      if (w->claim)
        kr_membership_note_claim (p->node->membership, p->index, w->claim, kr_wire_revision (body));
      kr_draft_done (w->draft, kr_wire_revision (body));
    }
  }
  record_write_free (w);
}

static void
commit (KrPart *p, KrTxn *txn, RecordWrite *w)
{
  w->part = kr_part_ref (p);
  kr_draft_write (w->draft, txn);
  p->record_busy = TRUE;
  kr_state_commit (p->node->state, txn, KR_FIRST, KR_STATE_TIMEOUT_MS, p->cancel, record_written,
                   w);
}

/* Brings the record in line with what we know: used, addresses, deletions, settled. */
void
kr_part_write_record (KrPart *p)
{
  GHashTableIter it;
  gpointer id, value;
  guint most = p->node->settings->state_txn_ops - 1; /* one for the claim */

  /* Not more often than each second, and never at the cost of accepts: machines that boot by the
   * dozen would take the whole budget one by one. A takeover does not wait. */
  if (p->record_busy || !p->have_record || p->gone ||
      (p->phase == OPEN && kr_membership_claim (p->node->membership, p->index)->settled &&
       (kr_now () < p->next_record || kr_state_spare_writes (p->node->state) == 0)))
    return;
  KrDraft *draft = kr_draft_new (p->node->records);
  g_hash_table_iter_init (&it, p->leaving);
  while (kr_draft_ops (draft) < most && g_hash_table_iter_next (&it, &id, NULL)) {
    const KrMember *m = kr_records_find (p->node->records, id);
    if (m && m->part == p->index)
      kr_draft_remove (draft, id);
    else
      g_hash_table_iter_remove (&it);
  }
  g_hash_table_iter_init (&it, p->machines);
  while (kr_draft_ops (draft) < most && g_hash_table_iter_next (&it, &id, &value)) {
    KrMachine *b = value;
    if (!b->used && b->used_wanted)
      kr_draft_set (draft, id, b->endpoint);
    else if (b->move_unknown)
      kr_draft_touch (draft, id);
  }
  gboolean settle =
      p->phase == OPEN && !kr_membership_claim (p->node->membership, p->index)->settled;
  if (!settle && kr_draft_ops (draft) == 0) {
    kr_draft_free (draft);
    return;
  }
  RecordWrite *w = g_new0 (RecordWrite, 1);
  w->draft = draft;
  /* The record has half of this node's writes at most, and a machine that boots waits for it. */
  double pause = kr_draft_ops (draft) / (KR_RECORD_SHARE * kr_state_burst_writes (p->node->state));
  p->next_record = kr_now () + kr_seconds (CLAMP (pause, KR_RECORD_MIN_S, KR_TICK_MS / 1000.0));
  if (settle)
    w->claim = kr_membership_claim_value (p->node->membership, TRUE);
  commit (p, settle ? kr_part_claim_txn (p, TRUE) : kr_part_owner_txn (p), w);
}

static void
told (guint status, json_t *body, gpointer data)
{
  kr_part_unref (data);
}

/* Guards against peers that refuse: the leader would rent nothing for a part that it cannot hear,
 * and with new needs none of its jobs would begin until the cut is over. */
void
kr_part_tell_needs (KrPart *p)
{
  gint64 now = kr_now ();
  if (p->phase != OPEN || now < p->next_tell ||
      now - kr_rent_asked (p->node->rent) < kr_seconds (KR_UNASKED_S) ||
      g_hash_table_size (p->jobs) == 0 || kr_state_spare_writes (p->node->state) == 0)
    return;
  p->next_tell = now + KR_TELL_MS * G_GINT64_CONSTANT (1000);
  json_t *s = kr_part_summary (p), *needs = json_object_get (s, "Needs");
  gsize most = (gsize) (p->node->settings->state_value_kb * 1024 - KR_VALUE_SLACK) / KR_NEED_BYTES;
  json_object_del (s, "Berths"); /* the records tell */
  json_object_set_new (s, "At", json_real (kr_time_of_day ()));
  while (json_array_size (needs) > most)
    json_array_remove (needs, json_array_size (needs) - 1);
  g_autofree char *key = kr_membership_needs_key (p->index);
  KrTxn *txn = kr_part_owner_txn (p);
  kr_txn_put (txn, key, s, 0);
  kr_state_commit (p->node->state, txn, KR_NORMAL, KR_STATE_TIMEOUT_MS, p->cancel, told,
                   kr_part_ref (p));
}

static gboolean
may_move (const KrMachine *b)
{
  return b->leaving_to >= 0 && b->launches->len == 0 && !b->deleting && !b->moving && !b->drain;
}

/* Gives empty machines to another part, as many as one transaction takes: it is over both parts'
 * records, under our key. One part each time; the others follow. */
void
kr_part_moves (KrPart *p)
{
  GHashTableIter it;
  gpointer id, value;
  gint to = -1;
  guint most = p->node->settings->state_txn_ops - 1; /* a further machine may touch two chunks */

  /* Others' writes come first: a move is worth little while accepts wait. */
  if (p->record_busy || p->phase != OPEN || p->gone || kr_state_spare_writes (p->node->state) == 0)
    return;
  KrDraft *draft = kr_draft_new (p->node->records);
  RecordWrite *w = g_new0 (RecordWrite, 1);
  w->draft = draft;
  w->moving = g_ptr_array_new_with_free_func (g_free);
  g_hash_table_iter_init (&it, p->machines);
  while (kr_draft_ops (draft) < most && g_hash_table_iter_next (&it, &id, &value)) {
    KrMachine *b = value;
    const KrMember *m = kr_records_find (p->node->records, id);
    if (!may_move (b) || !m || m->part != p->index || (to >= 0 && b->leaving_to != to))
      continue;
    to = b->leaving_to;
    kr_draft_add (draft, (guint) to, id, m->address);
    kr_draft_remove (draft, id);
    b->moving = TRUE;
    g_ptr_array_add (w->moving, g_strdup (id));
  }
  if (to < 0) {
    kr_draft_free (draft);
    g_ptr_array_unref (w->moving);
    g_free (w);
    return;
  }
  w->to = (guint) to;
  commit (p, kr_part_owner_txn (p), w);
}

static void
walk_member (const char *id, const KrMember *m, gpointer data)
{
  KrPart *p = data;
  KrMachine *b = kr_part_machine (p, id);
  if (g_hash_table_contains (p->leaving, id))
    return;
  if (!b) {
    b = kr_machine_new (id);
    b->joined = b->idle_since = kr_now ();
    g_hash_table_insert (p->machines, b->id, b);
    kr_debug ("part %u: machine %s joined", p->index, id);
  }
  b->used = *m->address != 0;
  if (!b->endpoint && b->used)
    b->endpoint = g_strdup (m->address);
  /* The chunk was written since: what named its earlier revision will not be executed any more. */
  if (b->move_unknown && m->revision != b->chunk_revision)
    b->moving = b->move_unknown = FALSE;
  b->chunk_revision = m->revision;
}

void
kr_part_record_changed (KrPart *p)
{
  GHashTableIter it;
  gpointer value;

  if (!p->have_record)
    return;
  kr_records_walk (p->node->records, p->index, walk_member, p);
  g_hash_table_iter_init (&it, p->machines);
  while (kr_part_next (p, &it, &value)) {
    KrMachine *b = value;
    const KrMember *m = kr_records_find (p->node->records, b->id);
    if (!m || m->part != p->index) {
      kr_part_forget (p, b);
      g_hash_table_iter_remove (&it);
    }
  }
  kr_part_answer_held (p);
  kr_part_write_record (p);
}
