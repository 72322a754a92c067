#include "provisioner.h"
#include "budget.h"
#include "clock.h"
#include "constants.h"
#include "http-client.h"
#include "log.h"
#include "rebalance.h"
#include "rental.h"
#include "shard-summary.h"
#include "shard.h"

typedef struct {
  KrShardSummary *value; /* NULL: none yet */
  gint64 received_at;    /* monotonic us */
} LastSummary;

struct KrProvisioner {
  KrNode *node;
  GCancellable *cancel;
  GHashTable *listed;   /* id -> KrListedMachine in the newest machine list */
  GHashTable *unlisted; /* id -> KrListedMachine that was rented or reported, not listed yet */
  GHashTable *removed;  /* id -> gint64*: monotonic us at which it was removed from the records */
  KrRental *rental;
  LastSummary *summaries; /* of each shard */
  json_t **directives;    /* for each shard, the directives for its owner; NULL: none */
  gboolean list_in_flight, types_in_flight, assign_in_flight; /* requests without an answer */
  gboolean has_list;                                          /* a machine list has been read */
  /* The machine records were relisted since this node became the leader, and since its last record
   * update with an unknown outcome. */
  gboolean records_relisted;
  /* The version of a chunk that the first record update with an unknown outcome expects. Each
   * further update writes this chunk too, so that at most one of them succeeds. */
  KrChunkVersion unconfirmed_chunk;
  gboolean has_unconfirmed_update;
  gint64 next_types, next_list, next_busy_rebalance, next_round; /* monotonic us */
  gint64 leading_since; /* monotonic us; 0: this node does not act as the leader */
  gint64 rent_due_at;   /* monotonic us at which renting continues between rounds; 0: not due */
  /* Monotonic us at which the round continues even if summaries are missing; 0: no round waits. */
  gint64 reconcile_at;
  guint polls_pending; /* summary requests of this round without a successful response */
  double *backlogs;    /* queued writes of each node, this node first; negative: unknown */
  /* Since this node became the leader, one round received all summaries or the wait timed out. */
  gboolean initial_wait_over;
  gint64 last_polled_at; /* monotonic us at which a leader last asked for this node's summaries */
  guint64 newest_leader_token; /* the highest fencing token of a leader seen so far */
  guint timer;
};

static KrListedMachine *
listed_machine_new (const char *id, const char *type, const char *zone, gboolean spot)
{
  KrListedMachine *listed = g_new0 (KrListedMachine, 1);
  listed->id = g_strdup (id);
  listed->type = g_strdup (type);
  listed->zone = g_strdup (zone);
  listed->spot = spot;
  return listed;
}

static gboolean
removal_expired (gpointer id, gpointer removed_at, gpointer data)
{
  return kr_now () - *(gint64 *) removed_at > kr_seconds_to_us (KR_REMOVED_MACHINE_MEMORY_S);
}

/* --- machine records ----------------------------------------------------------------- */
void
kr_provisioner_machine_removed (KrProvisioner *provisioner, const char *id)
{
  gint64 *removed_at = g_new (gint64, 1);
  *removed_at = kr_now ();
  g_hash_table_replace (provisioner->removed, g_strdup (id), removed_at);
  g_hash_table_remove (provisioner->unlisted, id);
  kr_rental_reopen_pools (provisioner->rental);
}

void
kr_provisioner_request_list (KrProvisioner *provisioner)
{
  provisioner->next_list = 0;
}

void
kr_provisioner_records_relisted (KrProvisioner *provisioner)
{
  provisioner->records_relisted = kr_membership_is_leader (provisioner->node->membership);
}

/* Adds the machine, in place of an earlier one of the same id. `machines` has the id within its
 * value as key, so the key must be replaced together with the value. Takes over `listed`. */
static void
put_listed_machine (GHashTable *machines, KrListedMachine *listed)
{
  g_hash_table_replace (machines, listed->id, listed);
}

void
kr_provisioner_unassigned_reported (KrProvisioner *provisioner, const KrReport *report)
{
  /* A machine removed from the records was deleted. A late duplicate of its report must not make it
   * available for assignment again. */
  if (!g_hash_table_contains (provisioner->unlisted, report->machine) &&
      !g_hash_table_contains (provisioner->removed, report->machine)) {
    kr_info ("machine %s: reports, but is assigned to no shard", report->machine);
    KrListedMachine *listed =
        listed_machine_new (report->machine, report->type, report->zone, report->spot);
    listed->state = KR_MACHINE_RUNNING;
    put_listed_machine (provisioner->unlisted, listed);
  }
}

static const KrListedMachine *
find_machine (KrProvisioner *provisioner, const char *id)
{
  const KrListedMachine *listed = g_hash_table_lookup (provisioner->listed, id);
  return listed ? listed : g_hash_table_lookup (provisioner->unlisted, id);
}

