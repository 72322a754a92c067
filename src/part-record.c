/* The durable record of a part's machines. */
#include "clock.h"
#include "constants.h"
#include "invariant.h"
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
kr_part_owner_txn (KrPart *part)
{
  g_autofree char *key = kr_membership_owner_key (part->index);
  KrTxn *txn = kr_txn_new ();
  kr_txn_when (txn, key, part->token);
  return txn;
}

KrTxn *
kr_part_claim_txn (KrPart *part, json_t *value)
{
  g_autofree char *key = kr_membership_claim_key (part->index);
  KrTxn *txn = kr_part_owner_txn (part);
  kr_txn_when (txn, key, kr_membership_claim (part->node->membership, part->index)->revision);
  kr_txn_put (txn, key, json_incref (value), 0);
  return txn;
}

static void
moved (RecordWrite *w, guint status)
{
  KrPart *part = w->part;
  if (status == 200)
    kr_info ("part %u: %u machines given to part %u", part->index, w->moving->len, w->to);
  for (guint i = 0; i < w->moving->len; i++) {
    KrMachine *machine = kr_part_machine (part, w->moving->pdata[i]);
    if (!machine)
      continue;
    /* Unknown outcome: it may be executed later, and until that is ruled out the machine stays out
     * of use. kr_part_write_record writes its chunk anew, which rules it out. */
    machine->moving = machine->move_unknown = status == 0;
  }
}

static void
record_written (guint status, json_t *body, gpointer data)
{
  RecordWrite *w = data;
  KrPart *part = w->part;

  part->record_busy = FALSE;
  if (!part->gone) {
    if (w->moving)
      moved (w, status);
    if (status == 200) {
      if (w->claim)
        kr_membership_note_claim (part->node->membership, part->index, w->claim,
                                  kr_wire_revision (body));
      kr_draft_done (w->draft, kr_wire_revision (body));
    }
  }
  record_write_free (w);
}

static void
commit (KrPart *part, KrTxn *txn, RecordWrite *w)
{
  w->part = kr_part_ref (part);
  kr_draft_write (w->draft, txn);
  part->record_busy = TRUE;
  kr_state_commit (part->node->state, txn, KR_FIRST, KR_STATE_TIMEOUT_MS, part->cancel,
                   record_written, w);
}

/* What the claim should be made, or NULL: it stands as it should. */
static json_t *
claim_due (KrPart *part)
{
  const KrClaim *claim = kr_membership_claim (part->node->membership, part->index);
  const char *node = part->node->settings->node_name;
  if (part->phase == OPEN)
    return claim->settled ? NULL : kr_claim_without_earlier (node, TRUE);
  /* A successor of ours need not ask those again who have given us their word. */
  gboolean earlier = claim->earlier && claim->earlier->len > 0;
  return part->quiet_since && earlier ? kr_claim_without_earlier (node, FALSE) : NULL;
}

/* Brings the record in line with what we know: used, addresses, deletions, settled. */
void
kr_part_write_record (KrPart *part)
{
  GHashTableIter it;
  gpointer id, value;
  guint most = part->node->settings->state_txn_ops - 1; /* one for the claim */

  /* Not more often than each second, and never at the cost of accepts: machines that boot by the
   * dozen would take the whole budget one by one. A takeover does not wait. */
  if (part->record_busy || !part->have_record || part->gone ||
      (part->phase == OPEN && kr_membership_claim (part->node->membership, part->index)->settled &&
       (kr_now () < part->next_record || kr_state_spare_writes (part->node->state) == 0)))
    return;
  KrDraft *draft = kr_draft_new (part->node->records);
  g_hash_table_iter_init (&it, part->leaving);
  while (kr_draft_ops (draft) < most && g_hash_table_iter_next (&it, &id, NULL)) {
    const KrMember *member = kr_records_find (part->node->records, id);
    if (member && member->part == part->index)
      kr_draft_remove (draft, id);
    else
      g_hash_table_iter_remove (&it);
  }
  g_hash_table_iter_init (&it, part->machines);
  while (kr_draft_ops (draft) < most && g_hash_table_iter_next (&it, &id, &value)) {
    KrMachine *machine = value;
    if (!machine->used && machine->used_wanted)
      kr_draft_set (draft, id, machine->endpoint);
    else if (machine->move_unknown)
      kr_draft_touch (draft, id);
  }
  json_t *claim = claim_due (part);
  if (!claim && kr_draft_ops (draft) == 0) {
    kr_draft_free (draft);
    return;
  }
  RecordWrite *w = g_new0 (RecordWrite, 1);
  w->draft = draft;
  /* The record has half of this node's writes at most, and a machine that boots waits for it. */
  double pause =
      kr_draft_ops (draft) / (KR_RECORD_SHARE * kr_state_burst_writes (part->node->state));
  part->next_record = kr_now () + kr_seconds (CLAMP (pause, KR_RECORD_MIN_S, KR_TICK_MS / 1000.0));
  w->claim = claim;
  commit (part, claim ? kr_part_claim_txn (part, claim) : kr_part_owner_txn (part), w);
}

