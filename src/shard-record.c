/* The durable record of a part's machines. */
#include "clock.h"
#include "constants.h"
#include "invariant.h"
#include "log.h"
#include "shard-private.h"
#include "provisioner.h"

/* A write of the record under way. */
typedef struct {
  KrShard *shard;
  KrRecordUpdate *draft;
  json_t *claim;     /* what it makes of the claim; NULL: untouched */
  GPtrArray *moving; /* ids; NULL: no move */
  guint to;
} RecordWrite;

static void
record_write_free (RecordWrite *w)
{
  kr_record_update_free (w->draft);
  json_decref (w->claim);
  g_clear_pointer (&w->moving, g_ptr_array_unref);
  kr_shard_unref (w->shard);
  g_free (w);
}

KrTxn *
kr_shard_owner_txn (KrShard *shard)
{
  g_autofree char *key = kr_membership_owner_key (shard->index);
  KrTxn *txn = kr_txn_new ();
  kr_txn_expect_revision (txn, key, shard->token);
  return txn;
}

KrTxn *
kr_shard_owner_history_txn (KrShard *shard, json_t *value)
{
  g_autofree char *key = kr_membership_owner_history_key (shard->index);
  KrTxn *txn = kr_shard_owner_txn (shard);
  kr_txn_expect_revision (
      txn, key, kr_membership_owner_history (shard->node->membership, shard->index)->revision);
  kr_txn_put (txn, key, json_incref (value), 0);
  return txn;
}

static void
moved (RecordWrite *w, guint status)
{
  KrShard *shard = w->shard;
  if (status == 200)
    kr_info ("part %u: %u machines given to part %u", shard->index, w->moving->len, w->to);
  for (guint i = 0; i < w->moving->len; i++) {
    KrMachine *machine = kr_shard_machine (shard, w->moving->pdata[i]);
    if (!machine)
      continue;
    /* Unknown outcome: it may be executed later, and until that is ruled out the machine stays out
     * of use. kr_shard_write_record writes its chunk anew, which rules it out. */
    machine->moving = machine->move_outcome_unknown = status == 0;
  }
}

static void
record_written (guint status, json_t *body, gpointer data)
{
  RecordWrite *w = data;
  KrShard *shard = w->shard;

  shard->record_write_in_flight = FALSE;
  if (!shard->closed) {
    if (w->moving)
      moved (w, status);
    if (status == 200) {
      if (w->claim)
        kr_membership_apply_owner_history (shard->node->membership, shard->index, w->claim,
                                           kr_wire_revision (body));
      kr_record_update_committed (w->draft, kr_wire_revision (body));
    }
  }
  record_write_free (w);
}

static void
commit (KrShard *shard, KrTxn *txn, RecordWrite *w)
{
  w->shard = kr_shard_ref (shard);
  kr_record_update_add_to_txn (w->draft, txn);
  shard->record_write_in_flight = TRUE;
  kr_state_commit (shard->node->state_client, txn, KR_QUEUE_HIGH, KR_STATE_TIMEOUT_MS,
                   shard->cancel, record_written, w);
}

/* What the claim should be made, or NULL: it stands as it should. */
static json_t *
claim_due (KrShard *shard)
{
  const KrOwnerHistory *claim = kr_membership_owner_history (shard->node->membership, shard->index);
  const char *node = shard->node->settings->node_name;
  if (shard->phase == SHARD_OPEN)
    return claim->all_fenced ? NULL : kr_owner_history_value_without_earlier (node, TRUE);
  /* A successor of ours need not ask those again who have given us their word. */
  gboolean earlier = claim->earlier_owners && claim->earlier_owners->len > 0;
  return shard->former_stopped_at && earlier ? kr_owner_history_value_without_earlier (node, FALSE)
                                             : NULL;
}