/* --- summaries and directives -------------------------------------------------------- */
/* Returns NULL if the message is malformed. */
static KrShardSummary *
parse_summary (KrProvisioner *provisioner, json_t *message)
{
  KrShardSummary *summary =
      kr_shard_summary_parse (message, provisioner->node->settings->shard_count);
  if (!summary)
    kr_info ("peers: ignored a malformed shard summary");
  else if (summary->ignored)
    kr_info ("peers: ignored %u malformed entries in the summary of shard %u", summary->ignored,
             summary->shard);
  return summary;
}

/* Keeps a summary sent by `node` if that node owns the shard. Summaries of former owners are
 * ignored: a node that reaches its peers but not the state service keeps sending summaries of
 * shards that other nodes have taken over. In these summaries, the machines stop reporting one
 * after the other. Takes over `summary`. */
static void
keep_summary (KrProvisioner *provisioner, KrShardSummary *summary, const char *node)
{
  g_autoptr (KrShardSummary) unused = summary;
  LastSummary *last = &provisioner->summaries[summary->shard];
  const KrHolder *holder = kr_membership_holder (provisioner->node->membership, summary->shard);
  if (g_strcmp0 (holder->node, node) != 0)
    return;
  g_clear_pointer (&last->value, kr_shard_summary_free);
  last->value = g_steal_pointer (&unused);
  last->received_at = kr_now ();
}

void
kr_provisioner_note_summary (KrProvisioner *provisioner, guint shard, json_t *message)
{
  /* Listing the keys may return a summary stored during an earlier partition. A summary received
   * directly from the owner is more complete. */
  if (!kr_membership_is_leader (provisioner->node->membership) ||
      kr_now () - provisioner->summaries[shard].received_at <=
          kr_seconds_to_us (KR_LEADER_SILENCE_S))
    return;
  KrShardSummary *summary = parse_summary (provisioner, message);
  if (summary && summary->shard == shard &&
      kr_wall_clock_s () - summary->stored_at < KR_STORED_SUMMARY_MAX_AGE_S)
    keep_summary (provisioner, summary,
                  kr_membership_holder (provisioner->node->membership, shard)->node);
  else if (summary)
    kr_shard_summary_free (summary);
}

gint64
kr_provisioner_last_polled (KrProvisioner *provisioner)
{
  return provisioner->last_polled_at;
}

json_t *
kr_provisioner_build_summaries (KrProvisioner *provisioner)
{
  json_t *shards = json_array ();
  provisioner->last_polled_at = kr_now ();
  for (guint shard = 0; shard < provisioner->node->settings->shard_count; shard++)
    if (provisioner->node->shards[shard])
      json_array_append_new (shards, kr_shard_summary (provisioner->node->shards[shard]));
  return json_pack ("{so sf}", "Parts", shards, "Backlog",
                    kr_node_queued_writes (provisioner->node));
}

/* Whether a newer leader than `leader` (its fencing token; 0: unknown) has been seen. A former
 * leader keeps sending requests until it learns that it was replaced. */
static gboolean
is_superseded (KrProvisioner *provisioner, guint64 leader)
{
  provisioner->newest_leader_token =
      MAX (provisioner->newest_leader_token,
           kr_membership_leader (provisioner->node->membership)->revision);
  if (leader && leader < provisioner->newest_leader_token)
    return TRUE;
  provisioner->newest_leader_token = MAX (provisioner->newest_leader_token, leader);
  return FALSE;
}

guint
kr_provisioner_handle_write_budget (KrProvisioner *provisioner, json_t *body)
{
  json_t *writes = json_object_get (body, "Writes"), *leader = json_object_get (body, "Leader");
  if (!json_is_number (writes) || !json_is_integer (leader) || !(kr_json_number (writes) > 0))
    return 400;
  if (is_superseded (provisioner, kr_json_uint (leader)))
    return 409;
  kr_node_set_write_rate (provisioner->node, kr_json_number (writes));
  return 200;
}

gboolean
kr_provisioner_apply_directives (KrProvisioner *provisioner, json_t *directives, guint64 leader)
{
  const guint shard_count = provisioner->node->settings->shard_count;
  json_t *directive, *id_json;
  size_t i, k;

  if (is_superseded (provisioner, leader))
    return FALSE;
  json_array_foreach (directives, i, directive)
  {
    guint64 index = kr_json_uint_below (json_object_get (directive, "Part"), shard_count);
    json_t *to = json_object_get (directive, "To");
    guint64 target = kr_json_uint_below (to, shard_count);
    KrShard *shard = index < shard_count ? provisioner->node->shards[index] : NULL;
    if (!shard || (to && target >= shard_count))
      continue;
    json_array_foreach (json_object_get (directive, "Ids"), k, id_json)
    {
      const char *machine_id = json_string_value (id_json);
      if (machine_id && to)
        kr_shard_mark_for_move (shard, machine_id, (guint) target);
      else if (machine_id)
        kr_shard_return_machine (shard, machine_id);
    }
    kr_shard_move_marked (shard);
  }
  return TRUE;
}

