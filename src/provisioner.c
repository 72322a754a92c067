#include "provisioner.h"
#include "budget.h"
#include "clock.h"
#include "constants.h"
#include "http-client.h"
#include "log.h"
#include "shard.h"
#include "rebalance.h"
#include <math.h>
#include <string.h>

/* One type in one zone, spot or ordinary. */
typedef struct {
  KrProvisioner *provisioner;
  char *type, *zone;
  gboolean spot, busy;
  char *request; /* a request whose outcome is not known: repeated under its name */
  guint count;
  gint64 asked_at;     /* monotonic us */
  gint64 closed_until; /* monotonic us: refused or filled in part */
  double pause_ms;
} Pool;

typedef struct {
  json_t *value; /* a part's summary */
  gint64 at;
} Summary;

struct KrProvisioner {
  KrNode *node;
  GCancellable *cancel;
  GHashTable *listed; /* id -> KrListedMachine, of the newest list */
  GHashTable *fresh;  /* id -> KrListedMachine: rented or seen, not yet in a list */
  GHashTable *left;   /* id -> gint64*: when it left the records */
  GHashTable *pools;  /* "type zone kind" -> Pool */
  Summary *summaries; /* a part each */
  json_t **wishes;    /* a part each: what its owner shall be told */
  guint requests;
  gboolean listing, types_busy, assigning, had_list;
  gboolean records_read; /* since we lead, and since a write of ours with unknown outcome */
  /* A chunk as the first write of ours with unknown outcome expects it: each further write changes
   * it, so that one of them is carried out at most. */
  KrChunkVersion doubt;
  gboolean in_doubt;
  gint64 next_types, next_list, next_move, next_round;
  gint64 leading_since;
  gint64 rent_at;   /* monotonic us: renting goes on then, between rounds; 0: nothing to do */
  gint64 act_at;    /* monotonic us: the round goes on then, whoever has answered; 0: it has */
  guint asking;     /* exchanges of this round without an answer yet */
  double *backlogs; /* changes that wait at each node, ours first; negative: it has not told */
  gboolean heard;   /* since we lead, a round in which all parts were heard, or enough time */
  gint64 asked;     /* monotonic us: when a leader, we or another, last asked for our summaries */
  guint64 newest_leader; /* the highest token of a leader that we have heard of */
  guint timer;
};

static void
pool_free (gpointer p)
{
  Pool *pool = p;
  g_free (pool->type);
  g_free (pool->zone);
  g_free (pool->request);
  g_free (pool);
}

static KrListedMachine *
machine_new (const char *id, const char *type, const char *zone, gboolean spot)
{
  KrListedMachine *listed = g_new0 (KrListedMachine, 1);
  listed->id = g_strdup (id);
  listed->type = g_strdup (type);
  listed->zone = g_strdup (zone);
  listed->spot = spot;
  return listed;
}

static gboolean
long_gone (gpointer id, gpointer at, gpointer data)
{
  return kr_now () - *(gint64 *) at > kr_seconds_to_us (KR_REMOVED_MACHINE_MEMORY_S);
}

/* A machine is gone: a pool that refused may have one again (which, lists do not tell any more).
 * Guards against hundreds being taken at once while all pools are left alone for a minute. */
static void
reopen (KrProvisioner *provisioner)
{
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init (&it, provisioner->pools);
  while (g_hash_table_iter_next (&it, NULL, &value)) {
    Pool *pool = value;
    gint64 again = pool->asked_at + KR_POOL_REOPEN_MIN_MS * G_GINT64_CONSTANT (1000);
    pool->closed_until = MIN (pool->closed_until, MAX (again, kr_now ()));
  }
}

/* --- records ------------------------------------------------------------------------- */
void
kr_provisioner_machine_removed (KrProvisioner *provisioner, const char *id)
{
  gint64 *at = g_new (gint64, 1);
  *at = kr_now ();
  g_hash_table_replace (provisioner->left, g_strdup (id), at);
  g_hash_table_remove (provisioner->fresh, id);
  reopen (provisioner);
}

void
kr_provisioner_request_list (KrProvisioner *provisioner)
{
  provisioner->next_list = 0;
}

void
kr_provisioner_records_relisted (KrProvisioner *provisioner)
{
  provisioner->records_read = kr_membership_is_leader (provisioner->node->membership);
}

void
kr_provisioner_unassigned_reported (KrProvisioner *provisioner, const KrReport *report)
{
  /* What left the records was deleted: a late copy of its report brings it back nowhere. */
  if (!g_hash_table_contains (provisioner->fresh, report->machine) &&
      !g_hash_table_contains (provisioner->left, report->machine)) {
    kr_info ("machine %s: reports, but is in no part", report->machine);
    KrListedMachine *listed =
        machine_new (report->machine, report->type, report->zone, report->spot);
    listed->state = KR_MACHINE_RUNNING;
    g_hash_table_insert (provisioner->fresh, listed->id, listed);
  }
}