/* Brings the record in line with what we know: used, addresses, deletions, settled. */
void
kr_shard_write_record (KrShard *shard)
{
  GHashTableIter it;
  gpointer id, value;
  guint most = shard->node->settings->state_txn_ops - 1; /* one for the claim */

  /* Not more often than each second, and never at the cost of accepts: machines that boot by the
   * dozen would take the whole budget one by one. A takeover does not wait. */
  if (shard->record_write_in_flight || !shard->record_loaded || shard->closed ||
      (shard->phase == SHARD_OPEN &&
       kr_membership_owner_history (shard->node->membership, shard->index)->all_fenced &&
       (kr_now () < shard->next_record_write_at ||
        kr_state_spare_writes (shard->node->state_client) == 0)))
    return;
  KrRecordUpdate *draft = kr_record_update_new (shard->node->machine_records);
  g_hash_table_iter_init (&it, shard->deleted_ids);
  while (kr_record_update_ops (draft) < most && g_hash_table_iter_next (&it, &id, NULL)) {
    const KrMachineRecord *member = kr_machine_records_find (shard->node->machine_records, id);
    if (member && member->shard == shard->index)
      kr_record_update_remove (draft, id);
    else
      g_hash_table_iter_remove (&it);
  }
  g_hash_table_iter_init (&it, shard->machines);
  while (kr_record_update_ops (draft) < most && g_hash_table_iter_next (&it, &id, &value)) {
    KrMachine *machine = value;
    if (!machine->used && machine->use_pending)
      kr_record_update_set (draft, id, machine->endpoint);
    else if (machine->move_outcome_unknown)
      kr_record_update_touch (draft, id);
  }
  json_t *claim = claim_due (shard);
  if (!claim && kr_record_update_ops (draft) == 0) {
    kr_record_update_free (draft);
    return;
  }
  RecordWrite *w = g_new0 (RecordWrite, 1);
  w->draft = draft;
  /* The record has half of this node's writes at most, and a machine that boots waits for it. */
  double pause = kr_record_update_ops (draft) /
                 (KR_RECORD_WRITE_SHARE * kr_state_write_burst (shard->node->state_client));
  shard->next_record_write_at =
      kr_now () + kr_seconds_to_us (CLAMP (pause, KR_RECORD_INTERVAL_MIN_S, KR_TICK_MS / 1000.0));
  w->claim = claim;
  commit (shard, claim ? kr_shard_owner_history_txn (shard, claim) : kr_shard_owner_txn (shard), w);
}

static void
told (guint status, json_t *body, gpointer data)
{
  kr_shard_unref (data);
}

/* Guards against peers that refuse: the leader would rent nothing for a part that it cannot hear,
 * and with new needs none of its jobs would begin until the cut is over. */
void
kr_shard_store_summary (KrShard *shard)
{
  gint64 now = kr_now ();
  if (shard->phase != SHARD_OPEN || now < shard->next_summary_at ||
      now - kr_provisioner_last_polled (shard->node->provisioner) <
          kr_seconds_to_us (KR_LEADER_SILENCE_S) ||
      g_hash_table_size (shard->jobs) == 0 ||
      kr_state_spare_writes (shard->node->state_client) == 0)
    return;
  shard->next_summary_at = now + KR_STORED_SUMMARY_INTERVAL_MS * G_GINT64_CONSTANT (1000);
  json_t *s = kr_shard_summary (shard), *needs = json_object_get (s, "Needs");
  gsize most = (gsize) (shard->node->settings->state_value_kb * 1024 - KR_VALUE_SLACK_BYTES) /
               KR_DEMAND_BYTES;
  json_object_del (s, "Berths"); /* the records tell */
  json_object_set_new (s, "At", json_real (kr_wall_clock_s ()));
  while (json_array_size (needs) > most)
    json_array_remove (needs, json_array_size (needs) - 1);
  g_autofree char *key = kr_membership_summary_key (shard->index);
  KrTxn *txn = kr_shard_owner_txn (shard);
  kr_txn_put (txn, key, s, 0);
  kr_state_commit (shard->node->state_client, txn, KR_QUEUE_NORMAL, KR_STATE_TIMEOUT_MS,
                   shard->cancel, told, kr_shard_ref (shard));
}

typedef struct {
  KrShard *shard;
  KrRecordUpdate *draft;
} Strays;

static void
remove_stray (const char *id, const KrMachineRecord *member, gpointer data)
{
  const Strays *strays = data;
  if (kr_record_update_ops (strays->draft) + 2 > strays->shard->node->settings->state_txn_ops)
    return; /* in the next turn */
  kr_invariant_violated (KR_INVARIANT_ONE_RECORD,
                         "machine %s stands in the records of parts %u and %u (chunk %u)", id,
                         strays->shard->index, member->shard, member->chunk);
  kr_record_update_remove_duplicates (strays->draft, strays->shard->index, id);
}

/* Guards against a machine that passes from part to part with each write of one of its two chunks,
 * however it came into both. */
void
kr_shard_remove_duplicate_records (KrShard *shard)
{
  if (shard->record_write_in_flight || !shard->record_loaded || shard->closed)
    return;
  Strays strays = { shard, kr_record_update_new (shard->node->machine_records) };
  kr_machine_records_foreach_duplicate (shard->node->machine_records, shard->index, remove_stray,
                                        &strays);
  if (kr_record_update_ops (strays.draft) == 0) {
    kr_record_update_free (strays.draft);
    return;
  }
  RecordWrite *w = g_new0 (RecordWrite, 1);
  w->draft = strays.draft;
  commit (shard, kr_shard_owner_txn (shard), w);
}

