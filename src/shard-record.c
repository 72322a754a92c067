/* Writes a shard's machine record, as it is stored in the state service. */
#include "clock.h"
#include "constants.h"
#include "invariant.h"
#include "log.h"
#include "shard-private.h"
#include "shard-summary.h"
#include "provisioner.h"

/* A write of the record in flight. */
typedef struct {
  KrShard *shard;
  KrRecordUpdate *update;
  json_t *owner_history; /* the new owner history; NULL: unchanged */
  GPtrArray *moving;     /* ids of the machines to move; NULL: no move */
  guint to;
} RecordWrite;

static void
record_write_free (RecordWrite *write)
{
  kr_record_update_free (write->update);
  json_decref (write->owner_history);
  g_clear_pointer (&write->moving, g_ptr_array_unref);
  kr_shard_unref (write->shard);
  g_free (write);
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
move_done (RecordWrite *write, guint status)
{
  KrShard *shard = write->shard;
  if (status == 200)
    kr_info ("shard %u: moved %u machines to shard %u", shard->index, write->moving->len,
             write->to);
  for (guint i = 0; i < write->moving->len; i++) {
    KrMachine *machine = kr_shard_machine (shard, write->moving->pdata[i]);
    if (!machine)
      continue;
    /* With an unknown outcome the move may still be executed later: the machine stays out of use
     * until that is ruled out. kr_shard_write_record rewrites its chunk, which rules it out. */
    machine->moving = machine->move_outcome_unknown = status == 0;
  }
}

static void
on_record_response (guint status, json_t *body, gpointer data)
{
  RecordWrite *write = data;
  KrShard *shard = write->shard;

  shard->record_write_in_flight = FALSE;
  if (!shard->closed) {
    if (write->moving)
      move_done (write, status);
    if (status == 200) {
      if (write->owner_history)
        kr_membership_apply_owner_history (shard->node->membership, shard->index,
                                           write->owner_history, kr_wire_revision (body));
      kr_record_update_committed (write->update, kr_wire_revision (body));
    }
  }
  record_write_free (write);
}

static void
commit_update (KrShard *shard, KrTxn *txn, RecordWrite *write)
{
  write->shard = kr_shard_ref (shard);
  kr_record_update_add_to_txn (write->update, txn);
  shard->record_write_in_flight = TRUE;
  kr_state_commit (shard->node->state_client, txn, KR_QUEUE_HIGH, KR_STATE_TIMEOUT_MS,
                   shard->cancel, on_record_response, write);
}

/* Returns the value that the owner history should have now, or NULL if it is up to date. The caller
 * frees it with json_decref(). */
static json_t *
pending_owner_history (KrShard *shard)
{
  const KrOwnerHistory *history =
      kr_membership_owner_history (shard->node->membership, shard->index);
  const char *node = shard->node->settings->node_name;
  if (shard->phase == SHARD_OPEN)
    return history->all_fenced ? NULL : kr_owner_history_value_without_earlier (node, TRUE);
  /* A later owner of the shard need not ask the nodes again that have confirmed to this node that
   * they answer no more machines. */
  gboolean has_earlier = history->earlier_owners && history->earlier_owners->len > 0;
  return shard->former_stopped_at && has_earlier
             ? kr_owner_history_value_without_earlier (node, FALSE)
             : NULL;
}

/* Brings the stored record in line with the known state: used machines and their addresses,
 * deletions, and the owner history. */
void
kr_shard_write_record (KrShard *shard)
{
  GHashTableIter it;
  gpointer id, value;
  /* One write is left for the owner history. */
  guint writes_max = shard->node->settings->state_txn_ops - 1;

  /* Writes are spaced by next_record_write_at and never go out at the cost of accepting jobs:
   * machines that boot by the dozen would use up the whole write rate one by one. A takeover does
   * not wait. */
  if (shard->record_write_in_flight || !shard->record_loaded || shard->closed ||
      (shard->phase == SHARD_OPEN &&
       kr_membership_owner_history (shard->node->membership, shard->index)->all_fenced &&
       (kr_now () < shard->next_record_write_at ||
        kr_state_spare_writes (shard->node->state_client) == 0)))
    return;
  KrRecordUpdate *update = kr_record_update_new (shard->node->machine_records);
  g_hash_table_iter_init (&it, shard->deleted_ids);
  while (kr_record_update_chunk_count (update) < writes_max &&
         g_hash_table_iter_next (&it, &id, NULL)) {
    const KrMachineRecord *record = kr_machine_records_find (shard->node->machine_records, id);
    if (record && record->shard == shard->index)
      kr_record_update_remove (update, id);
    else
      g_hash_table_iter_remove (&it);
  }
  g_hash_table_iter_init (&it, shard->machines);
  while (kr_record_update_chunk_count (update) < writes_max &&
         g_hash_table_iter_next (&it, &id, &value)) {
    KrMachine *machine = value;
    if (!machine->used && machine->use_pending)
      kr_record_update_set (update, id, machine->endpoint);
    else if (machine->move_outcome_unknown)
      kr_record_update_touch (update, id);
  }
  json_t *history = pending_owner_history (shard);
  if (!history && kr_record_update_chunk_count (update) == 0) {
    kr_record_update_free (update);
    return;
  }
  RecordWrite *write = g_new0 (RecordWrite, 1);
  write->update = update;
  /* Spaces the writes so that the record takes at most KR_RECORD_WRITE_SHARE of this node's writes,
   * but by one tick at most, since a booted machine waits for its entry. */
  double interval_s = kr_record_update_chunk_count (update) /
                      (KR_RECORD_WRITE_SHARE * kr_state_write_burst (shard->node->state_client));
  shard->next_record_write_at =
      kr_now () +
      kr_seconds_to_us (CLAMP (interval_s, KR_RECORD_INTERVAL_MIN_S, KR_TICK_MS / 1000.0));
  write->owner_history = history;
  commit_update (shard,
                 history ? kr_shard_owner_history_txn (shard, history) : kr_shard_owner_txn (shard),
                 write);
}

static void
on_summary_response (guint status, json_t *body, gpointer data)
{
  kr_shard_unref (data);
}

/* Guards against a partition between the nodes: the leader would rent nothing for a shard whose
 * summary it does not get, and jobs with new demand would not start until the partition is over. */
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
  json_t *summary = kr_shard_summary (shard);
  gsize demands_max_bytes =
      (gsize) (shard->node->settings->state_value_kb * 1024) - KR_VALUE_SLACK_BYTES;
  kr_shard_summary_make_stored (summary, demands_max_bytes, kr_wall_clock_s ());
  g_autofree char *key = kr_membership_summary_key (shard->index);
  KrTxn *txn = kr_shard_owner_txn (shard);
  kr_txn_put (txn, key, summary, 0);
  kr_state_commit (shard->node->state_client, txn, KR_QUEUE_NORMAL, KR_STATE_TIMEOUT_MS,
                   shard->cancel, on_summary_response, kr_shard_ref (shard));
}