static void reconcile (KrProvisioner *provisioner, gboolean full);

typedef struct {
  KrProvisioner *provisioner;
  const char *node; /* the node that was asked */
  guint index;      /* its index in `backlogs` */
  gint64 round;     /* `reconcile_at` of the round that sent the request */
} SummaryPoll;

static void
summaries_received (guint status, json_t *body, gpointer data)
{
  SummaryPoll *poll = data;
  KrProvisioner *provisioner = poll->provisioner;
  json_t *message;
  size_t i;
  if (status == 200)
    json_array_foreach (json_object_get (body, "Parts"), i, message)
    {
      KrShardSummary *summary = parse_summary (provisioner, message);
      if (summary)
        keep_summary (provisioner, summary, poll->node);
    }
  json_t *backlog = json_object_get (body, "Backlog");
  if (status == 200 && provisioner->reconcile_at == poll->round && json_is_number (backlog))
    provisioner->backlogs[poll->index] = kr_json_number (backlog);
  if (status == 200 && provisioner->reconcile_at == poll->round &&
      --provisioner->polls_pending == 0)
    reconcile (provisioner, TRUE); /* all nodes have answered */
  g_free (poll);
}

static void
ignore_response (guint status, json_t *body, gpointer data)
{
}

/* Starts a round: asks every node for the summaries of its shards. */
static void
poll_summaries (KrProvisioner *provisioner, gint64 now)
{
  const KrSettings *settings = provisioner->node->settings;
  provisioner->reconcile_at = now + KR_LEADER_ANSWERS_MS * G_GINT64_CONSTANT (1000);
  provisioner->polls_pending = settings->peers->len + 1;
  for (guint i = 0; i < provisioner->polls_pending; i++)
    provisioner->backlogs[i] = -1;
  for (guint i = 0; i < settings->peers->len; i++) {
    const KrPeerSettings *peer = settings->peers->pdata[i];
    SummaryPoll *poll = g_new (SummaryPoll, 1);
    *poll = (SummaryPoll){ provisioner, peer->name, i + 1, provisioner->reconcile_at };
    kr_http_client_call (provisioner->node->peer_client, "GET", peer->addr, KR_PEER_SUMMARIES, NULL,
                         KR_PEER_TIMEOUT_MS, provisioner->cancel, summaries_received, poll);
  }
  SummaryPoll *own_poll = g_new (SummaryPoll, 1);
  *own_poll = (SummaryPoll){ provisioner, settings->node_name, 0, provisioner->reconcile_at };
  json_t *summaries = kr_provisioner_build_summaries (provisioner);
  summaries_received (200, summaries, own_poll);
  json_decref (summaries);
}

/* Queues a directive for the shard's owner: move the machine to the shard `to`, or return it if
 * `to` is negative. Machines with the same directive share one message entry. */
static void
add_directive (KrProvisioner *provisioner, guint shard, const char *id, gint to)
{
  json_t *directive = NULL, *entry;
  size_t i;
  if (!provisioner->directives[shard])
    provisioner->directives[shard] = json_array ();
  json_array_foreach (provisioner->directives[shard], i, entry)
  {
    json_t *entry_to = json_object_get (entry, "To");
    if (entry_to ? kr_json_uint (entry_to) == (guint64) to : to < 0)
      directive = entry;
  }
  if (!directive) {
    directive = json_pack ("{sI s[]}", "Part", (json_int_t) shard, "Ids");
    if (to >= 0)
      json_object_set_new (directive, "To", json_integer (to));
    json_array_append_new (provisioner->directives[shard], directive);
  }
  /* Machines that do not fit get their directive in the next round. */
  json_t *ids = json_object_get (directive, "Ids");
  if (json_array_size (ids) < KR_DIRECTIVE_MACHINES_MAX)
    json_array_append_new (ids, json_string (id));
}

/* Sends the queued directives to the owners of the shards. There are no retries: the next round
 * creates the directives again if they are still needed. */