static gboolean
may_move (const KrMachine *machine)
{
  return machine->move_to >= 0 && machine->attempts->len == 0 && !machine->deleting &&
         !machine->moving && !machine->drain;
}

/* Gives empty machines to another part, as many as one transaction takes: it is over both parts'
 * records, under our key. One part each time; the others follow. */
void
kr_shard_move_marked (KrShard *shard)
{
  GHashTableIter it;
  gpointer id, value;
  gint to = -1;
  guint most =
      shard->node->settings->state_txn_ops - 1; /* a further machine may touch two chunks */

  /* Others' writes come first: a move is worth little while accepts wait. */
  if (shard->record_write_in_flight || shard->phase != SHARD_OPEN || shard->closed ||
      kr_state_spare_writes (shard->node->state_client) == 0)
    return;
  KrRecordUpdate *draft = kr_record_update_new (shard->node->machine_records);
  RecordWrite *w = g_new0 (RecordWrite, 1);
  w->draft = draft;
  w->moving = g_ptr_array_new_with_free_func (g_free);
  g_hash_table_iter_init (&it, shard->machines);
  while (kr_record_update_ops (draft) < most && g_hash_table_iter_next (&it, &id, &value)) {
    KrMachine *machine = value;
    const KrMachineRecord *member = kr_machine_records_find (shard->node->machine_records, id);
    if (!may_move (machine) || !member || member->shard != shard->index ||
        (to >= 0 && machine->move_to != to))
      continue;
    to = machine->move_to;
    kr_record_update_add (draft, (guint) to, id, member->address);
    kr_record_update_remove (draft, id);
    machine->moving = TRUE;
    g_ptr_array_add (w->moving, g_strdup (id));
  }
  if (to < 0) {
    kr_record_update_free (draft);
    g_ptr_array_unref (w->moving);
    g_free (w);
    return;
  }
  w->to = (guint) to;
  commit (shard, kr_shard_owner_txn (shard), w);
}

static void
walk_member (const char *id, const KrMachineRecord *member, gpointer data)
{
  KrShard *shard = data;
  KrMachine *machine = kr_shard_machine (shard, id);
  if (g_hash_table_contains (shard->deleted_ids, id))
    return;
  if (!machine) {
    machine = kr_machine_new (id);
    machine->joined_at = machine->idle_since = kr_now ();
    g_hash_table_insert (shard->machines, machine->id, machine);
    kr_debug ("part %u: machine %s joined", shard->index, id);
  }
  machine->used = *member->address != 0;
  if (!machine->endpoint && machine->used)
    machine->endpoint = g_strdup (member->address);
  /* The chunk was written since: what named its earlier revision will not be executed any more. */
  if (machine->move_outcome_unknown && member->revision != machine->chunk_revision)
    machine->moving = machine->move_outcome_unknown = FALSE;
  machine->chunk_revision = member->revision;
}

/* A machine is not in our record any more. TRUE: it is let go. */
static gboolean
left_record (KrShard *shard, KrMachine *machine)
{
  if (!kr_machine_count_unfinished (machine)) {
    kr_shard_remove_machine (shard, machine, KR_GONE_MOVED);
    return TRUE;
  }
  /* Where its tasks are is not known: they would start a second time elsewhere. Whoever answers it
   * now may renew its lease, so that only its deletion ends them for sure. */
  if (!machine->must_fence) {
    const KrMachineRecord *member =
        kr_machine_records_find (shard->node->machine_records, machine->id);
    kr_invariant_violated (KR_INVARIANT_RECORD_KEPT,
                           "machine %s left the record of part %u (token %" G_GUINT64_FORMAT
                           ") with %u tasks, it is now in %s %u",
                           machine->id, shard->index, shard->token,
                           kr_machine_count_unfinished (machine), member ? "part" : "none,",
                           member ? member->shard : 0);
  }
  machine->must_fence = TRUE;
  machine->fenced = FALSE;
  kr_shard_delete_machine (shard, machine, KR_DELETED_FROM_RECORD_REASON);
  return FALSE;
}

void
kr_shard_record_changed (KrShard *shard)
{
  GHashTableIter it;
  gpointer value;

  if (!shard->record_loaded)
    return;
  kr_machine_records_foreach (shard->node->machine_records, shard->index, walk_member, shard);
  g_hash_table_iter_init (&it, shard->machines);
  while (kr_shard_next_machine (shard, &it, &value)) {
    KrMachine *machine = value;
    const KrMachineRecord *member =
        kr_machine_records_find (shard->node->machine_records, machine->id);
    if ((!member || member->shard != shard->index) && left_record (shard, machine))
      g_hash_table_iter_remove (&it);
  }
  kr_shard_answer_held_reports (shard);
  kr_shard_write_record (shard);
}
