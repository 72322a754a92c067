#include "rent.h"
#include "budget.h"
#include "clock.h"
#include "constants.h"
#include "http-client.h"
#include "log.h"
#include "part.h"
#include "rebalance.h"
#include <math.h>
#include <string.h>

/* One type in one zone, spot or ordinary. */
typedef struct {
  KrRent *rent;
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

struct KrRent {
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
  KrChunkMark doubt;
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
  return kr_now () - *(gint64 *) at > kr_seconds (KR_LEFT_MEMORY_S);
}

/* A machine is gone: a pool that refused may have one again (which, lists do not tell any more).
 * Guards against hundreds being taken at once while all pools are left alone for a minute. */
static void
reopen (KrRent *rent)
{
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init (&it, rent->pools);
  while (g_hash_table_iter_next (&it, NULL, &value)) {
    Pool *pool = value;
    gint64 again = pool->asked_at + KR_REOPEN_MS * G_GINT64_CONSTANT (1000);
    pool->closed_until = MIN (pool->closed_until, MAX (again, kr_now ()));
  }
}

/* --- records ------------------------------------------------------------------------- */
void
kr_rent_left (KrRent *rent, const char *id)
{
  gint64 *at = g_new (gint64, 1);
  *at = kr_now ();
  g_hash_table_replace (rent->left, g_strdup (id), at);
  g_hash_table_remove (rent->fresh, id);
  reopen (rent);
}

void
kr_rent_list_soon (KrRent *rent)
{
  rent->next_list = 0;
}

void
kr_rent_scanned (KrRent *rent)
{
  rent->records_read = kr_membership_leads (rent->node->membership);
}

void
kr_rent_seen (KrRent *rent, const KrReport *report)
{
  /* What left the records was deleted: a late copy of its report brings it back nowhere. */
  if (!g_hash_table_contains (rent->fresh, report->machine) &&
      !g_hash_table_contains (rent->left, report->machine)) {
    kr_info ("machine %s: reports, but is in no part", report->machine);
    KrListedMachine *listed =
        machine_new (report->machine, report->type, report->zone, report->spot);
    listed->state = KR_MACHINE_RUNNING;
    g_hash_table_insert (rent->fresh, listed->id, listed);
  }
}

static const KrListedMachine *
find_machine (KrRent *rent, const char *id)
{
  const KrListedMachine *listed = g_hash_table_lookup (rent->listed, id);
  return listed ? listed : g_hash_table_lookup (rent->fresh, id);
}

/* --- the exchange with owners -------------------------------------------------------- */
/* node: who sent it. Guards against a node that the state service alone does not reach: it goes on
 * for its former parts, whose machines it sees fall silent one after the other. */
static void
take_summary (KrRent *rent, json_t *s, const char *node)
{
  json_t *part = json_object_get (s, "Part");
  guint p = (guint) json_integer_value (part);
  if (!json_is_integer (part) || p >= rent->node->settings->size ||
      !json_is_array (json_object_get (s, "Needs"))) {
    kr_info ("peers: a summary is malformed, refused");
    return;
  }
  if (g_strcmp0 (kr_membership_holder (rent->node->membership, p)->node, node) != 0)
    return;
  json_decref (rent->summaries[p].value);
  rent->summaries[p].value = json_incref (s);
  rent->summaries[p].at = kr_now ();
}

void
kr_rent_needs (KrRent *rent, guint part, json_t *summary)
{
  double age = kr_time_of_day () - json_number_value (json_object_get (summary, "At"));
  /* A scan may bring what was told in an earlier cut; and an exchange tells more. */
  if (age < KR_TOLD_S && kr_membership_leads (rent->node->membership) &&
      kr_now () - rent->summaries[part].at > kr_seconds (KR_UNASKED_S))
    take_summary (rent, summary, kr_membership_holder (rent->node->membership, part)->node);
}

gint64
kr_rent_asked (KrRent *rent)
{
  return rent->asked;
}

json_t *
kr_rent_summaries (KrRent *rent)
{
  json_t *parts = json_array ();
  rent->asked = kr_now ();
  for (guint p = 0; p < rent->node->settings->size; p++)
    if (rent->node->parts[p])
      json_array_append_new (parts, kr_part_summary (rent->node->parts[p]));
  return json_pack ("{so sf}", "Parts", parts, "Backlog", kr_node_waiting_writes (rent->node));
}

/* Guards against a leader that does not know yet that there is a newer one. */
static gboolean
superseded (KrRent *rent, guint64 leader)
{
  rent->newest_leader =
      MAX (rent->newest_leader, kr_membership_leader (rent->node->membership)->revision);
  if (leader && leader < rent->newest_leader)
    return TRUE;
  rent->newest_leader = MAX (rent->newest_leader, leader);
  return FALSE;
}

guint
kr_rent_budget (KrRent *rent, json_t *body)
{
  json_t *writes = json_object_get (body, "Writes"), *leader = json_object_get (body, "Leader");
  if (!json_is_number (writes) || !json_is_integer (leader) || !(json_number_value (writes) > 0))
    return 400;
  if (superseded (rent, (guint64) json_integer_value (leader)))
    return 409;
  kr_node_allot_writes (rent->node, json_number_value (writes));
  return 200;
}

gboolean
kr_rent_fulfil (KrRent *rent, json_t *wishes, guint64 leader)
{
  json_t *w, *id;
  size_t i, k;

  if (superseded (rent, leader))
    return FALSE;
  json_array_foreach (wishes, i, w)
  {
    guint p = (guint) json_integer_value (json_object_get (w, "Part"));
    KrPart *part = p < rent->node->settings->size ? rent->node->parts[p] : NULL;
    json_t *to = json_object_get (w, "To");
    if (!part)
      continue;
    json_array_foreach (json_object_get (w, "Ids"), k, id)
    {
      const char *name = json_string_value (id);
      if (name && json_is_integer (to))
        kr_part_give (part, name, (guint) json_integer_value (to));
      else if (name)
        kr_part_return (part, name);
    }
    kr_part_moves (part);
  }
  return TRUE;
}

static void act (KrRent *rent, gboolean whole);

typedef struct {
  KrRent *rent;
  const char *node; /* who was asked */
  guint index;      /* its place in `backlogs` */
  gint64 round;     /* its act_at */
} Asked;

static void
asked (guint status, json_t *body, gpointer data)
{
  Asked *a = data;
  KrRent *rent = a->rent;
  json_t *s;
  size_t i;
  if (status == 200)
    json_array_foreach (json_object_get (body, "Parts"), i, s) take_summary (rent, s, a->node);
  json_t *backlog = json_object_get (body, "Backlog");
  if (status == 200 && rent->act_at == a->round && json_is_number (backlog))
    rent->backlogs[a->index] = json_number_value (backlog);
  if (status == 200 && rent->act_at == a->round && --rent->asking == 0)
    act (rent, TRUE); /* all have answered: nothing to wait for */
  g_free (a);
}

static void
fulfilled (guint status, json_t *body, gpointer data)
{
}

/* Asks every node for the summaries of its parts. */
static void
exchange (KrRent *rent, gint64 now)
{
  const KrSettings *settings = rent->node->settings;
  rent->act_at = now + KR_ANSWERS_MS * G_GINT64_CONSTANT (1000);
  rent->asking = settings->others->len + 1;
  for (guint i = 0; i < rent->asking; i++)
    rent->backlogs[i] = -1;
  for (guint i = 0; i < settings->others->len; i++) {
    const KrPeerSettings *peer = settings->others->pdata[i];
    Asked *a = g_new (Asked, 1);
    *a = (Asked){ rent, peer->name, i + 1, rent->act_at };
    kr_client_call (rent->node->peers, "GET", peer->addr, KR_PEER_SUMMARIES, NULL,
                    KR_PEER_TIMEOUT_MS, rent->cancel, asked, a);
  }
  Asked *own = g_new (Asked, 1);
  *own = (Asked){ rent, settings->node_name, 0, rent->act_at };
  json_t *mine = kr_rent_summaries (rent);
  asked (200, mine, own);
  json_decref (mine);
}

/* The wishes for a part as a message: machines that have the same to do in one list. */
static void
wish (KrRent *rent, guint part, const char *id, gint to)
{
  json_t *w = NULL, *o;
  size_t i;
  if (!rent->wishes[part])
    rent->wishes[part] = json_array ();
  json_array_foreach (rent->wishes[part], i, o)
  {
    json_t *t = json_object_get (o, "To");
    if (t ? json_integer_value (t) == to : to < 0)
      w = o;
  }
  if (!w) {
    w = json_pack ("{sI s[]}", "Part", (json_int_t) part, "Ids");
    if (to >= 0)
      json_object_set_new (w, "To", json_integer (to));
    json_array_append_new (rent->wishes[part], w);
  }
  /* What does not fit is wished again in the next round. */
  json_t *ids = json_object_get (w, "Ids");
  if (json_array_size (ids) < KR_WISHES_MAX)
    json_array_append_new (ids, json_string (id));
}

/* Tells the owners, each once. */
static void
send_wishes (KrRent *rent)
{
  const KrSettings *settings = rent->node->settings;
  guint64 token = kr_membership_leader (rent->node->membership)->revision;
  for (guint p = 0; p < settings->size; p++) {
    json_t *wishes = g_steal_pointer (&rent->wishes[p]);
    const KrHolder *holder = kr_membership_holder (rent->node->membership, p);
    if (wishes && holder->node && g_str_equal (holder->node, settings->node_name))
      kr_rent_fulfil (rent, wishes, token);
    for (guint i = 0; wishes && holder->node && i < settings->others->len; i++) {
      const KrPeerSettings *peer = settings->others->pdata[i];
      if (g_str_equal (peer->name, holder->node))
        kr_client_call (rent->node->peers, "POST", peer->addr, KR_PEER_WISHES,
                        json_pack ("{sO sI}", "Wishes", wishes, "Leader", (json_int_t) token),
                        KR_PEER_TIMEOUT_MS, rent->cancel, fulfilled, rent);
    }
    json_decref (wishes);
  }
}

/* Guards against ends that wait for minutes: a swarm of small jobs in one part has more to write
 * than its owner's fixed part of the limit, while the other nodes write little. */
static void
share_writes (KrRent *rent)
{
  const KrSettings *settings = rent->node->settings;
  guint nodes = settings->others->len + 1;
  g_autofree double *base = g_new (double, nodes), *allotted = g_new (double, nodes);
  guint64 token = kr_membership_leader (rent->node->membership)->revision;

  base[0] = kr_node_base_writes (rent->node, settings->node_name);
  for (guint i = 1; i < nodes; i++)
    base[i] =
        kr_node_base_writes (rent->node, ((KrPeerSettings *) settings->others->pdata[i - 1])->name);
  if (!kr_budget_allot (base, rent->backlogs, nodes, allotted))
    return;
  kr_node_allot_writes (rent->node, allotted[0]);
  for (guint i = 1; i < nodes; i++) {
    const KrPeerSettings *peer = settings->others->pdata[i - 1];
    if (rent->backlogs[i] >= 0)
      kr_client_call (rent->node->peers, "POST", peer->addr, KR_PEER_BUDGET,
                      json_pack ("{sI sf}", "Leader", (json_int_t) token, "Writes", allotted[i]),
                      KR_PEER_TIMEOUT_MS, rent->cancel, fulfilled, rent);
  }
}

/* Before machines are given out, all records are read anew: an earlier leader, or a write of ours
 * with unknown outcome, may have put them into a part already. */
static void
read_records (KrRent *rent)
{
  rent->records_read = FALSE;
  kr_membership_rescan (rent->node->membership);
}

/* --- giving new machines to parts ---------------------------------------------------- */
typedef struct {
  KrRent *rent;
  KrDraft *draft;
} Assign;

static void
assigned (guint status, json_t *body, gpointer data)
{
  Assign *a = data;
  KrRent *rent = a->rent;
  rent->assigning = FALSE;
  if (status == 200)
    kr_draft_done (a->draft, kr_wire_revision (body));
  else if (status == 0) {
    /* It may have been executed, or still be: a machine must not come into two parts. */
    if (!rent->in_doubt)
      rent->in_doubt = kr_draft_mark (a->draft, &rent->doubt);
    kr_info ("rent: the outcome of giving machines to parts is unknown (chunk %u/%u, revision "
             "%" G_GUINT64_FORMAT ")",
             rent->doubt.part, rent->doubt.chunk, rent->doubt.revision);
    read_records (rent);
  }
  kr_draft_free (a->draft);
  g_free (a);
}

static GPtrArray *
homeless (KrRent *rent, gint64 now)
{
  GPtrArray *out = g_ptr_array_new ();
  gint64 stale = kr_seconds (4 * rent->node->settings->cloud_list_lag_s + KR_STALE_LIST_S);
  GHashTable *sources[] = { rent->fresh, rent->listed };
  GHashTableIter it;
  gpointer id, value;

  for (guint k = 0; k < G_N_ELEMENTS (sources); k++) {
    g_hash_table_iter_init (&it, sources[k]);
    while (g_hash_table_iter_next (&it, &id, &value)) {
      gint64 *left = g_hash_table_lookup (rent->left, id);
      if (kr_records_find (rent->node->records, id) ||
          (k == 1 && g_hash_table_contains (rent->fresh, id)))
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
owner_zone (KrRent *rent, guint part)
{
  const KrSettings *settings = rent->node->settings;
  const KrHolder *holder = kr_membership_holder (rent->node->membership, part);
  if (!holder->node || g_str_equal (holder->node, settings->node_name))
    return holder->node ? settings->zone : NULL;
  for (guint i = 0; i < settings->others->len; i++) {
    const KrPeerSettings *peer = settings->others->pdata[i];
    if (g_str_equal (peer->name, holder->node))
      return peer->zone;
  }
  return NULL;
}

/* Where most is lacking; among parts that lack a whole machine, one owned in its zone first. */
static guint
part_for (KrRent *rent, const KrListedMachine *listed, double cpus, const double *lack)
{
  guint best = 0;
  gboolean best_near = FALSE;
  for (guint p = 0; p < rent->node->settings->size; p++) {
    gboolean near = lack[p] >= cpus && g_strcmp0 (owner_zone (rent, p), listed->zone) == 0;
    if (p == 0 || near > best_near || (near == best_near && lack[p] > lack[best])) {
      best = p;
      best_near = near;
    }
  }
  return best;
}

/* Each machine goes where it is lacking, all in one transaction. */
static void
assign (KrRent *rent, GPtrArray *machines, double *lack)
{
  const KrSettings *settings = rent->node->settings;
  if (rent->assigning || !rent->records_read)
    return;
  Assign *a = g_new (Assign, 1);
  *a = (Assign){ rent, kr_draft_new (rent->node->records) };
  /* Guards against a write that is carried out late, when its machines have been given to others:
   * reading the records anew shows only what was carried out before. */
  if (rent->in_doubt && kr_records_changed_since (rent->node->records, &rent->doubt))
    rent->in_doubt = FALSE;
  if (rent->in_doubt)
    kr_draft_touch_chunk (a->draft, &rent->doubt);
  for (guint i = 0; i < machines->len && kr_draft_ops (a->draft) < settings->state_txn_ops; i++) {
    const KrListedMachine *listed = machines->pdata[i];
    const KrType *type = kr_node_type (rent->node, listed->type);
    double cpus = type ? type->cpus : 0;
    guint best = part_for (rent, listed, cpus, lack);
    kr_draft_add (a->draft, best, listed->id, "");
    lack[best] -= cpus;
  }
  KrTxn *txn = kr_txn_new ();
  kr_txn_when (txn, KR_LEADER_KEY, kr_membership_leader (rent->node->membership)->revision);
  kr_draft_write (a->draft, txn);
  rent->assigning = TRUE;
  kr_state_commit (rent->node->state, txn, KR_FIRST, KR_STATE_TIMEOUT_MS, rent->cancel, assigned,
                   a);
}

/* --- renting ------------------------------------------------------------------------- */
static Pool *
find_pool (KrRent *rent, const char *type, const char *zone, gboolean spot)
{
  g_autofree char *key = g_strdup_printf ("%s %s %d", type, zone, spot);
  Pool *pool = g_hash_table_lookup (rent->pools, key);
  if (!pool) {
    pool = g_new0 (Pool, 1);
    pool->rent = rent;
    pool->type = g_strdup (type);
    pool->zone = g_strdup (zone);
    pool->spot = spot;
    pool->pause_ms = KR_BACKOFF_MS;
    g_hash_table_insert (rent->pools, g_steal_pointer (&key), pool);
  }
  return pool;
}

static void
rented (guint status, json_t *body, gpointer data)
{
  Pool *pool = data;
  KrRent *rent = pool->rent;
  gint64 now = kr_now ();
  g_auto (GStrv) ids = status == 200 ? kr_wire_rental_machines (body) : NULL;
  guint n = ids ? g_strv_length (ids) : 0;

  pool->busy = FALSE;
  if (status != 200 && status != 503 && status != 400)
    return; /* unknown: the same request again in the next period */
  for (guint i = 0; i < n; i++)
    if (!kr_records_find (rent->node->records, ids[i])) {
      KrListedMachine *listed = machine_new (ids[i], pool->type, pool->zone, pool->spot);
      g_hash_table_insert (rent->fresh, listed->id, listed);
    }
  kr_info ("rent: %u of %u %s %s in %s%s%s", n, pool->count, pool->spot ? "spot" : "ordinary",
           pool->type, pool->zone, n ? ", first " : "", n ? ids[0] : "");
  if (n < pool->count) {
    pool->closed_until = now + (gint64) (pool->pause_ms * 1000);
    pool->pause_ms = MIN (pool->pause_ms * 2, KR_BACKOFF_MAX_MS);
  } else
    pool->pause_ms = KR_BACKOFF_MS;
  g_clear_pointer (&pool->request, g_free);
  /* More may be wanted, here or, where this pool is closed, of others. */
  rent->rent_at = now + KR_RENT_MS * G_GINT64_CONSTANT (1000);
}

static void
ask (KrRent *rent, Pool *pool, guint count)
{
  if (!pool->request) {
    /* Never used before, by any node: the leader's token is this leadership's alone. */
    pool->request =
        g_strdup_printf ("kr-%" G_GUINT64_FORMAT "-%u",
                         kr_membership_leader (rent->node->membership)->revision, ++rent->requests);
    pool->count = MIN (count, KR_RENT_MAX);
  }
  pool->busy = TRUE;
  pool->asked_at = kr_now ();
  kr_cloud_rent (rent->node->cloud, pool->request, pool->type, pool->zone, pool->spot, pool->count,
                 rent->cancel, rented, pool);
}

typedef struct {
  const KrType *type;
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
repeat_requests (KrRent *rent)
{
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init (&it, rent->pools);
  while (g_hash_table_iter_next (&it, NULL, &value)) {
    Pool *pool = value;
    if (pool->request && !pool->busy)
      ask (rent, pool, pool->count);
  }
}

/* What can be rented, the cheapest first. */
static GArray *
offers_by_price (const GPtrArray *types)
{
  GArray *offers = g_array_new (FALSE, FALSE, sizeof (Offer));
  for (guint i = 0; i < types->len; i++) {
    const KrType *type = types->pdata[i];
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
any_spot_open (KrRent *rent, gint64 now)
{
  GHashTableIter it;
  gpointer value;
  gboolean open = FALSE;
  g_hash_table_iter_init (&it, rent->pools);
  while (g_hash_table_iter_next (&it, NULL, &value)) {
    const Pool *pool = value;
    open |= pool->spot && (pool->busy || now >= pool->closed_until);
  }
  return open;
}

static GPtrArray *
open_pools (KrRent *rent, const Offer *offer, gint64 now)
{
  GPtrArray *open = g_ptr_array_new ();
  for (char **zone = offer->type->zones; *zone; zone++) {
    Pool *pool = find_pool (rent, offer->type->name, *zone, offer->spot);
    if (!pool->busy && !pool->request && now >= pool->closed_until)
      g_ptr_array_add (open, pool);
  }
  return open;
}

static gboolean
offer_serves (const Offer *offer, const Pool *pool, const KrNeed *need, gboolean spot_open)
{
  /* Work that may use spot gets ordinary machines only when spot ones are refused. */
  if (need->unmet <= 1e-9 || (!offer->spot && need->shape->spot && spot_open))
    return FALSE;
  return kr_place_allowed (need->shape, offer->type->name, pool->zone, offer->spot) &&
         kr_place_fits_type (need->shape, offer->type);
}

/* Asks a pool for its share, one of `pools` that are left, of what is unmet. */
static void
rent_from (KrRent *rent, const Offer *offer, Pool *pool, guint pools, GPtrArray *needs,
           gboolean spot_open)
{
  double machines = 0;
  g_autofree double *taken = g_new0 (double, needs->len);
  for (guint i = 0; i < needs->len; i++) {
    const KrNeed *need = needs->pdata[i];
    if (!offer_serves (offer, pool, need, spot_open))
      continue;
    taken[i] = need->shape->zone ? need->unmet : need->unmet / pools;
    machines += taken[i] * kr_place_share (need->shape, offer->type);
  }
  /* What is over a call's size is left to the other pools: a thousand machines from one, 50 at a
   * time, would come late. */
  double asked = machines > 0 ? MIN (1, KR_RENT_MAX / machines) : 0;
  for (guint i = 0; i < needs->len; i++)
    ((KrNeed *) needs->pdata[i])->unmet -= taken[i] * asked;
  if (machines > KR_RENT_LEAST)
    ask (rent, pool, (guint) ceil (machines));
}

/* What no machine will serve is asked of the cheapest open pools: one call a type and zone. */
static void
rent_unmet (KrRent *rent, GPtrArray *needs, gint64 now)
{
  repeat_requests (rent);
  g_autoptr (GArray) offers = offers_by_price (rent->node->types);
  gboolean spot_open = any_spot_open (rent, now);
  for (guint i = 0; i < offers->len; i++) {
    const Offer *offer = &g_array_index (offers, Offer, i);
    g_autoptr (GPtrArray) open = open_pools (rent, offer, now);
    for (guint k = 0; k < open->len; k++)
      rent_from (rent, offer, open->pdata[k], open->len - k, needs, spot_open);
  }
}

/* --- the leader's round -------------------------------------------------------------- */
static KrNeed *
need_parse (json_t *o, guint part)
{
  KrNeed *need = g_new0 (KrNeed, 1);
  json_t *types = json_object_get (o, "Types"), *t;
  size_t i;
  need->part = part;
  need->shape = g_new0 (KrSpec, 1);
  if (json_is_array (types)) {
    need->shape->types = g_new0 (char *, json_array_size (types) + 1);
    json_array_foreach (types, i, t) need->shape->types[i] = g_strdup (json_string_value (t));
  }
  need->shape->zone = g_strdup (json_string_value (json_object_get (o, "Zone")));
  need->shape->spot = json_is_true (json_object_get (o, "Spot"));
  need->shape->cpus = json_number_value (json_object_get (o, "Cpus"));
  need->shape->gpus = json_number_value (json_object_get (o, "Gpus"));
  need->shape->mem_gb = json_number_value (json_object_get (o, "Mem"));
  need->slots = json_number_value (json_object_get (o, "Slots"));
  /* Not told by earlier versions: */
  need->first = json_number_value (json_object_get (o, "First"));
  json_t *most = json_object_get (o, "Most");
  need->most = json_is_number (most) ? json_number_value (most) : need->slots;
  need->urgent = json_is_true (json_object_get (o, "Urgent"));
  return need;
}

typedef struct {
  KrRent *rent;
  GHashTable *machines; /* id -> json_t, of the summaries */
  GPtrArray *supplies;
} Collect;

/* Guards against machines that come up late or never: what they were rented for is rented
 * elsewhere. One that comes up after all is used, or goes back as not needed. */
static gboolean
overdue (const KrListedMachine *listed, const KrType *type)
{
  return type && listed->state == KR_MACHINE_STARTING &&
         listed->held_s > type->boot_s * KR_BOOT_LATE;
}

static void
collect_member (const char *id, const KrMember *member, gpointer data)
{
  const Collect *c = data;
  const KrListedMachine *listed = find_machine (c->rent, id);
  json_t *b = g_hash_table_lookup (c->machines, id);
  const char *type = listed ? listed->type : json_string_value (json_object_get (b, "Type"));
  KrSupply *supply = g_new0 (KrSupply, 1);
  supply->id = g_strdup (id);
  supply->part = (gint) member->part;
  supply->type = type ? kr_node_type (c->rent->node, type) : NULL;
  supply->zone = listed ? listed->zone : NULL;
  supply->spot = listed ? listed->spot : json_is_true (json_object_get (b, "Spot"));
  supply->idle_s = b ? json_number_value (json_object_get (b, "Idle")) : -1;
  supply->rest_s = json_number_value (json_object_get (b, "Rest"));
  supply->to = b ? (gint) json_integer_value (json_object_get (b, "To")) : -1;
  supply->up = !b || json_is_true (json_object_get (b, "Up"));
  supply->going = json_is_true (json_object_get (b, "Going")) ||
                  (listed && (listed->state == KR_MACHINE_FAILED ||
                              (!supply->up && overdue (listed, supply->type))));
  g_ptr_array_add (c->supplies, supply);
}

static void
collect (KrRent *rent, GPtrArray *needs, GPtrArray *supplies, gint64 now)
{
  g_autoptr (GHashTable) machines = g_hash_table_new (g_str_hash, g_str_equal);
  json_t *o;
  size_t i;

  for (guint p = 0; p < rent->node->settings->size; p++) {
    Summary *summary = &rent->summaries[p];
    if (!summary->value || now - summary->at > kr_seconds (KR_NEEDS_STALE_S))
      continue;
    json_array_foreach (json_object_get (summary->value, "Needs"), i, o)
        g_ptr_array_add (needs, need_parse (o, p));
    json_array_foreach (json_object_get (summary->value, "Berths"), i, o)
        g_hash_table_insert (machines, (gpointer) json_string_value (json_object_get (o, "Id")), o);
  }
  const Collect c = { rent, machines, supplies };
  kr_records_walk_all (rent->node->records, collect_member, (gpointer) &c);
}

static gboolean
waiting (KrRent *rent, guint part)
{
  return json_is_true (json_object_get (rent->summaries[part].value, "Waiting"));
}

static void
moved (const KrSupply *machine, guint to, gpointer data)
{
  wish (data, (guint) machine->part, machine->id, (gint) to);
}

/* Toward each part's share; busy machines once a period. */
static void
rebalance (KrRent *rent, GPtrArray *supplies, const double *targets, gint64 now)
{
  guint size = rent->node->settings->size;
  g_autofree const char **zones = g_new0 (const char *, size);
  g_autofree gboolean *waits = g_new0 (gboolean, size);
  for (guint p = 0; p < size; p++) {
    zones[p] = owner_zone (rent, p);
    waits[p] = waiting (rent, p);
  }
  const KrRebalance in = { size, targets, zones, waits, now >= rent->next_move };
  kr_rebalance (&in, supplies, moved, rent);
  if (in.busy_too)
    rent->next_move = now + KR_MOVE_MS * 1000;
}

/* A new leader must not rent what is there already: first it hears all parts, or waits a while for
 * those that do not answer, and sees one list. */
static gboolean
knows_enough (KrRent *rent, gint64 now)
{
  rent->heard |= rent->asking == 0 || now - rent->leading_since > kr_seconds (KR_LEAD_WAIT_S);
  return rent->heard && rent->node->types && rent->had_list && rent->records_read;
}

/* What nothing that could run would use. */
static void
return_idle (KrRent *rent, GPtrArray *needs, GPtrArray *supplies)
{
  kr_shares_match (needs, supplies, TRUE);
  for (guint i = 0; i < supplies->len; i++) {
    const KrSupply *supply = supplies->pdata[i];
    if (supply->part >= 0 && supply->left > 0.999 && supply->idle_s > KR_IDLE_RETURN_S &&
        supply->to < 0)
      wish (rent, (guint) supply->part, supply->id, -1);
  }
}

/* The round's second half, once the parts have been heard. Not whole: only what is rented and given
 * out, from what they said last; machines that are wished to move or go would be wished so twice.
 */
static void
act (KrRent *rent, gboolean whole)
{
  gint64 now = kr_now ();
  guint size = rent->node->settings->size;
  g_autoptr (GPtrArray) needs = g_ptr_array_new_with_free_func (kr_need_free);
  g_autoptr (GPtrArray) supplies = g_ptr_array_new_with_free_func (kr_supply_free);
  g_autofree double *have = g_new0 (double, size), *targets = g_new0 (double, size);
  double all = 0;

  rent->act_at = rent->rent_at = 0;
  if (whole)
    share_writes (rent);
  if (!knows_enough (rent, now))
    return;
  collect (rent, needs, supplies, now);
  g_autoptr (GPtrArray) news = homeless (rent, now);
  for (guint i = 0; i < news->len; i++) {
    const KrListedMachine *listed = news->pdata[i];
    KrSupply *supply = g_new0 (KrSupply, 1);
    supply->id = g_strdup (listed->id);
    supply->part = supply->to = -1;
    supply->type = kr_node_type (rent->node, listed->type);
    supply->zone = listed->zone;
    supply->spot = listed->spot;
    supply->idle_s = -1;
    g_ptr_array_add (supplies, supply);
  }
  for (guint i = 0; i < supplies->len; i++) {
    const KrSupply *supply = supplies->pdata[i];
    all += supply->going || !supply->type ? 0 : supply->type->cpus;
  }
  kr_rebalance_count (supplies, size, have);
  kr_shares_of_parts (needs, rent->node->types, size, all, targets);

  if (news->len) {
    g_autofree double *lack = g_new0 (double, size);
    for (guint p = 0; p < size; p++)
      lack[p] = MAX (0, targets[p] - have[p]);
    assign (rent, news, lack);
  } else if (whole)
    rebalance (rent, supplies, targets, now);
  if (whole)
    return_idle (rent, needs, supplies);
  kr_shares_match (needs, supplies, FALSE);
  rent_unmet (rent, needs, now);
  send_wishes (rent);
}

/* --- reading the cloud --------------------------------------------------------------- */
static void
types_read (guint status, json_t *body, gpointer data)
{
  KrRent *rent = data;
  GPtrArray *types = status == 200 ? kr_wire_types_parse (body) : NULL;
  rent->types_busy = FALSE;
  if (!types)
    return;
  rent->next_types = kr_now () + KR_TYPES_MS * 1000;
  if (!rent->node->types)
    kr_info ("cloud: %u machine types", types->len);
  g_clear_pointer (&rent->node->types, g_ptr_array_unref);
  rent->node->types = types;
}

static void
list_read (GPtrArray *machines, gpointer data)
{
  KrRent *rent = data;
  rent->listing = FALSE;
  if (!machines)
    return;
  rent->had_list = TRUE;
  g_hash_table_foreach_remove (rent->left, long_gone, NULL);
  g_hash_table_remove_all (rent->listed);
  g_ptr_array_set_free_func (machines, NULL);
  for (guint i = 0; i < machines->len; i++) {
    KrListedMachine *listed = machines->pdata[i];
    g_hash_table_replace (rent->listed, listed->id, listed);
    g_hash_table_remove (rent->fresh, listed->id);
  }
  for (guint p = 0; p < rent->node->settings->size; p++)
    if (rent->node->parts[p])
      kr_part_machines_listed (rent->node->parts[p], rent->listed);
}

static gboolean
tick (gpointer data)
{
  KrRent *rent = data;
  gint64 now = kr_now ();
  /* Not where a peer reaches the state service and we do not: another one leads now or soon, and
   * both would rent for the same work. */
  gboolean leads = kr_membership_leads (rent->node->membership) && !rent->node->state_cut,
           owns = FALSE;

  for (guint p = 0; p < rent->node->settings->size; p++)
    owns |= rent->node->parts[p] != NULL;
  if (now >= rent->next_types && !rent->types_busy) {
    rent->types_busy = TRUE;
    rent->next_types = now + KR_TYPES_RETRY_MS * 1000;
    kr_cloud_types (rent->node->cloud, rent->cancel, types_read, rent);
  }
  if (now >= rent->next_list && !rent->listing && (leads || owns)) {
    rent->listing = TRUE;
    rent->next_list = now + (leads ? KR_LIST_MS : KR_LIST_OWNER_MS) * 1000;
    kr_cloud_list (rent->node->cloud, rent->cancel, list_read, rent);
  }
  if (!leads) {
    rent->leading_since = rent->act_at = rent->rent_at = 0;
    rent->heard = FALSE;
    return G_SOURCE_CONTINUE;
  }
  if (!rent->leading_since) {
    rent->leading_since = now;
    rent->next_list = rent->next_round = 0;
    read_records (rent);
  }
  if (rent->act_at ? now >= rent->act_at : rent->rent_at && now >= rent->rent_at)
    act (rent, rent->act_at != 0);
  if (now >= rent->next_round && !rent->act_at) {
    /* While there is something to wait for, the first round begins again and again. */
    rent->next_round = now + (knows_enough (rent, now) ? KR_SYNC_MS : KR_LEAD_MS) * 1000;
    exchange (rent, now);
  }
  return G_SOURCE_CONTINUE;
}

KrRent *
kr_rent_new (KrNode *node)
{
  KrRent *rent = g_new0 (KrRent, 1);
  rent->node = node;
  rent->cancel = kr_cancellable_child (node->cancel);
  rent->listed = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, kr_listed_machine_free);
  rent->fresh = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, kr_listed_machine_free);
  rent->left = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  rent->pools = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, pool_free);
  rent->summaries = g_new0 (Summary, node->settings->size);
  rent->wishes = g_new0 (json_t *, node->settings->size);
  rent->backlogs = g_new0 (double, node->settings->others->len + 1);
  rent->asked = kr_now ();
  rent->timer = kr_timer_add (KR_LEAD_MS, tick, rent);
  tick (rent);
  return rent;
}

void
kr_rent_free (KrRent *rent)
{
  kr_timer_remove (rent->timer);
  g_cancellable_cancel (rent->cancel);
}