static void
send_directives (KrProvisioner *provisioner)
{
  const KrSettings *settings = provisioner->node->settings;
  guint64 token = kr_membership_leader (provisioner->node->membership)->revision;
  for (guint shard = 0; shard < settings->shard_count; shard++) {
    json_t *directives = g_steal_pointer (&provisioner->directives[shard]);
    const KrHolder *holder = kr_membership_holder (provisioner->node->membership, shard);
    if (directives && holder->node && g_str_equal (holder->node, settings->node_name))
      kr_provisioner_apply_directives (provisioner, directives, token);
    for (guint i = 0; directives && holder->node && i < settings->peers->len; i++) {
      const KrPeerSettings *peer = settings->peers->pdata[i];
      if (g_str_equal (peer->name, holder->node))
        kr_http_client_call (
            provisioner->node->peer_client, "POST", peer->addr, KR_PEER_DIRECTIVES,
            json_pack ("{sO sI}", "Wishes", directives, "Leader", (json_int_t) token),
            KR_PEER_TIMEOUT_MS, provisioner->cancel, ignore_response, provisioner);
    }
    json_decref (directives);
  }
}

/* Divides the state service's write rate among the nodes by their backlogs. Without this, the final
 * states of jobs were written minutes late when one shard ran very many small jobs: its owner had
 * more to write than its fixed share of the limit, while the other nodes wrote little. */
static void
allot_write_rates (KrProvisioner *provisioner)
{
  const KrSettings *settings = provisioner->node->settings;
  guint nodes = settings->peers->len + 1;
  g_autofree double *base = g_new (double, nodes), *allotted = g_new (double, nodes);
  guint64 token = kr_membership_leader (provisioner->node->membership)->revision;

  base[0] = kr_node_base_write_rate (provisioner->node, settings->node_name);
  for (guint i = 1; i < nodes; i++)
    base[i] = kr_node_base_write_rate (provisioner->node,
                                       ((KrPeerSettings *) settings->peers->pdata[i - 1])->name);
  if (!kr_budget_allot (base, provisioner->backlogs, nodes, allotted))
    return;
  kr_node_set_write_rate (provisioner->node, allotted[0]);
  for (guint i = 1; i < nodes; i++) {
    const KrPeerSettings *peer = settings->peers->pdata[i - 1];
    if (provisioner->backlogs[i] >= 0)
      kr_http_client_call (
          provisioner->node->peer_client, "POST", peer->addr, KR_PEER_BUDGET,
          json_pack ("{sI sf}", "Leader", (json_int_t) token, "Writes", allotted[i]),
          KR_PEER_TIMEOUT_MS, provisioner->cancel, ignore_response, provisioner);
  }
}

/* Relists all machine records. This is needed before machines are assigned to shards: an earlier
 * leader, or a record update with an unknown outcome, may have assigned them already. */
static void
relist_records (KrProvisioner *provisioner)
{
  provisioner->records_relisted = FALSE;
  kr_membership_relist (provisioner->node->membership);
}

/* --- assigning new machines to shards ------------------------------------------------ */
typedef struct {
  KrProvisioner *provisioner;
  KrRecordUpdate *update;
} Assignment;

static void
assign_done (guint status, json_t *body, gpointer data)
{
  Assignment *assignment = data;
  KrProvisioner *provisioner = assignment->provisioner;
  provisioner->assign_in_flight = FALSE;
  if (status == 200)
    kr_record_update_committed (assignment->update, kr_wire_revision (body));
  else if (status == 0) {
    /* The update may have been applied, or may still be applied later. A machine must not be
     * assigned to two shards. */
    if (!provisioner->has_unconfirmed_update)
      provisioner->has_unconfirmed_update =
          kr_record_update_chunk_version (assignment->update, &provisioner->unconfirmed_chunk);
    kr_info ("provisioner: the outcome of assigning machines to shards is unknown (chunk %u/%u, "
             "revision %" G_GUINT64_FORMAT ")",
             provisioner->unconfirmed_chunk.shard, provisioner->unconfirmed_chunk.chunk,
             provisioner->unconfirmed_chunk.revision);
    relist_records (provisioner);
  }
  kr_record_update_free (assignment->update);
  g_free (assignment);
}

/* Returns the machines that no shard's record contains. The caller frees the array; the machines
 * belong to the provisioner. */
static GPtrArray *
unassigned_machines (KrProvisioner *provisioner, gint64 now)
{
  GPtrArray *unassigned = g_ptr_array_new ();
  gint64 stale_us =
      kr_seconds_to_us (4 * provisioner->node->settings->cloud_list_lag_s + KR_LIST_STALE_S);
  GHashTable *sources[] = { provisioner->unlisted, provisioner->listed };
  GHashTableIter iter;
  gpointer id, value;

  for (guint source = 0; source < G_N_ELEMENTS (sources); source++) {
    g_hash_table_iter_init (&iter, sources[source]);
    while (g_hash_table_iter_next (&iter, &id, &value)) {
      gint64 *removed_at = g_hash_table_lookup (provisioner->removed, id);
      if (kr_machine_records_find (provisioner->node->machine_records, id) ||
          (source == 1 && g_hash_table_contains (provisioner->unlisted, id)))
        continue;
      /* The list still contains deleted machines for some time. */
      if (removed_at && now - *removed_at < stale_us)
        continue;
      g_ptr_array_add (unassigned, value);
    }
  }
  return unassigned;
}