static void
told (guint status, json_t *body, gpointer data)
{
  kr_part_unref (data);
}

/* Guards against peers that refuse: the leader would rent nothing for a part that it cannot hear,
 * and with new needs none of its jobs would begin until the cut is over. */
void
kr_part_tell_needs (KrPart *part)
{
  gint64 now = kr_now ();
  if (part->phase != OPEN || now < part->next_tell ||
      now - kr_rent_asked (part->node->rent) < kr_seconds (KR_UNASKED_S) ||
      g_hash_table_size (part->jobs) == 0 || kr_state_spare_writes (part->node->state) == 0)
    return;
  part->next_tell = now + KR_TELL_MS * G_GINT64_CONSTANT (1000);
  json_t *s = kr_part_summary (part), *needs = json_object_get (s, "Needs");
  gsize most =
      (gsize) (part->node->settings->state_value_kb * 1024 - KR_VALUE_SLACK) / KR_NEED_BYTES;
  json_object_del (s, "Berths"); /* the records tell */
  json_object_set_new (s, "At", json_real (kr_time_of_day ()));
  while (json_array_size (needs) > most)
    json_array_remove (needs, json_array_size (needs) - 1);
  g_autofree char *key = kr_membership_needs_key (part->index);
  KrTxn *txn = kr_part_owner_txn (part);
  kr_txn_put (txn, key, s, 0);
  kr_state_commit (part->node->state, txn, KR_NORMAL, KR_STATE_TIMEOUT_MS, part->cancel, told,
                   kr_part_ref (part));
}

typedef struct {
  KrPart *part;
  KrDraft *draft;
} Strays;

static void
remove_stray (const char *id, const KrMember *member, gpointer data)
{
  const Strays *strays = data;
  if (kr_draft_ops (strays->draft) + 2 > strays->part->node->settings->state_txn_ops)
    return; /* in the next turn */
  kr_invariant_broken (KR_INVARIANT_ONE_RECORD,
                       "machine %s stands in the records of parts %u and %u (chunk %u)", id,
                       strays->part->index, member->part, member->chunk);
  kr_draft_remove_stray (strays->draft, strays->part->index, id);
}

/* Guards against a machine that passes from part to part with each write of one of its two chunks,
 * however it came into both. */
void
kr_part_remove_strays (KrPart *part)
{
  if (part->record_busy || !part->have_record || part->gone)
    return;
  Strays strays = { part, kr_draft_new (part->node->records) };
  kr_records_walk_strays (part->node->records, part->index, remove_stray, &strays);
  if (kr_draft_ops (strays.draft) == 0) {
    kr_draft_free (strays.draft);
    return;
  }
  RecordWrite *w = g_new0 (RecordWrite, 1);
  w->draft = strays.draft;
  commit (part, kr_part_owner_txn (part), w);
}

static gboolean
may_move (const KrMachine *machine)
{
  return machine->leaving_to >= 0 && machine->launches->len == 0 && !machine->deleting &&
         !machine->moving && !machine->drain;
}

/* Gives empty machines to another part, as many as one transaction takes: it is over both parts'
 * records, under our key. One part each time; the others follow. */