static const KrListedMachine *
find_machine (KrProvisioner *provisioner, const char *id)
{
  const KrListedMachine *listed = g_hash_table_lookup (provisioner->listed, id);
  return listed ? listed : g_hash_table_lookup (provisioner->fresh, id);
}

/* --- the exchange with owners -------------------------------------------------------- */
/* node: who sent it. Guards against a node that the state service alone does not reach: it goes on
 * for its former parts, whose machines it sees fall silent one after the other. */
static void
take_summary (KrProvisioner *provisioner, json_t *s, const char *node)
{
  json_t *shard = json_object_get (s, "Part");
  guint p = (guint) json_integer_value (shard);
  if (!json_is_integer (shard) || p >= provisioner->node->settings->shard_count ||
      !json_is_array (json_object_get (s, "Needs"))) {
    kr_info ("peers: a summary is malformed, refused");
    return;
  }
  if (g_strcmp0 (kr_membership_holder (provisioner->node->membership, p)->node, node) != 0)
    return;
  json_decref (provisioner->summaries[p].value);
  provisioner->summaries[p].value = json_incref (s);
  provisioner->summaries[p].at = kr_now ();
}

void
kr_provisioner_note_summary (KrProvisioner *provisioner, guint shard, json_t *summary)
{
  double age = kr_wall_clock_s () - json_number_value (json_object_get (summary, "At"));
  /* A scan may bring what was told in an earlier cut; and an exchange tells more. */
  if (age < KR_STORED_SUMMARY_MAX_AGE_S &&
      kr_membership_is_leader (provisioner->node->membership) &&
      kr_now () - provisioner->summaries[shard].at > kr_seconds_to_us (KR_LEADER_SILENCE_S))
    take_summary (provisioner, summary,
                  kr_membership_holder (provisioner->node->membership, shard)->node);
}

gint64
kr_provisioner_last_polled (KrProvisioner *provisioner)
{
  return provisioner->asked;
}

json_t *
kr_provisioner_build_summaries (KrProvisioner *provisioner)
{
  json_t *shards = json_array ();
  provisioner->asked = kr_now ();
  for (guint p = 0; p < provisioner->node->settings->shard_count; p++)
    if (provisioner->node->shards[p])
      json_array_append_new (shards, kr_shard_summary (provisioner->node->shards[p]));
  return json_pack ("{so sf}", "Parts", shards, "Backlog",
                    kr_node_queued_writes (provisioner->node));
}

/* Guards against a leader that does not know yet that there is a newer one. */
static gboolean
superseded (KrProvisioner *provisioner, guint64 leader)
{
  provisioner->newest_leader = MAX (provisioner->newest_leader,
                                    kr_membership_leader (provisioner->node->membership)->revision);
  if (leader && leader < provisioner->newest_leader)
    return TRUE;
  provisioner->newest_leader = MAX (provisioner->newest_leader, leader);
  return FALSE;
}

guint
kr_provisioner_handle_write_budget (KrProvisioner *provisioner, json_t *body)
{
  json_t *writes = json_object_get (body, "Writes"), *leader = json_object_get (body, "Leader");
  if (!json_is_number (writes) || !json_is_integer (leader) || !(json_number_value (writes) > 0))
    return 400;
  if (superseded (provisioner, (guint64) json_integer_value (leader)))
    return 409;
  kr_node_set_write_rate (provisioner->node, json_number_value (writes));
  return 200;
}

gboolean
kr_provisioner_apply_directives (KrProvisioner *provisioner, json_t *wishes, guint64 leader)
{
  json_t *w, *id;
  size_t i, k;

  if (superseded (provisioner, leader))
    return FALSE;
  json_array_foreach (wishes, i, w)
  {
    guint p = (guint) json_integer_value (json_object_get (w, "Part"));
    KrShard *shard =
        p < provisioner->node->settings->shard_count ? provisioner->node->shards[p] : NULL;
    json_t *to = json_object_get (w, "To");
    if (!shard)
      continue;
    json_array_foreach (json_object_get (w, "Ids"), k, id)
    {
      const char *name = json_string_value (id);
      if (name && json_is_integer (to))
        kr_shard_mark_for_move (shard, name, (guint) json_integer_value (to));
      else if (name)
        kr_shard_return_machine (shard, name);
    }
    kr_shard_move_marked (shard);
  }
  return TRUE;
}

static void act (KrProvisioner *provisioner, gboolean whole);

typedef struct {
  KrProvisioner *provisioner;
  const char *node; /* who was asked */
  guint index;      /* its place in `backlogs` */
  gint64 round;     /* its act_at */
} Asked;

static void
asked (guint status, json_t *body, gpointer data)
{
  Asked *a = data;
  KrProvisioner *provisioner = a->provisioner;
  json_t *s;
  size_t i;
  if (status == 200)
    json_array_foreach (json_object_get (body, "Parts"), i, s)
        take_summary (provisioner, s, a->node);
  json_t *backlog = json_object_get (body, "Backlog");
  if (status == 200 && provisioner->act_at == a->round && json_is_number (backlog))
    provisioner->backlogs[a->index] = json_number_value (backlog);
  if (status == 200 && provisioner->act_at == a->round && --provisioner->asking == 0)
    act (provisioner, TRUE); /* all have answered: nothing to wait for */
  g_free (a);
}