/* Returns the zone of the shard's owner, or NULL if there is no owner. Machines in this zone can
 * still reach the owner during a network partition between zones. */
static const char *
owner_zone (KrProvisioner *provisioner, guint shard)
{
  const KrSettings *settings = provisioner->node->settings;
  const KrHolder *holder = kr_membership_holder (provisioner->node->membership, shard);
  if (!holder->node || g_str_equal (holder->node, settings->node_name))
    return holder->node ? settings->zone : NULL;
  for (guint i = 0; i < settings->peers->len; i++) {
    const KrPeerSettings *peer = settings->peers->pdata[i];
    if (g_str_equal (peer->name, holder->node))
      return peer->zone;
  }
  return NULL;
}

/* Returns the shard with the largest deficit of CPUs. A shard that lacks at least as many CPUs as
 * the machine has, and whose owner is in the machine's zone, is preferred. */
static guint
shard_for_machine (KrProvisioner *provisioner, const KrSupply *machine, const double *deficit)
{
  double cpus = machine->type ? machine->type->cpus : 0;
  guint best = 0;
  gboolean best_same_zone = FALSE;
  for (guint shard = 0; shard < provisioner->node->settings->shard_count; shard++) {
    gboolean same_zone =
        deficit[shard] >= cpus && g_strcmp0 (owner_zone (provisioner, shard), machine->zone) == 0;
    if (shard == 0 || same_zone > best_same_zone ||
        (same_zone == best_same_zone && deficit[shard] > deficit[best])) {
      best = shard;
      best_same_zone = same_zone;
    }
  }
  return best;
}

/* Assigns new machines, each to the shard that it is dedicated to, else to the one
 * with the largest remaining deficit, in one transaction. Machines for which the transaction has no
 * room remain unassigned until the next round. */
static void
assign_machines (KrProvisioner *provisioner, const GPtrArray *machines, double *deficit)
{
  const KrSettings *settings = provisioner->node->settings;
  if (provisioner->assign_in_flight || !provisioner->records_relisted)
    return;
  Assignment *assignment = g_new (Assignment, 1);
  *assignment =
      (Assignment){ provisioner, kr_record_update_new (provisioner->node->machine_records) };
  /* An earlier update with an unknown outcome may be applied late, after its machines were assigned
   * elsewhere; relisting the records shows only updates applied before. Writing a chunk that the
   * earlier update expects unchanged makes that update fail. */
  if (provisioner->has_unconfirmed_update &&
      kr_machine_records_changed_since (provisioner->node->machine_records,
                                        &provisioner->unconfirmed_chunk))
    provisioner->has_unconfirmed_update = FALSE;
  if (provisioner->has_unconfirmed_update)
    kr_record_update_touch_chunk (assignment->update, &provisioner->unconfirmed_chunk);
  for (guint i = 0; i < machines->len &&
                    kr_record_update_chunk_count (assignment->update) < settings->state_txn_ops;
       i++) {
    const KrSupply *machine = machines->pdata[i];
    guint shard = machine->dedicated ? machine->dedicated_to
                                     : shard_for_machine (provisioner, machine, deficit);
    kr_record_update_add (assignment->update, shard, machine->id, "");
    deficit[shard] -= machine->type ? machine->type->cpus : 0;
  }
  KrTxn *txn = kr_txn_new ();
  kr_txn_expect_revision (txn, KR_LEADER_KEY,
                          kr_membership_leader (provisioner->node->membership)->revision);
  kr_record_update_add_to_txn (assignment->update, txn);
  provisioner->assign_in_flight = TRUE;
  kr_state_commit (provisioner->node->state_client, txn, KR_QUEUE_HIGH, KR_STATE_TIMEOUT_MS,
                   provisioner->cancel, assign_done, assignment);
}

/* --- the leader's round -------------------------------------------------------------- */
typedef struct {
  KrProvisioner *provisioner;
  GHashTable *machines; /* id -> KrMachineSummary */
  GPtrArray *supplies;
} CollectContext;

/* Whether the machine takes so long to boot that it no longer counts as supply, so that a
 * replacement is rented. If it does boot later, it is used or returned as unneeded. */
static gboolean
is_boot_overdue (const KrListedMachine *listed, const KrMachineType *type)
{
  return type && listed->state == KR_MACHINE_STARTING &&
         listed->age_s > type->boot_s * KR_BOOT_LATE_FACTOR;
}

