/* The durable record of a part's machines. */
#include "part-private.h"
#include "clock.h"
#include "constants.h"
#include "log.h"

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
  kr_part_unref (w->part);
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
  w->part = kr_part_ref (p);
  w->to = part;
  kr_state_get (p->node->state, key, KR_STATE_TIMEOUT_MS, p->cancel, record_read, w);
}

KrTxn *
kr_part_owner_txn (KrPart *p)
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
      KrBerth *b = kr_part_berth (p, w->moving);
      if (b && status != 0) { /* unknown outcome: stays out of use until the record shows it */
        b->leaving_to = -1;
        b->moving = FALSE;
      }
    }
  }
  record_write_free (w);
}

/* Brings the record in line with what we know: used, addresses, deletions, settled. */
void
kr_part_write_record (KrPart *p)
{
  GHashTableIter it;
  gpointer id, value;
  gboolean change = FALSE;

  if (p->record_busy || !p->have_record || p->gone)
    return;
  json_t *v = kr_membership_record_copy (p->node->membership, p->index),
         *berths = json_object_get (v, "Berths");
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
  KrTxn *txn = kr_part_owner_txn (p);
  RecordWrite *w = g_new0 (RecordWrite, 1);
  w->part = kr_part_ref (p);
  w->value = v;
  w->to = p->index;
  kr_txn_when (txn, key, kr_membership_record (p->node->membership, p->index)->mark);
  kr_txn_put (txn, key, json_incref (v), 0);
  p->record_busy = TRUE;
  kr_state_commit (p->node->state, txn, KR_FIRST, KR_STATE_TIMEOUT_MS, p->cancel, record_written,
                   w);
}

/* Gives an empty machine to another part: one transaction over both records, under our key. */
void
kr_part_move (KrPart *p, KrBerth *b)
{
  guint to = (guint) b->leaving_to;
  if (p->record_busy || b->launches->len || b->deleting)
    return;
  json_t *from_v = kr_membership_record_copy (p->node->membership, p->index),
         *to_v = kr_membership_record_copy (p->node->membership, to);
  json_t *entry = json_object_get (json_object_get (from_v, "Berths"), b->id);
  if (!entry) {
    json_decref (from_v);
    json_decref (to_v);
    return;
  }
  json_object_set (json_object_get (to_v, "Berths"), b->id, entry);
  json_object_del (json_object_get (from_v, "Berths"), b->id);
  KrTxn *txn = kr_part_owner_txn (p);
  RecordWrite *w = g_new0 (RecordWrite, 1);
  g_autofree char *from_key = kr_membership_record_key (p->index);
  g_autofree char *to_key = kr_membership_record_key (to);
  kr_txn_when (txn, from_key, kr_membership_record (p->node->membership, p->index)->mark);
  kr_txn_when (txn, to_key, kr_membership_record (p->node->membership, to)->mark);
  kr_txn_put (txn, from_key, json_incref (from_v), 0);
  kr_txn_put (txn, to_key, json_incref (to_v), 0);
  w->part = kr_part_ref (p);
  w->value = from_v;
  w->to_value = to_v;
  w->to = to;
  w->moving = g_strdup (b->id);
  p->record_busy = b->moving = TRUE;
  kr_state_commit (p->node->state, txn, KR_NORMAL, KR_STATE_TIMEOUT_MS, p->cancel, record_written,
                   w);
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
    KrBerth *b = kr_part_berth (p, id);
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
      kr_berth_clear (b, kr_part_saw, p);
      g_hash_table_iter_remove (&it);
    }
  }
  p->settled_written = json_is_true (json_object_get (r->value, "Settled"));
  kr_part_write_record (p);
}