static void
fulfilled (guint status, json_t *body, gpointer data)
{
}

/* Asks every node for the summaries of its parts. */
static void
exchange (KrProvisioner *provisioner, gint64 now)
{
  const KrSettings *settings = provisioner->node->settings;
  provisioner->act_at = now + KR_LEADER_ANSWERS_MS * G_GINT64_CONSTANT (1000);
  provisioner->asking = settings->peers->len + 1;
  for (guint i = 0; i < provisioner->asking; i++)
    provisioner->backlogs[i] = -1;
  for (guint i = 0; i < settings->peers->len; i++) {
    const KrPeerSettings *peer = settings->peers->pdata[i];
    Asked *a = g_new (Asked, 1);
    *a = (Asked){ provisioner, peer->name, i + 1, provisioner->act_at };
    kr_http_client_call (provisioner->node->peer_client, "GET", peer->addr, KR_PEER_SUMMARIES, NULL,
                         KR_PEER_TIMEOUT_MS, provisioner->cancel, asked, a);
  }
  Asked *own = g_new (Asked, 1);
  *own = (Asked){ provisioner, settings->node_name, 0, provisioner->act_at };
  json_t *mine = kr_provisioner_build_summaries (provisioner);
  asked (200, mine, own);
  json_decref (mine);
}

/* The wishes for a part as a message: machines that have the same to do in one list. */
static void
wish (KrProvisioner *provisioner, guint shard, const char *id, gint to)
{
  json_t *w = NULL, *o;
  size_t i;
  if (!provisioner->wishes[shard])
    provisioner->wishes[shard] = json_array ();
  json_array_foreach (provisioner->wishes[shard], i, o)
  {
    json_t *t = json_object_get (o, "To");
    if (t ? json_integer_value (t) == to : to < 0)
      w = o;
  }
  if (!w) {
    w = json_pack ("{sI s[]}", "Part", (json_int_t) shard, "Ids");
    if (to >= 0)
      json_object_set_new (w, "To", json_integer (to));
    json_array_append_new (provisioner->wishes[shard], w);
  }
  /* What does not fit is wished again in the next round. */
  json_t *ids = json_object_get (w, "Ids");
  if (json_array_size (ids) < KR_DIRECTIVE_MACHINES_MAX)
    json_array_append_new (ids, json_string (id));
}

/* Tells the owners, each once. */
static void
send_wishes (KrProvisioner *provisioner)
{
  const KrSettings *settings = provisioner->node->settings;
  guint64 token = kr_membership_leader (provisioner->node->membership)->revision;
  for (guint p = 0; p < settings->shard_count; p++) {
    json_t *wishes = g_steal_pointer (&provisioner->wishes[p]);
    const KrHolder *holder = kr_membership_holder (provisioner->node->membership, p);
    if (wishes && holder->node && g_str_equal (holder->node, settings->node_name))
      kr_provisioner_apply_directives (provisioner, wishes, token);
    for (guint i = 0; wishes && holder->node && i < settings->peers->len; i++) {
      const KrPeerSettings *peer = settings->peers->pdata[i];
      if (g_str_equal (peer->name, holder->node))
        kr_http_client_call (provisioner->node->peer_client, "POST", peer->addr, KR_PEER_DIRECTIVES,
                             json_pack ("{sO sI}", "Wishes", wishes, "Leader", (json_int_t) token),
                             KR_PEER_TIMEOUT_MS, provisioner->cancel, fulfilled, provisioner);
    }
    json_decref (wishes);
  }
}

/* Guards against ends that wait for minutes: a swarm of small jobs in one part has more to write
 * than its owner's fixed part of the limit, while the other nodes write little. */
static void
share_writes (KrProvisioner *provisioner)
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
          KR_PEER_TIMEOUT_MS, provisioner->cancel, fulfilled, provisioner);
  }
}

/* Before machines are given out, all records are read anew: an earlier leader, or a write of ours
 * with unknown outcome, may have put them into a part already. */
static void
read_records (KrProvisioner *provisioner)
{
  provisioner->records_read = FALSE;
  kr_membership_relist (provisioner->node->membership);
}

/* --- giving new machines to parts ---------------------------------------------------- */
typedef struct {
  KrProvisioner *provisioner;
  KrRecordUpdate *draft;
} Assign;

static void
assigned (guint status, json_t *body, gpointer data)
{
  Assign *a = data;
  KrProvisioner *provisioner = a->provisioner;
  provisioner->assigning = FALSE;
  if (status == 200)
    kr_record_update_committed (a->draft, kr_wire_revision (body));
  else if (status == 0) {
    /* It may have been executed, or still be: a machine must not come into two parts. */
    if (!provisioner->in_doubt)
      provisioner->in_doubt = kr_record_update_chunk_version (a->draft, &provisioner->doubt);
    kr_info ("rent: the outcome of giving machines to parts is unknown (chunk %u/%u, revision "
             "%" G_GUINT64_FORMAT ")",
             provisioner->doubt.shard, provisioner->doubt.chunk, provisioner->doubt.revision);
    read_records (provisioner);
  }
  kr_record_update_free (a->draft);
  g_free (a);
}