static void
collect_machine (const char *id, const KrMachineRecord *record, gpointer data)
{
  const CollectContext *context = data;
  const KrListedMachine *listed = find_machine (context->provisioner, id);
  const KrMachineSummary *reported = g_hash_table_lookup (context->machines, id);
  const char *type = listed ? listed->type : reported ? reported->type : NULL;
  KrSupply *supply = g_new0 (KrSupply, 1);
  supply->id = g_strdup (id);
  supply->shard = (gint) record->shard;
  supply->type = type ? kr_node_machine_type (context->provisioner->node, type) : NULL;
  supply->zone = listed ? listed->zone : reported ? reported->zone : NULL;
  supply->spot = listed ? listed->spot : reported && reported->spot;
  supply->idle_s = reported ? reported->idle_s : -1;
  supply->drain_s = reported ? reported->drain_s : 0;
  supply->target_shard = reported ? reported->target_shard : -1;
  supply->up = !reported || reported->up;
  supply->unavailable = (reported && reported->leaving) ||
                        (listed && (listed->state == KR_MACHINE_FAILED ||
                                    (!supply->up && is_boot_overdue (listed, supply->type))));
  g_ptr_array_add (context->supplies, supply);
}

/* Adds the demands of the last summaries, which keep them, and the recorded machines as supply. */
static void
collect_demands_and_supplies (KrProvisioner *provisioner, GPtrArray *demands, GPtrArray *supplies,
                              gint64 now)
{
  g_autoptr (GHashTable) machines = g_hash_table_new (g_str_hash, g_str_equal);

  for (guint shard = 0; shard < provisioner->node->settings->shard_count; shard++) {
    const LastSummary *last = &provisioner->summaries[shard];
    if (!last->value || now - last->received_at > kr_seconds_to_us (KR_SUMMARY_MAX_AGE_S))
      continue;
    for (guint i = 0; i < last->value->demands->len; i++)
      g_ptr_array_add (demands, last->value->demands->pdata[i]);
    for (guint i = 0; i < last->value->machines->len; i++) {
      KrMachineSummary *machine = &g_array_index (last->value->machines, KrMachineSummary, i);
      g_hash_table_insert (machines, (gpointer) machine->id, machine);
    }
  }
  const CollectContext context = { provisioner, machines, supplies };
  kr_machine_records_foreach_all (provisioner->node->machine_records, collect_machine,
                                  (gpointer) &context);
}

static gboolean
has_pending (KrProvisioner *provisioner, guint shard)
{
  const KrShardSummary *summary = provisioner->summaries[shard].value;
  return summary && summary->has_pending;
}

static void
add_move_directive (const KrSupply *machine, guint to, gpointer data)
{
  add_directive (data, (guint) machine->shard, machine->id, (gint) to);
}

/* Moves machines toward the target CPUs of each shard. Busy machines are moved only once every
 * KR_REBALANCE_BUSY_INTERVAL_MS. */
static void
rebalance_shards (KrProvisioner *provisioner, GPtrArray *supplies, const double *targets,
                  gint64 now)
{
  guint shard_count = provisioner->node->settings->shard_count;
  g_autofree const char **zones = g_new0 (const char *, shard_count);
  g_autofree gboolean *pending = g_new0 (gboolean, shard_count);
  for (guint shard = 0; shard < shard_count; shard++) {
    zones[shard] = owner_zone (provisioner, shard);
    pending[shard] = has_pending (provisioner, shard);
  }
  const KrRebalanceInput in = { shard_count, targets, zones, pending,
                                now >= provisioner->next_busy_rebalance };
  kr_rebalance (&in, supplies, add_move_directive, provisioner);
  if (in.may_drain_busy)
    provisioner->next_busy_rebalance = now + KR_REBALANCE_BUSY_INTERVAL_MS * 1000;
}

/* A new leader must not rent machines that exist already. It first needs the summaries of all
 * shards (it waits at most KR_NEW_LEADER_WAIT_S for nodes that do not answer), the machine types,
 * one machine list and the relisted records. */
static gboolean
is_ready (KrProvisioner *provisioner, gint64 now)
{
  provisioner->initial_wait_over |=
      provisioner->polls_pending == 0 ||
      now - provisioner->leading_since > kr_seconds_to_us (KR_NEW_LEADER_WAIT_S);
  return provisioner->initial_wait_over && provisioner->node->machine_types &&
         provisioner->has_list && provisioner->records_relisted;
}