typedef struct {
  KrShard *shard;
  KrRecordUpdate *update;
} Duplicates;

static void
remove_duplicate (const char *id, const KrMachineRecord *record, gpointer data)
{
  const Duplicates *duplicates = data;
  if (kr_record_update_chunk_count (duplicates->update) + 2 >
      duplicates->shard->node->settings->state_txn_ops)
    return; /* The next call continues. */
  kr_invariant_violated (KR_INVARIANT_ONE_RECORD,
                         "machine %s is in the records of shards %u and %u (chunk %u)", id,
                         duplicates->shard->index, record->shard, record->chunk);
  kr_record_update_remove_duplicates (duplicates->update, duplicates->shard->index, id);
}

/* Guards against a machine that passes back and forth between two shards with each write of one of
 * the two chunks that hold it, however it came to be in both. */
void
kr_shard_remove_duplicate_records (KrShard *shard)
{
  if (shard->record_write_in_flight || !shard->record_loaded || shard->closed)
    return;
  Duplicates duplicates = { shard, kr_record_update_new (shard->node->machine_records) };
  kr_machine_records_foreach_duplicate (shard->node->machine_records, shard->index,
                                        remove_duplicate, &duplicates);
  if (kr_record_update_chunk_count (duplicates.update) == 0) {
    kr_record_update_free (duplicates.update);
    return;
  }
  RecordWrite *write = g_new0 (RecordWrite, 1);
  write->update = duplicates.update;
  commit_update (shard, kr_shard_owner_txn (shard), write);
}

static gboolean
may_move (const KrMachine *machine)
{
  return machine->move_to >= 0 && machine->attempts->len == 0 && !machine->deleting &&
         !machine->moving && !machine->drain;
}

/* Moves empty machines to another shard, as many as one transaction allows: it changes both shards'
 * records, on condition that this node owns the source shard. Each call serves one target shard. */