static GPtrArray *
homeless (KrProvisioner *provisioner, gint64 now)
{
  GPtrArray *out = g_ptr_array_new ();
  gint64 stale =
      kr_seconds_to_us (4 * provisioner->node->settings->cloud_list_lag_s + KR_LIST_STALE_S);
  GHashTable *sources[] = { provisioner->fresh, provisioner->listed };
  GHashTableIter it;
  gpointer id, value;

  for (guint k = 0; k < G_N_ELEMENTS (sources); k++) {
    g_hash_table_iter_init (&it, sources[k]);
    while (g_hash_table_iter_next (&it, &id, &value)) {
      gint64 *left = g_hash_table_lookup (provisioner->left, id);
      if (kr_machine_records_find (provisioner->node->machine_records, id) ||
          (k == 1 && g_hash_table_contains (provisioner->fresh, id)))
        continue;
      /* Deleted ones are still listed for a while. */
      if (left && now - *left < stale)
        continue;
      g_ptr_array_add (out, value);
    }
  }
  return out;
}

/* The zone of a part's owner, or NULL. A machine in it stays in touch with its owner when zones are
 * cut off from each other. */
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

/* Where most is lacking; among parts that lack a whole machine, one owned in its zone first. */
static guint
part_for (KrProvisioner *provisioner, const KrListedMachine *listed, double cpus,
          const double *lack)
{
  guint best = 0;
  gboolean best_near = FALSE;
  for (guint p = 0; p < provisioner->node->settings->shard_count; p++) {
    gboolean near = lack[p] >= cpus && g_strcmp0 (owner_zone (provisioner, p), listed->zone) == 0;
    if (p == 0 || near > best_near || (near == best_near && lack[p] > lack[best])) {
      best = p;
      best_near = near;
    }
  }
  return best;
}

/* Each machine goes where it is lacking, all in one transaction. */
static void
assign (KrProvisioner *provisioner, GPtrArray *machines, double *lack)
{
  const KrSettings *settings = provisioner->node->settings;
  if (provisioner->assigning || !provisioner->records_read)
    return;
  Assign *a = g_new (Assign, 1);
  *a = (Assign){ provisioner, kr_record_update_new (provisioner->node->machine_records) };
  /* Guards against a write that is carried out late, when its machines have been given to others:
   * reading the records anew shows only what was carried out before. */
  if (provisioner->in_doubt &&
      kr_machine_records_changed_since (provisioner->node->machine_records, &provisioner->doubt))
    provisioner->in_doubt = FALSE;
  if (provisioner->in_doubt)
    kr_record_update_touch_chunk (a->draft, &provisioner->doubt);
  for (guint i = 0; i < machines->len && kr_record_update_ops (a->draft) < settings->state_txn_ops;
       i++) {
    const KrListedMachine *listed = machines->pdata[i];
    const KrMachineType *type = kr_node_machine_type (provisioner->node, listed->type);
    double cpus = type ? type->cpus : 0;
    guint best = part_for (provisioner, listed, cpus, lack);
    kr_record_update_add (a->draft, best, listed->id, "");
    lack[best] -= cpus;
  }
  KrTxn *txn = kr_txn_new ();
  kr_txn_expect_revision (txn, KR_LEADER_KEY,
                          kr_membership_leader (provisioner->node->membership)->revision);
  kr_record_update_add_to_txn (a->draft, txn);
  provisioner->assigning = TRUE;
  kr_state_commit (provisioner->node->state_client, txn, KR_QUEUE_HIGH, KR_STATE_TIMEOUT_MS,
                   provisioner->cancel, assigned, a);
}

/* --- renting ------------------------------------------------------------------------- */
static Pool *
find_pool (KrProvisioner *provisioner, const char *type, const char *zone, gboolean spot)
{
  g_autofree char *key = g_strdup_printf ("%s %s %d", type, zone, spot);
  Pool *pool = g_hash_table_lookup (provisioner->pools, key);
  if (!pool) {
    pool = g_new0 (Pool, 1);
    pool->provisioner = provisioner;
    pool->type = g_strdup (type);
    pool->zone = g_strdup (zone);
    pool->spot = spot;
    pool->pause_ms = KR_POOL_BACKOFF_MS;
    g_hash_table_insert (provisioner->pools, g_steal_pointer (&key), pool);
  }
  return pool;
}