/* Returns idle machines that no task could use, even if all unstarted tasks ran now. */
static void
return_unneeded (KrProvisioner *provisioner, GPtrArray *demands, GPtrArray *supplies)
{
  kr_allocation_match (demands, supplies, TRUE);
  for (guint i = 0; i < supplies->len; i++) {
    const KrSupply *supply = supplies->pdata[i];
    if (supply->shard >= 0 && supply->unused > 0.999 && supply->idle_s > KR_IDLE_RETURN_S &&
        supply->target_shard < 0)
      add_directive (provisioner, (guint) supply->shard, supply->id, -1);
  }
}

/* Adds the machines that no shard's record contains to `supplies`, to which they belong. Returns
 * these alone; the caller frees the array. */
static GPtrArray *
add_unassigned_supplies (KrProvisioner *provisioner, GPtrArray *supplies, gint64 now)
{
  g_autoptr (GPtrArray) machines = unassigned_machines (provisioner, now);
  GPtrArray *unassigned = g_ptr_array_new ();
  for (guint i = 0; i < machines->len; i++) {
    const KrListedMachine *listed = machines->pdata[i];
    KrSupply *supply = g_new0 (KrSupply, 1);
    supply->id = g_strdup (listed->id);
    supply->shard = supply->target_shard = -1;
    supply->type = kr_node_machine_type (provisioner->node, listed->type);
    supply->zone = listed->zone;
    supply->spot = listed->spot;
    supply->idle_s = -1;
    g_ptr_array_add (supplies, supply);
    g_ptr_array_add (unassigned, supply);
  }
  return unassigned;
}

/* The second half of a round, after the summaries were received. With `full` unset, between two
 * rounds, it only assigns and rents machines, based on the last summaries: directives to move or
 * return machines would be sent twice. */
static void
reconcile (KrProvisioner *provisioner, gboolean full)
{
  gint64 now = kr_now ();
  guint shard_count = provisioner->node->settings->shard_count;
  g_autoptr (GPtrArray) demands = g_ptr_array_new ();
  g_autoptr (GPtrArray) supplies = g_ptr_array_new_with_free_func (kr_supply_free);
  g_autofree double *current_cpus = g_new0 (double, shard_count),
                    *targets = g_new0 (double, shard_count);
  double total_cpus = 0;

  provisioner->reconcile_at = provisioner->rent_due_at = 0;
  if (full)
    allot_write_rates (provisioner);
  if (!is_ready (provisioner, now))
    return;
  collect_demands_and_supplies (provisioner, demands, supplies, now);
  g_autoptr (GPtrArray) unassigned = add_unassigned_supplies (provisioner, supplies, now);
  for (guint i = 0; i < supplies->len; i++) {
    const KrSupply *supply = supplies->pdata[i];
    total_cpus += supply->unavailable || !supply->type ? 0 : supply->type->cpus;
  }
  kr_rebalance_count_cpus (supplies, shard_count, current_cpus);
  kr_allocation_shard_targets (demands, provisioner->node->machine_types, shard_count, total_cpus,
                               targets);

  kr_allocation_match (demands, supplies, FALSE); /* shows which machines are dedicated */
  if (unassigned->len) {
    g_autofree double *deficit = g_new0 (double, shard_count);
    for (guint shard = 0; shard < shard_count; shard++)
      deficit[shard] = MAX (0, targets[shard] - current_cpus[shard]);
    assign_machines (provisioner, unassigned, deficit);
  } else if (full)
    rebalance_shards (provisioner, supplies, targets, now);
  if (full)
    return_unneeded (provisioner, demands, supplies);
  kr_allocation_match (demands, supplies, FALSE);
  kr_rental_rent_unmet (provisioner->rental, demands);
  send_directives (provisioner);
}

/* --- machine types and machine list -------------------------------------------------- */
static void
types_done (guint status, json_t *body, gpointer data)
{
  KrProvisioner *provisioner = data;
  GPtrArray *types = status == 200 ? kr_wire_types_parse (body) : NULL;
  provisioner->types_in_flight = FALSE;
  if (!types)
    return;
  provisioner->next_types = kr_now () + KR_TYPES_INTERVAL_MS * 1000;
  if (!provisioner->node->machine_types)
    kr_info ("cloud: received %u machine types", types->len);
  g_clear_pointer (&provisioner->node->machine_types, g_ptr_array_unref);
  provisioner->node->machine_types = types;
}

static void
list_done (GPtrArray *machines, gpointer data)
{
  KrProvisioner *provisioner = data;
  provisioner->list_in_flight = FALSE;
  if (!machines)
    return;
  provisioner->has_list = TRUE;
  g_hash_table_foreach_remove (provisioner->removed, removal_expired, NULL);
  g_hash_table_remove_all (provisioner->listed);
  g_ptr_array_set_free_func (machines, NULL);
  for (guint i = 0; i < machines->len; i++) {
    KrListedMachine *listed = machines->pdata[i];
    put_listed_machine (provisioner->listed, listed);
    g_hash_table_remove (provisioner->unlisted, listed->id);
  }
  for (guint shard = 0; shard < provisioner->node->settings->shard_count; shard++)
    if (provisioner->node->shards[shard])
      kr_shard_machines_listed (provisioner->node->shards[shard], provisioner->listed);
}