void
kr_shard_move_marked (KrShard *shard)
{
  GHashTableIter it;
  gpointer id, value;
  gint to = -1;
  /* A machine may touch two chunks, so a further one is only added while two writes are left. */
  guint writes_max = shard->node->settings->state_txn_ops - 1;

  /* Other writes come first: a move is worth little while job submissions wait. */
  if (shard->record_write_in_flight || shard->phase != SHARD_OPEN || shard->closed ||
      kr_state_spare_writes (shard->node->state_client) == 0)
    return;
  KrRecordUpdate *update = kr_record_update_new (shard->node->machine_records);
  RecordWrite *write = g_new0 (RecordWrite, 1);
  write->update = update;
  write->moving = g_ptr_array_new_with_free_func (g_free);
  g_hash_table_iter_init (&it, shard->machines);
  while (kr_record_update_chunk_count (update) < writes_max &&
         g_hash_table_iter_next (&it, &id, &value)) {
    KrMachine *machine = value;
    const KrMachineRecord *record = kr_machine_records_find (shard->node->machine_records, id);
    if (!may_move (machine) || !record || record->shard != shard->index ||
        (to >= 0 && machine->move_to != to))
      continue;
    to = machine->move_to;
    kr_record_update_add (update, (guint) to, id, record->address);
    kr_record_update_remove (update, id);
    machine->moving = TRUE;
    g_ptr_array_add (write->moving, g_strdup (id));
  }
  if (to < 0) {
    kr_record_update_free (update);
    g_ptr_array_unref (write->moving);
    g_free (write);
    return;
  }
  write->to = (guint) to;
  commit_update (shard, kr_shard_owner_txn (shard), write);
}

static void
apply_machine_record (const char *id, const KrMachineRecord *record, gpointer data)
{
  KrShard *shard = data;
  KrMachine *machine = kr_shard_machine (shard, id);
  if (g_hash_table_contains (shard->deleted_ids, id))
    return;
  if (!machine) {
    machine = kr_machine_new (id);
    machine->joined_at = machine->idle_since = kr_now ();
    g_hash_table_insert (shard->machines, machine->id, machine);
    kr_debug ("shard %u: machine %s joined", shard->index, id);
  }
  machine->used = *record->address != 0;
  if (!machine->endpoint && machine->used)
    machine->endpoint = g_strdup (record->address);
  /* The chunk has been written since: a transaction that expects its earlier revision cannot
   * succeed any more. */
  if (machine->move_outcome_unknown && record->revision != machine->chunk_revision)
    machine->moving = machine->move_outcome_unknown = FALSE;
  machine->chunk_revision = record->revision;
}

/* Handles a machine that is no longer in this shard's record. Returns TRUE if the caller must
 * remove it from the shard's machines. */
static gboolean
handle_missing_record (KrShard *shard, KrMachine *machine)
{
  if (!kr_machine_count_unfinished (machine)) {
    kr_shard_remove_machine (shard, machine, KR_GONE_MOVED);
    return TRUE;
  }
  /* The machine's tasks may still run, and dropping it would start them a second time elsewhere.
   * Whichever node answers the machine now may renew its lease, so only its deletion is certain to
   * end them. */
  if (!machine->must_fence) {
    const KrMachineRecord *record =
        kr_machine_records_find (shard->node->machine_records, machine->id);
    kr_invariant_violated (KR_INVARIANT_RECORD_KEPT,
                           "machine %s left the record of shard %u (token %" G_GUINT64_FORMAT
                           ") with %u tasks, it is now in %s %u",
                           machine->id, shard->index, shard->token,
                           kr_machine_count_unfinished (machine), record ? "shard" : "no shard,",
                           record ? record->shard : 0);
  }
  machine->must_fence = TRUE;
  machine->fenced = FALSE;
  kr_shard_delete_machine (shard, machine, KR_REASON_LEFT_RECORD);
  return FALSE;
}

void
kr_shard_record_changed (KrShard *shard)
{
  GHashTableIter it;
  gpointer value;

  if (!shard->record_loaded)
    return;
  kr_machine_records_foreach (shard->node->machine_records, shard->index, apply_machine_record,
                              shard);
  g_hash_table_iter_init (&it, shard->machines);
  while (kr_shard_next_machine (shard, &it, &value)) {
    KrMachine *machine = value;
    const KrMachineRecord *record =
        kr_machine_records_find (shard->node->machine_records, machine->id);
    if ((!record || record->shard != shard->index) && handle_missing_record (shard, machine))
      g_hash_table_iter_remove (&it);
  }
  kr_shard_answer_held_reports (shard);
  kr_shard_write_record (shard);
}