static void
rented (guint status, json_t *body, gpointer data)
{
  Pool *pool = data;
  KrProvisioner *provisioner = pool->provisioner;
  gint64 now = kr_now ();
  g_auto (GStrv) ids = status == 200 ? kr_wire_rental_machines (body) : NULL;
  guint n = ids ? g_strv_length (ids) : 0;

  pool->busy = FALSE;
  if (status != 200 && status != 503 && status != 400)
    return; /* unknown: the same request again in the next period */
  for (guint i = 0; i < n; i++)
    if (!kr_machine_records_find (provisioner->node->machine_records, ids[i])) {
      KrListedMachine *listed = machine_new (ids[i], pool->type, pool->zone, pool->spot);
      g_hash_table_insert (provisioner->fresh, listed->id, listed);
    }
  kr_info ("rent: %u of %u %s %s in %s%s%s", n, pool->count, pool->spot ? "spot" : "ordinary",
           pool->type, pool->zone, n ? ", first " : "", n ? ids[0] : "");
  if (n < pool->count) {
    pool->closed_until = now + (gint64) (pool->pause_ms * 1000);
    pool->pause_ms = MIN (pool->pause_ms * 2, KR_POOL_BACKOFF_MAX_MS);
  } else
    pool->pause_ms = KR_POOL_BACKOFF_MS;
  g_clear_pointer (&pool->request, g_free);
  /* More may be wanted, here or, where this pool is closed, of others. */
  provisioner->rent_at = now + KR_RENT_INTERVAL_MS * G_GINT64_CONSTANT (1000);
}

static void
ask (KrProvisioner *provisioner, Pool *pool, guint count)
{
  if (!pool->request) {
    /* Never used before, by any node: the leader's token is this leadership's alone. */
    pool->request = g_strdup_printf ("kr-%" G_GUINT64_FORMAT "-%u",
                                     kr_membership_leader (provisioner->node->membership)->revision,
                                     ++provisioner->requests);
    pool->count = MIN (count, KR_RENT_BATCH_MAX);
  }
  pool->busy = TRUE;
  pool->asked_at = kr_now ();
  kr_cloud_rent (provisioner->node->cloud_client, pool->request, pool->type, pool->zone, pool->spot,
                 pool->count, provisioner->cancel, rented, pool);
}

typedef struct {
  const KrMachineType *type;
  gboolean spot;
  double price; /* per CPU */
} Offer;

static int
by_price (gconstpointer a, gconstpointer b)
{
  double d = ((const Offer *) a)->price - ((const Offer *) b)->price;
  return d < 0 ? -1 : d > 0;
}

/* Requests whose outcome is not known go out again under their names. */
static void
repeat_requests (KrProvisioner *provisioner)
{
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init (&it, provisioner->pools);
  while (g_hash_table_iter_next (&it, NULL, &value)) {
    Pool *pool = value;
    if (pool->request && !pool->busy)
      ask (provisioner, pool, pool->count);
  }
}

/* What can be rented, the cheapest first. */
static GArray *
offers_by_price (const GPtrArray *types)
{
  GArray *offers = g_array_new (FALSE, FALSE, sizeof (Offer));
  for (guint i = 0; i < types->len; i++) {
    const KrMachineType *type = types->pdata[i];
    Offer spot = { type, TRUE, type->spot_price / MAX (type->cpus, 1) };
    Offer ordinary = { type, FALSE, type->price / MAX (type->cpus, 1) };
    if (type->spot_price > 0)
      g_array_append_val (offers, spot);
    g_array_append_val (offers, ordinary);
  }
  g_array_sort (offers, by_price);
  return offers;
}

static gboolean
any_spot_open (KrProvisioner *provisioner, gint64 now)
{
  GHashTableIter it;
  gpointer value;
  gboolean open = FALSE;
  g_hash_table_iter_init (&it, provisioner->pools);
  while (g_hash_table_iter_next (&it, NULL, &value)) {
    const Pool *pool = value;
    open |= pool->spot && (pool->busy || now >= pool->closed_until);
  }
  return open;
}

static GPtrArray *
open_pools (KrProvisioner *provisioner, const Offer *offer, gint64 now)
{
  GPtrArray *open = g_ptr_array_new ();
  for (char **zone = offer->type->zones; *zone; zone++) {
    Pool *pool = find_pool (provisioner, offer->type->name, *zone, offer->spot);
    if (!pool->busy && !pool->request && now >= pool->closed_until)
      g_ptr_array_add (open, pool);
  }
  return open;
}

static gboolean
offer_serves (const Offer *offer, const Pool *pool, const KrDemand *need, gboolean spot_open)
{
  /* Work that may use spot gets ordinary machines only when spot ones are refused. */
  if (need->unmet_slots <= 1e-9 || (!offer->spot && need->requirements->spot_allowed && spot_open))
    return FALSE;
  return kr_placement_allowed (need->requirements, offer->type->name, pool->zone, offer->spot) &&
         kr_placement_fits_type (need->requirements, offer->type);
}