static gboolean
tick (gpointer data)
{
  KrProvisioner *provisioner = data;
  gint64 now = kr_now ();
  /* A node that cannot reach the state service while a peer can does not act as the leader: another
   * node leads now or will soon, and both would rent machines for the same demand. */
  gboolean leads = kr_membership_is_leader (provisioner->node->membership) &&
                   !provisioner->node->state_unreachable,
           owns = FALSE;

  for (guint shard = 0; shard < provisioner->node->settings->shard_count; shard++)
    owns |= provisioner->node->shards[shard] != NULL;
  if (now >= provisioner->next_types && !provisioner->types_in_flight) {
    provisioner->types_in_flight = TRUE;
    provisioner->next_types = now + KR_TYPES_RETRY_MS * 1000;
    kr_cloud_list_types (provisioner->node->cloud_client, provisioner->cancel, types_done,
                         provisioner);
  }
  if (now >= provisioner->next_list && !provisioner->list_in_flight && (leads || owns)) {
    provisioner->list_in_flight = TRUE;
    provisioner->next_list =
        now + (leads ? KR_LIST_LEADER_INTERVAL_MS : KR_LIST_OWNER_INTERVAL_MS) * 1000;
    kr_cloud_list_machines (provisioner->node->cloud_client, provisioner->cancel, list_done,
                            provisioner);
  }
  if (!leads) {
    provisioner->leading_since = provisioner->reconcile_at = provisioner->rent_due_at = 0;
    provisioner->initial_wait_over = FALSE;
    return G_SOURCE_CONTINUE;
  }
  if (!provisioner->leading_since) {
    provisioner->leading_since = now;
    provisioner->next_list = provisioner->next_round = 0;
    relist_records (provisioner);
  }
  if (provisioner->reconcile_at ? now >= provisioner->reconcile_at
                                : provisioner->rent_due_at && now >= provisioner->rent_due_at)
    reconcile (provisioner, provisioner->reconcile_at != 0);
  if (now >= provisioner->next_round && !provisioner->reconcile_at) {
    /* A new leader repeats its first round at short intervals until it knows enough. */
    provisioner->next_round =
        now + (is_ready (provisioner, now) ? KR_LEADER_ROUND_MS : KR_LEADER_CHECK_MS) * 1000;
    poll_summaries (provisioner, now);
  }
  return G_SOURCE_CONTINUE;
}

static void
machine_rented (const char *id, const KrPool *pool, gpointer data)
{
  KrProvisioner *provisioner = data;
  if (kr_machine_records_find (provisioner->node->machine_records, id))
    return;
  KrListedMachine *listed = listed_machine_new (id, pool->type, pool->zone, pool->spot);
  put_listed_machine (provisioner->unlisted, listed);
}

/* More machines may be needed, from this pool or, while it is in backoff, from others. */
static void
rental_ended (gpointer data)
{
  KrProvisioner *provisioner = data;
  provisioner->rent_due_at = kr_now () + KR_RENT_INTERVAL_MS * G_GINT64_CONSTANT (1000);
}

static const KrRentalEvents rental_events = { machine_rented, rental_ended };

KrProvisioner *
kr_provisioner_new (KrNode *node)
{
  KrProvisioner *provisioner = g_new0 (KrProvisioner, 1);
  provisioner->node = node;
  provisioner->cancel = kr_cancellable_new_child (node->cancel);
  provisioner->listed =
      g_hash_table_new_full (g_str_hash, g_str_equal, NULL, kr_listed_machine_free);
  provisioner->unlisted =
      g_hash_table_new_full (g_str_hash, g_str_equal, NULL, kr_listed_machine_free);
  provisioner->removed = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  provisioner->rental = kr_rental_new (node, provisioner->cancel, &rental_events, provisioner);
  provisioner->summaries = g_new0 (LastSummary, node->settings->shard_count);
  provisioner->directives = g_new0 (json_t *, node->settings->shard_count);
  provisioner->backlogs = g_new0 (double, node->settings->peers->len + 1);
  provisioner->last_polled_at = kr_now ();
  provisioner->timer = kr_timer_add (KR_LEADER_CHECK_MS, tick, provisioner);
  tick (provisioner);
  return provisioner;
}

void
kr_provisioner_free (KrProvisioner *provisioner)
{
  kr_timer_remove (provisioner->timer);
  g_cancellable_cancel (provisioner->cancel);
}