void
kr_part_moves (KrPart *part)
{
  GHashTableIter it;
  gpointer id, value;
  gint to = -1;
  guint most = part->node->settings->state_txn_ops - 1; /* a further machine may touch two chunks */

  /* Others' writes come first: a move is worth little while accepts wait. */
  if (part->record_busy || part->phase != OPEN || part->gone ||
      kr_state_spare_writes (part->node->state) == 0)
    return;
  KrDraft *draft = kr_draft_new (part->node->records);
  RecordWrite *w = g_new0 (RecordWrite, 1);
  w->draft = draft;
  w->moving = g_ptr_array_new_with_free_func (g_free);
  g_hash_table_iter_init (&it, part->machines);
  while (kr_draft_ops (draft) < most && g_hash_table_iter_next (&it, &id, &value)) {
    KrMachine *machine = value;
    const KrMember *member = kr_records_find (part->node->records, id);
    if (!may_move (machine) || !member || member->part != part->index ||
        (to >= 0 && machine->leaving_to != to))
      continue;
    to = machine->leaving_to;
    kr_draft_add (draft, (guint) to, id, member->address);
    kr_draft_remove (draft, id);
    machine->moving = TRUE;
    g_ptr_array_add (w->moving, g_strdup (id));
  }
  if (to < 0) {
    kr_draft_free (draft);
    g_ptr_array_unref (w->moving);
    g_free (w);
    return;
  }
  w->to = (guint) to;
  commit (part, kr_part_owner_txn (part), w);
}

static void
walk_member (const char *id, const KrMember *member, gpointer data)
{
  KrPart *part = data;
  KrMachine *machine = kr_part_machine (part, id);
  if (g_hash_table_contains (part->leaving, id))
    return;
  if (!machine) {
    machine = kr_machine_new (id);
    machine->joined = machine->idle_since = kr_now ();
    g_hash_table_insert (part->machines, machine->id, machine);
    kr_debug ("part %u: machine %s joined", part->index, id);
  }
  machine->used = *member->address != 0;
  if (!machine->endpoint && machine->used)
    machine->endpoint = g_strdup (member->address);
  /* The chunk was written since: what named its earlier revision will not be executed any more. */
  if (machine->move_unknown && member->revision != machine->chunk_revision)
    machine->moving = machine->move_unknown = FALSE;
  machine->chunk_revision = member->revision;
}

/* A machine is not in our record any more. TRUE: it is let go. */
static gboolean
left_record (KrPart *part, KrMachine *machine)
{
  if (!kr_machine_busy (machine)) {
    kr_part_forget (part, machine, KR_GONE_MOVED);
    return TRUE;
  }
  /* Where its tasks are is not known: they would start a second time elsewhere. Whoever answers it
   * now may renew its lease, so that only its deletion ends them for sure. */
  if (!machine->must_fence) {
    const KrMember *member = kr_records_find (part->node->records, machine->id);
    kr_invariant_broken (KR_INVARIANT_RECORD_KEPT,
                         "machine %s left the record of part %u (token %" G_GUINT64_FORMAT
                         ") with %u tasks, it is now in %s %u",
                         machine->id, part->index, part->token, kr_machine_busy (machine),
                         member ? "part" : "none,", member ? member->part : 0);
  }
  machine->must_fence = TRUE;
  machine->fenced = FALSE;
  kr_part_delete_machine (part, machine, KR_LEFT_RECORD);
  return FALSE;
}

void
kr_part_record_changed (KrPart *part)
{
  GHashTableIter it;
  gpointer value;

  if (!part->have_record)
    return;
  kr_records_walk (part->node->records, part->index, walk_member, part);
  g_hash_table_iter_init (&it, part->machines);
  while (kr_part_next (part, &it, &value)) {
    KrMachine *machine = value;
    const KrMember *member = kr_records_find (part->node->records, machine->id);
    if ((!member || member->part != part->index) && left_record (part, machine))
      g_hash_table_iter_remove (&it);
  }
  kr_part_answer_held (part);
  kr_part_write_record (part);
}