/* Asks a pool for its share, one of `pools` that are left, of what is unmet. */
static void
rent_from (KrProvisioner *provisioner, const Offer *offer, Pool *pool, guint pools,
           GPtrArray *needs, gboolean spot_open)
{
  double machines = 0;
  g_autofree double *taken = g_new0 (double, needs->len);
  for (guint i = 0; i < needs->len; i++) {
    const KrDemand *need = needs->pdata[i];
    if (!offer_serves (offer, pool, need, spot_open))
      continue;
    taken[i] = need->requirements->zone ? need->unmet_slots : need->unmet_slots / pools;
    machines += taken[i] * kr_placement_machine_share (need->requirements, offer->type);
  }
  /* What is over a call's size is left to the other pools: a thousand machines from one, 50 at a
   * time, would come late. */
  double asked = machines > 0 ? MIN (1, KR_RENT_BATCH_MAX / machines) : 0;
  for (guint i = 0; i < needs->len; i++)
    ((KrDemand *) needs->pdata[i])->unmet_slots -= taken[i] * asked;
  if (machines > KR_RENT_MIN_MACHINES)
    ask (provisioner, pool, (guint) ceil (machines));
}

/* What no machine will serve is asked of the cheapest open pools: one call a type and zone. */
static void
rent_unmet (KrProvisioner *provisioner, GPtrArray *needs, gint64 now)
{
  repeat_requests (provisioner);
  g_autoptr (GArray) offers = offers_by_price (provisioner->node->machine_types);
  gboolean spot_open = any_spot_open (provisioner, now);
  for (guint i = 0; i < offers->len; i++) {
    const Offer *offer = &g_array_index (offers, Offer, i);
    g_autoptr (GPtrArray) open = open_pools (provisioner, offer, now);
    for (guint k = 0; k < open->len; k++)
      rent_from (provisioner, offer, open->pdata[k], open->len - k, needs, spot_open);
  }
}

/* --- the leader's round -------------------------------------------------------------- */
static KrDemand *
need_parse (json_t *o, guint shard)
{
  KrDemand *need = g_new0 (KrDemand, 1);
  json_t *types = json_object_get (o, "Types"), *t;
  size_t i;
  need->shard = shard;
  need->requirements = g_new0 (KrJobSpec, 1);
  if (json_is_array (types)) {
    need->requirements->types = g_new0 (char *, json_array_size (types) + 1);
    json_array_foreach (types, i, t) need->requirements->types[i] =
        g_strdup (json_string_value (t));
  }
  need->requirements->zone = g_strdup (json_string_value (json_object_get (o, "Zone")));
  need->requirements->spot_allowed = json_is_true (json_object_get (o, "Spot"));
  need->requirements->cpus = json_number_value (json_object_get (o, "Cpus"));
  need->requirements->gpus = json_number_value (json_object_get (o, "Gpus"));
  need->requirements->mem_gb = json_number_value (json_object_get (o, "Mem"));
  need->goal_slots = json_number_value (json_object_get (o, "Slots"));
  /* Not told by earlier versions: */
  need->starved_slots = json_number_value (json_object_get (o, "First"));
  json_t *most = json_object_get (o, "Most");
  need->max_slots = json_is_number (most) ? json_number_value (most) : need->goal_slots;
  need->urgent = json_is_true (json_object_get (o, "Urgent"));
  return need;
}

typedef struct {
  KrProvisioner *provisioner;
  GHashTable *machines; /* id -> json_t, of the summaries */
  GPtrArray *supplies;
} Collect;

/* Guards against machines that come up late or never: what they were rented for is rented
 * elsewhere. One that comes up after all is used, or goes back as not needed. */
static gboolean
overdue (const KrListedMachine *listed, const KrMachineType *type)
{
  return type && listed->state == KR_MACHINE_STARTING &&
         listed->age_s > type->boot_s * KR_BOOT_LATE_FACTOR;
}

static void
collect_member (const char *id, const KrMachineRecord *member, gpointer data)
{
  const Collect *c = data;
  const KrListedMachine *listed = find_machine (c->provisioner, id);
  json_t *b = g_hash_table_lookup (c->machines, id);
  const char *type = listed ? listed->type : json_string_value (json_object_get (b, "Type"));
  KrSupply *supply = g_new0 (KrSupply, 1);
  supply->id = g_strdup (id);
  supply->shard = (gint) member->shard;
  supply->type = type ? kr_node_machine_type (c->provisioner->node, type) : NULL;
  supply->zone = listed ? listed->zone : NULL;
  supply->spot = listed ? listed->spot : json_is_true (json_object_get (b, "Spot"));
  supply->idle_s = b ? json_number_value (json_object_get (b, "Idle")) : -1;
  supply->drain_s = json_number_value (json_object_get (b, "Rest"));
  supply->target_shard = b ? (gint) json_integer_value (json_object_get (b, "To")) : -1;
  supply->up = !b || json_is_true (json_object_get (b, "Up"));
  supply->unavailable = json_is_true (json_object_get (b, "Going")) ||
                        (listed && (listed->state == KR_MACHINE_FAILED ||
                                    (!supply->up && overdue (listed, supply->type))));
  g_ptr_array_add (c->supplies, supply);
}

static void
collect (KrProvisioner *provisioner, GPtrArray *needs, GPtrArray *supplies, gint64 now)
{
  g_autoptr (GHashTable) machines = g_hash_table_new (g_str_hash, g_str_equal);
  json_t *o;
  size_t i;

  for (guint p = 0; p < provisioner->node->settings->shard_count; p++) {
    Summary *summary = &provisioner->summaries[p];
    if (!summary->value || now - summary->at > kr_seconds_to_us (KR_SUMMARY_MAX_AGE_S))
      continue;
    json_array_foreach (json_object_get (summary->value, "Needs"), i, o)
        g_ptr_array_add (needs, need_parse (o, p));
    json_array_foreach (json_object_get (summary->value, "Berths"), i, o)
        g_hash_table_insert (machines, (gpointer) json_string_value (json_object_get (o, "Id")), o);
  }
  const Collect c = { provisioner, machines, supplies };
  kr_machine_records_foreach_all (provisioner->node->machine_records, collect_member,
                                  (gpointer) &c);
}

static gboolean
waiting (KrProvisioner *provisioner, guint shard)
{
  return json_is_true (json_object_get (provisioner->summaries[shard].value, "Waiting"));
}

static void
moved (const KrSupply *machine, guint to, gpointer data)
{
  wish (data, (guint) machine->shard, machine->id, (gint) to);
}

/* Toward each part's share; busy machines once a period. */
static void
rebalance (KrProvisioner *provisioner, GPtrArray *supplies, const double *targets, gint64 now)
{
  guint size = provisioner->node->settings->shard_count;
  g_autofree const char **zones = g_new0 (const char *, size);
  g_autofree gboolean *waits = g_new0 (gboolean, size);
  for (guint p = 0; p < size; p++) {
    zones[p] = owner_zone (provisioner, p);
    waits[p] = waiting (provisioner, p);
  }
  const KrRebalanceInput in = { size, targets, zones, waits, now >= provisioner->next_move };
  kr_rebalance (&in, supplies, moved, provisioner);
  if (in.may_drain_busy)
    provisioner->next_move = now + KR_REBALANCE_BUSY_INTERVAL_MS * 1000;
}

/* A new leader must not rent what is there already: first it hears all parts, or waits a while for
 * those that do not answer, and sees one list. */
static gboolean
knows_enough (KrProvisioner *provisioner, gint64 now)
{
  provisioner->heard |= provisioner->asking == 0 ||
                        now - provisioner->leading_since > kr_seconds_to_us (KR_NEW_LEADER_WAIT_S);
  return provisioner->heard && provisioner->node->machine_types && provisioner->had_list &&
         provisioner->records_read;
}

/* What nothing that could run would use. */
static void
return_idle (KrProvisioner *provisioner, GPtrArray *needs, GPtrArray *supplies)
{
  kr_allocation_match (needs, supplies, TRUE);
  for (guint i = 0; i < supplies->len; i++) {
    const KrSupply *supply = supplies->pdata[i];
    if (supply->shard >= 0 && supply->unused > 0.999 && supply->idle_s > KR_IDLE_RETURN_S &&
        supply->target_shard < 0)
      wish (provisioner, (guint) supply->shard, supply->id, -1);
  }
}

/* The round's second half, once the parts have been heard. Not whole: only what is rented and given
 * out, from what they said last; machines that are wished to move or go would be wished so twice.
 */
static void
act (KrProvisioner *provisioner, gboolean whole)
{
  gint64 now = kr_now ();
  guint size = provisioner->node->settings->shard_count;
  g_autoptr (GPtrArray) needs = g_ptr_array_new_with_free_func (kr_demand_free);
  g_autoptr (GPtrArray) supplies = g_ptr_array_new_with_free_func (kr_supply_free);
  g_autofree double *have = g_new0 (double, size), *targets = g_new0 (double, size);
  double all = 0;

  provisioner->act_at = provisioner->rent_at = 0;
  if (whole)
    share_writes (provisioner);
  if (!knows_enough (provisioner, now))
    return;
  collect (provisioner, needs, supplies, now);
  g_autoptr (GPtrArray) news = homeless (provisioner, now);
  for (guint i = 0; i < news->len; i++) {
    const KrListedMachine *listed = news->pdata[i];
    KrSupply *supply = g_new0 (KrSupply, 1);
    supply->id = g_strdup (listed->id);
    supply->shard = supply->target_shard = -1;
    supply->type = kr_node_machine_type (provisioner->node, listed->type);
    supply->zone = listed->zone;
    supply->spot = listed->spot;
    supply->idle_s = -1;
    g_ptr_array_add (supplies, supply);
  }
  for (guint i = 0; i < supplies->len; i++) {
    const KrSupply *supply = supplies->pdata[i];
    all += supply->unavailable || !supply->type ? 0 : supply->type->cpus;
  }
  kr_rebalance_count_cpus (supplies, size, have);
  kr_allocation_shard_targets (needs, provisioner->node->machine_types, size, all, targets);

  if (news->len) {
    g_autofree double *lack = g_new0 (double, size);
    for (guint p = 0; p < size; p++)
      lack[p] = MAX (0, targets[p] - have[p]);
    assign (provisioner, news, lack);
  } else if (whole)
    rebalance (provisioner, supplies, targets, now);
  if (whole)
    return_idle (provisioner, needs, supplies);
  kr_allocation_match (needs, supplies, FALSE);
  rent_unmet (provisioner, needs, now);
  send_wishes (provisioner);
}

/* --- reading the cloud --------------------------------------------------------------- */
static void
types_read (guint status, json_t *body, gpointer data)
{
  KrProvisioner *provisioner = data;
  GPtrArray *types = status == 200 ? kr_wire_types_parse (body) : NULL;
  provisioner->types_busy = FALSE;
  if (!types)
    return;
  provisioner->next_types = kr_now () + KR_TYPES_INTERVAL_MS * 1000;
  if (!provisioner->node->machine_types)
    kr_info ("cloud: %u machine types", types->len);
  g_clear_pointer (&provisioner->node->machine_types, g_ptr_array_unref);
  provisioner->node->machine_types = types;
}

static void
list_read (GPtrArray *machines, gpointer data)
{
  KrProvisioner *provisioner = data;
  provisioner->listing = FALSE;
  if (!machines)
    return;
  provisioner->had_list = TRUE;
  g_hash_table_foreach_remove (provisioner->left, long_gone, NULL);
  g_hash_table_remove_all (provisioner->listed);
  g_ptr_array_set_free_func (machines, NULL);
  for (guint i = 0; i < machines->len; i++) {
    KrListedMachine *listed = machines->pdata[i];
    g_hash_table_replace (provisioner->listed, listed->id, listed);
    g_hash_table_remove (provisioner->fresh, listed->id);
  }
  for (guint p = 0; p < provisioner->node->settings->shard_count; p++)
    if (provisioner->node->shards[p])
      kr_shard_machines_listed (provisioner->node->shards[p], provisioner->listed);
}

static gboolean
tick (gpointer data)
{
  KrProvisioner *provisioner = data;
  gint64 now = kr_now ();
  /* Not where a peer reaches the state service and we do not: another one leads now or soon, and
   * both would rent for the same work. */
  gboolean leads = kr_membership_is_leader (provisioner->node->membership) &&
                   !provisioner->node->state_unreachable,
           owns = FALSE;

  for (guint p = 0; p < provisioner->node->settings->shard_count; p++)
    owns |= provisioner->node->shards[p] != NULL;
  if (now >= provisioner->next_types && !provisioner->types_busy) {
    provisioner->types_busy = TRUE;
    provisioner->next_types = now + KR_TYPES_RETRY_MS * 1000;
    kr_cloud_list_types (provisioner->node->cloud_client, provisioner->cancel, types_read,
                         provisioner);
  }
  if (now >= provisioner->next_list && !provisioner->listing && (leads || owns)) {
    provisioner->listing = TRUE;
    provisioner->next_list =
        now + (leads ? KR_LIST_LEADER_INTERVAL_MS : KR_LIST_OWNER_INTERVAL_MS) * 1000;
    kr_cloud_list_machines (provisioner->node->cloud_client, provisioner->cancel, list_read,
                            provisioner);
  }
  if (!leads) {
    provisioner->leading_since = provisioner->act_at = provisioner->rent_at = 0;
    provisioner->heard = FALSE;
    return G_SOURCE_CONTINUE;
  }
  if (!provisioner->leading_since) {
    provisioner->leading_since = now;
    provisioner->next_list = provisioner->next_round = 0;
    read_records (provisioner);
  }
  if (provisioner->act_at ? now >= provisioner->act_at
                          : provisioner->rent_at && now >= provisioner->rent_at)
    act (provisioner, provisioner->act_at != 0);
  if (now >= provisioner->next_round && !provisioner->act_at) {
    /* While there is something to wait for, the first round begins again and again. */
    provisioner->next_round =
        now + (knows_enough (provisioner, now) ? KR_LEADER_ROUND_MS : KR_LEADER_CHECK_MS) * 1000;
    exchange (provisioner, now);
  }
  return G_SOURCE_CONTINUE;
}

KrProvisioner *
kr_provisioner_new (KrNode *node)
{
  KrProvisioner *provisioner = g_new0 (KrProvisioner, 1);
  provisioner->node = node;
  provisioner->cancel = kr_cancellable_new_child (node->cancel);
  provisioner->listed =
      g_hash_table_new_full (g_str_hash, g_str_equal, NULL, kr_listed_machine_free);
  provisioner->fresh =
      g_hash_table_new_full (g_str_hash, g_str_equal, NULL, kr_listed_machine_free);
  provisioner->left = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  provisioner->pools = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, pool_free);
  provisioner->summaries = g_new0 (Summary, node->settings->shard_count);
  provisioner->wishes = g_new0 (json_t *, node->settings->shard_count);
  provisioner->backlogs = g_new0 (double, node->settings->peers->len + 1);
  provisioner->asked = kr_now ();
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
