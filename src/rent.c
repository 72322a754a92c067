#include "rent.h"
#include "budget.h"
#include "clock.h"
#include "constants.h"
#include "http.h"
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
  Pool *o = p;
  g_free (o->type);
  g_free (o->zone);
  g_free (o->request);
  g_free (o);
}

static KrListedMachine *
machine_new (const char *id, const char *type, const char *zone, gboolean spot)
{
  KrListedMachine *m = g_new0 (KrListedMachine, 1);
  m->id = g_strdup (id);
  m->type = g_strdup (type);
  m->zone = g_strdup (zone);
  m->spot = spot;
  return m;
}

static gboolean
long_gone (gpointer id, gpointer at, gpointer data)
{
  return kr_now () - *(gint64 *) at > kr_seconds (KR_LEFT_MEMORY_S);
}

/* A machine is gone: a pool that refused may have one again (which, lists do not tell any more).
 * Guards against hundreds being taken at once while all pools are left alone for a minute. */
static void
reopen (KrRent *r)
{
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init (&it, r->pools);
  while (g_hash_table_iter_next (&it, NULL, &value)) {
    Pool *o = value;
    gint64 again = o->asked_at + KR_REOPEN_MS * G_GINT64_CONSTANT (1000);
    o->closed_until = MIN (o->closed_until, MAX (again, kr_now ()));
  }
}

/* --- records ------------------------------------------------------------------------- */
void
kr_rent_left (KrRent *r, const char *id)
{
  gint64 *at = g_new (gint64, 1);
  *at = kr_now ();
  g_hash_table_replace (r->left, g_strdup (id), at);
  g_hash_table_remove (r->fresh, id);
  reopen (r);
}

void
kr_rent_list_soon (KrRent *r)
{
  r->next_list = 0;
}

void
kr_rent_scanned (KrRent *r)
{
  r->records_read = kr_membership_leads (r->node->membership);
}

void
kr_rent_seen (KrRent *r, const KrReport *report)
{
  /* What left the records was deleted: a late copy of its report brings it back nowhere. */
  if (!g_hash_table_contains (r->fresh, report->machine) &&
      !g_hash_table_contains (r->left, report->machine)) {
    kr_info ("machine %s: reports, but is in no part", report->machine);
    KrListedMachine *m = machine_new (report->machine, report->type, report->zone, report->spot);
    m->state = KR_MACHINE_RUNNING;
    g_hash_table_insert (r->fresh, m->id, m);
  }
}

static const KrListedMachine *
machine (KrRent *r, const char *id)
{
  const KrListedMachine *m = g_hash_table_lookup (r->listed, id);
  return m ? m : g_hash_table_lookup (r->fresh, id);
}

/* --- the exchange with owners -------------------------------------------------------- */
/* node: who sent it. Guards against a node that the state service alone does not reach: it goes on
 * for its former parts, whose machines it sees fall silent one after the other. */
static void
take_summary (KrRent *r, json_t *s, const char *node)
{
  json_t *part = json_object_get (s, "Part");
  guint p = (guint) json_integer_value (part);
  if (!json_is_integer (part) || p >= r->node->settings->size ||
      !json_is_array (json_object_get (s, "Needs"))) {
    kr_info ("peers: a summary is malformed, refused");
    return;
  }
  if (g_strcmp0 (kr_membership_holder (r->node->membership, p)->node, node) != 0)
    return;
  json_decref (r->summaries[p].value);
  r->summaries[p].value = json_incref (s);
  r->summaries[p].at = kr_now ();
}

void
kr_rent_needs (KrRent *r, guint part, json_t *summary)
{
  double age = kr_time_of_day () - json_number_value (json_object_get (summary, "At"));
  /* A scan may bring what was told in an earlier cut; and an exchange tells more. */
  if (age < KR_TOLD_S && kr_membership_leads (r->node->membership) &&
      kr_now () - r->summaries[part].at > kr_seconds (KR_UNASKED_S))
    take_summary (r, summary, kr_membership_holder (r->node->membership, part)->node);
}

gint64
kr_rent_asked (KrRent *r)
{
  return r->asked;
}

json_t *
kr_rent_summaries (KrRent *r)
{
  json_t *parts = json_array ();
  r->asked = kr_now ();
  for (guint p = 0; p < r->node->settings->size; p++)
    if (r->node->parts[p])
      json_array_append_new (parts, kr_part_summary (r->node->parts[p]));
  return json_pack ("{so sf}", "Parts", parts, "Backlog", kr_node_waiting_writes (r->node));
}

/* Guards against a leader that does not know yet that there is a newer one. */
static gboolean
superseded (KrRent *r, guint64 leader)
{
  r->newest_leader = MAX (r->newest_leader, kr_membership_leader (r->node->membership)->revision);
  if (leader && leader < r->newest_leader)
    return TRUE;
  r->newest_leader = MAX (r->newest_leader, leader);
  return FALSE;
}

guint
kr_rent_budget (KrRent *r, json_t *body)
{
  json_t *writes = json_object_get (body, "Writes"), *leader = json_object_get (body, "Leader");
  if (!json_is_number (writes) || !json_is_integer (leader) || !(json_number_value (writes) > 0))
    return 400;
  if (superseded (r, (guint64) json_integer_value (leader)))
    return 409;
  kr_node_allot_writes (r->node, json_number_value (writes));
  return 200;
}

gboolean
kr_rent_fulfil (KrRent *r, json_t *wishes, guint64 leader)
{
  json_t *w, *id;
  size_t i, k;

  r->newest_leader = MAX (r->newest_leader, kr_membership_leader (r->node->membership)->revision);
  if (leader && leader < r->newest_leader)
    return FALSE;
  r->newest_leader = MAX (r->newest_leader, leader);
  json_array_foreach (wishes, i, w)
  {
    guint p = (guint) json_integer_value (json_object_get (w, "Part"));
    KrPart *part = p < r->node->settings->size ? r->node->parts[p] : NULL;
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

static void act (KrRent *r, gboolean whole);

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
  KrRent *r = a->rent;
  json_t *s;
  size_t i;
  if (status == 200)
    json_array_foreach (json_object_get (body, "Parts"), i, s) take_summary (r, s, a->node);
  json_t *backlog = json_object_get (body, "Backlog");
  if (status == 200 && r->act_at == a->round && json_is_number (backlog))
    r->backlogs[a->index] = json_number_value (backlog);
  if (status == 200 && r->act_at == a->round && --r->asking == 0)
    act (r, TRUE); /* all have answered: nothing to wait for */
  g_free (a);
}

static void
fulfilled (guint status, json_t *body, gpointer data)
{
}

/* Asks every node for the summaries of its parts. */
static void
exchange (KrRent *r, gint64 now)
{
  const KrSettings *s = r->node->settings;
  r->act_at = now + KR_ANSWERS_MS * G_GINT64_CONSTANT (1000);
  r->asking = s->others->len + 1;
  for (guint i = 0; i < r->asking; i++)
    r->backlogs[i] = -1;
  for (guint i = 0; i < s->others->len; i++) {
    const KrPeerSettings *o = s->others->pdata[i];
    Asked *a = g_new (Asked, 1);
    *a = (Asked){ r, o->name, i + 1, r->act_at };
    kr_client_call (r->node->peers, "GET", o->addr, KR_PEER_SUMMARIES, NULL, KR_PEER_TIMEOUT_MS,
                    r->cancel, asked, a);
  }
  Asked *own = g_new (Asked, 1);
  *own = (Asked){ r, s->node_name, 0, r->act_at };
  json_t *mine = kr_rent_summaries (r);
  asked (200, mine, own);
  json_decref (mine);
}

/* The wishes for a part as a message: machines that have the same to do in one list. */
static void
wish (KrRent *r, guint part, const char *id, gint to)
{
  json_t *w = NULL, *o;
  size_t i;
  if (!r->wishes[part])
    r->wishes[part] = json_array ();
  json_array_foreach (r->wishes[part], i, o)
  {
    json_t *t = json_object_get (o, "To");
    if (t ? json_integer_value (t) == to : to < 0)
      w = o;
  }
  if (!w) {
    w = json_pack ("{sI s[]}", "Part", (json_int_t) part, "Ids");
    if (to >= 0)
      json_object_set_new (w, "To", json_integer (to));
    json_array_append_new (r->wishes[part], w);
  }
  /* What does not fit is wished again in the next round. */
  json_t *ids = json_object_get (w, "Ids");
  if (json_array_size (ids) < KR_WISHES_MAX)
    json_array_append_new (ids, json_string (id));
}

/* Tells the owners, each once. */
static void
send_wishes (KrRent *r)
{
  const KrSettings *s = r->node->settings;
  guint64 token = kr_membership_leader (r->node->membership)->revision;
  for (guint p = 0; p < s->size; p++) {
    json_t *wishes = g_steal_pointer (&r->wishes[p]);
    const KrHolder *h = kr_membership_holder (r->node->membership, p);
    if (wishes && h->node && g_str_equal (h->node, s->node_name))
      kr_rent_fulfil (r, wishes, token);
    for (guint i = 0; wishes && h->node && i < s->others->len; i++) {
      const KrPeerSettings *o = s->others->pdata[i];
      if (g_str_equal (o->name, h->node))
        kr_client_call (r->node->peers, "POST", o->addr, KR_PEER_WISHES,
                        json_pack ("{sO sI}", "Wishes", wishes, "Leader", (json_int_t) token),
                        KR_PEER_TIMEOUT_MS, r->cancel, fulfilled, r);
    }
    json_decref (wishes);
  }
}

/* Guards against ends that wait for minutes: a swarm of small jobs in one part has more to write
 * than its owner's fixed part of the limit, while the other nodes write little. */
static void
share_writes (KrRent *r)
{
  const KrSettings *s = r->node->settings;
  guint nodes = s->others->len + 1;
  g_autofree double *base = g_new (double, nodes), *allotted = g_new (double, nodes);
  guint64 token = kr_membership_leader (r->node->membership)->revision;

  base[0] = kr_node_base_writes (r->node, s->node_name);
  for (guint i = 1; i < nodes; i++)
    base[i] = kr_node_base_writes (r->node, ((KrPeerSettings *) s->others->pdata[i - 1])->name);
  if (!kr_budget_allot (base, r->backlogs, nodes, allotted))
    return;
  kr_node_allot_writes (r->node, allotted[0]);
  for (guint i = 1; i < nodes; i++) {
    const KrPeerSettings *o = s->others->pdata[i - 1];
    if (r->backlogs[i] >= 0)
      kr_client_call (r->node->peers, "POST", o->addr, KR_PEER_BUDGET,
                      json_pack ("{sI sf}", "Leader", (json_int_t) token, "Writes", allotted[i]),
                      KR_PEER_TIMEOUT_MS, r->cancel, fulfilled, r);
  }
}

/* Before machines are given out, all records are read anew: an earlier leader, or a write of ours
 * with unknown outcome, may have put them into a part already. */
static void
read_records (KrRent *r)
{
  r->records_read = FALSE;
  kr_membership_rescan (r->node->membership);
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
  KrRent *r = a->rent;
  r->assigning = FALSE;
  if (status == 200)
    kr_draft_done (a->draft, kr_wire_revision (body));
  else if (status == 0)
    read_records (r); /* it may have been executed: a machine must not come into two parts */
  kr_draft_free (a->draft);
  g_free (a);
}

static GPtrArray *
homeless (KrRent *r, gint64 now)
{
  GPtrArray *out = g_ptr_array_new ();
  gint64 stale = kr_seconds (4 * r->node->settings->cloud_list_lag_s + KR_STALE_LIST_S);
  GHashTable *sources[] = { r->fresh, r->listed };
  GHashTableIter it;
  gpointer id, value;

  for (guint k = 0; k < G_N_ELEMENTS (sources); k++) {
    g_hash_table_iter_init (&it, sources[k]);
    while (g_hash_table_iter_next (&it, &id, &value)) {
      gint64 *left = g_hash_table_lookup (r->left, id);
      if (kr_records_find (r->node->records, id) ||
          (k == 1 && g_hash_table_contains (r->fresh, id)))
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
owner_zone (KrRent *r, guint part)
{
  const KrSettings *s = r->node->settings;
  const KrHolder *h = kr_membership_holder (r->node->membership, part);
  if (!h->node || g_str_equal (h->node, s->node_name))
    return h->node ? s->zone : NULL;
  for (guint i = 0; i < s->others->len; i++) {
    const KrPeerSettings *o = s->others->pdata[i];
    if (g_str_equal (o->name, h->node))
      return o->zone;
  }
  return NULL;
}

/* Where most is lacking; among parts that lack a whole machine, one owned in its zone first. */
static guint
part_for (KrRent *r, const KrListedMachine *m, double cpus, const double *lack)
{
  guint best = 0;
  gboolean best_near = FALSE;
  for (guint p = 0; p < r->node->settings->size; p++) {
    gboolean near = lack[p] >= cpus && g_strcmp0 (owner_zone (r, p), m->zone) == 0;
    if (p == 0 || near > best_near || (near == best_near && lack[p] > lack[best])) {
      best = p;
      best_near = near;
    }
  }
  return best;
}

/* Each machine goes where it is lacking, all in one transaction. */
static void
assign (KrRent *r, GPtrArray *machines, double *lack)
{
  const KrSettings *s = r->node->settings;
  if (r->assigning || !r->records_read)
    return;
  Assign *a = g_new (Assign, 1);
  *a = (Assign){ r, kr_draft_new (r->node->records) };
  for (guint i = 0; i < machines->len && kr_draft_ops (a->draft) < s->state_txn_ops; i++) {
    const KrListedMachine *m = machines->pdata[i];
    const KrType *t = kr_node_type (r->node, m->type);
    double cpus = t ? t->cpus : 0;
    guint best = part_for (r, m, cpus, lack);
    kr_draft_add (a->draft, best, m->id, "");
    lack[best] -= cpus;
  }
  KrTxn *txn = kr_txn_new ();
  kr_txn_when (txn, KR_LEADER_KEY, kr_membership_leader (r->node->membership)->revision);
  kr_draft_write (a->draft, txn);
  r->assigning = TRUE;
  kr_state_commit (r->node->state, txn, KR_FIRST, KR_STATE_TIMEOUT_MS, r->cancel, assigned, a);
}

/* --- renting ------------------------------------------------------------------------- */
static Pool *
pool (KrRent *r, const char *type, const char *zone, gboolean spot)
{
  g_autofree char *key = g_strdup_printf ("%s %s %d", type, zone, spot);
  Pool *o = g_hash_table_lookup (r->pools, key);
  if (!o) {
    o = g_new0 (Pool, 1);
    o->rent = r;
    o->type = g_strdup (type);
    o->zone = g_strdup (zone);
    o->spot = spot;
    o->pause_ms = KR_BACKOFF_MS;
    g_hash_table_insert (r->pools, g_steal_pointer (&key), o);
  }
  return o;
}

static void
rented (guint status, json_t *body, gpointer data)
{
  Pool *o = data;
  KrRent *r = o->rent;
  gint64 now = kr_now ();
  g_auto (GStrv) ids = status == 200 ? kr_wire_rental_machines (body) : NULL;
  guint n = ids ? g_strv_length (ids) : 0;

  o->busy = FALSE;
  if (status != 200 && status != 503 && status != 400)
    return; /* unknown: the same request again in the next period */
  for (guint i = 0; i < n; i++)
    if (!kr_records_find (r->node->records, ids[i])) {
      KrListedMachine *m = machine_new (ids[i], o->type, o->zone, o->spot);
      g_hash_table_insert (r->fresh, m->id, m);
    }
  kr_info ("rent: %u of %u %s %s in %s%s%s", n, o->count, o->spot ? "spot" : "ordinary", o->type,
           o->zone, n ? ", first " : "", n ? ids[0] : "");
  if (n < o->count) {
    o->closed_until = now + (gint64) (o->pause_ms * 1000);
    o->pause_ms = MIN (o->pause_ms * 2, KR_BACKOFF_MAX_MS);
  } else
    o->pause_ms = KR_BACKOFF_MS;
  g_clear_pointer (&o->request, g_free);
  /* More may be wanted, here or, where this pool is closed, of others. */
  r->rent_at = now + KR_RENT_MS * G_GINT64_CONSTANT (1000);
}

static void
ask (KrRent *r, Pool *o, guint count)
{
  if (!o->request) {
    /* Never used before, by any node: the leader's token is this leadership's alone. */
    o->request =
        g_strdup_printf ("kr-%" G_GUINT64_FORMAT "-%u",
                         kr_membership_leader (r->node->membership)->revision, ++r->requests);
    o->count = MIN (count, KR_RENT_MAX);
  }
  o->busy = TRUE;
  o->asked_at = kr_now ();
  kr_cloud_rent (r->node->cloud, o->request, o->type, o->zone, o->spot, o->count, r->cancel, rented,
                 o);
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

/* What no machine will serve is asked of the cheapest open pools: one call a type and zone. */
static void
rent (KrRent *r, GPtrArray *needs, gint64 now)
{
  g_autoptr (GArray) offers = g_array_new (FALSE, FALSE, sizeof (Offer));
  GHashTableIter it;
  gpointer value;

  g_hash_table_iter_init (&it, r->pools);
  while (g_hash_table_iter_next (&it, NULL, &value)) {
    Pool *o = value;
    if (o->request && !o->busy)
      ask (r, o, o->count);
  }
  for (guint i = 0; i < r->node->types->len; i++) {
    const KrType *t = r->node->types->pdata[i];
    Offer spot = { t, TRUE, t->spot_price / MAX (t->cpus, 1) };
    Offer ordinary = { t, FALSE, t->price / MAX (t->cpus, 1) };
    if (t->spot_price > 0)
      g_array_append_val (offers, spot);
    g_array_append_val (offers, ordinary);
  }
  g_array_sort (offers, by_price);
  gboolean spot_open = FALSE;
  g_hash_table_iter_init (&it, r->pools);
  while (g_hash_table_iter_next (&it, NULL, &value)) {
    const Pool *o = value;
    spot_open |= o->spot && (o->busy || now >= o->closed_until);
  }
  for (guint i = 0; i < offers->len; i++) {
    const Offer *f = &g_array_index (offers, Offer, i);
    g_autoptr (GPtrArray) open = g_ptr_array_new ();
    for (char **z = f->type->zones; *z; z++) {
      Pool *o = pool (r, f->type->name, *z, f->spot);
      if (!o->busy && !o->request && now >= o->closed_until)
        g_ptr_array_add (open, o);
    }
    for (guint z = 0; z < open->len; z++) {
      Pool *o = open->pdata[z];
      double machines = 0, share_out = open->len - z;
      g_autofree double *taken = g_new0 (double, needs->len);
      for (guint k = 0; k < needs->len; k++) {
        KrNeed *n = needs->pdata[k];
        /* Work that may use spot gets ordinary machines only when spot ones are refused. */
        if (n->unmet <= 1e-9 || (!f->spot && n->shape->spot && spot_open) ||
            !kr_place_allowed (n->shape, f->type->name, o->zone, f->spot) ||
            !kr_place_fits_type (n->shape, f->type))
          continue;
        double part = n->shape->zone ? 1 : 1 / share_out;
        taken[k] = n->unmet * part;
        machines += taken[k] * kr_place_share (n->shape, f->type);
      }
      /* What is over a call's size is left to the other pools: a thousand machines from one, 50 at
       * a time, would come late. */
      double asked = machines > 0 ? MIN (1, KR_RENT_MAX / machines) : 0;
      for (guint k = 0; k < needs->len; k++)
        ((KrNeed *) needs->pdata[k])->unmet -= taken[k] * asked;
      if (machines > KR_RENT_LEAST)
        ask (r, o, (guint) ceil (machines));
    }
  }
}

/* --- the leader's round -------------------------------------------------------------- */
static KrNeed *
need_parse (json_t *o, guint part)
{
  KrNeed *n = g_new0 (KrNeed, 1);
  json_t *types = json_object_get (o, "Types"), *t;
  size_t i;
  n->part = part;
  n->shape = g_new0 (KrSpec, 1);
  if (json_is_array (types)) {
    n->shape->types = g_new0 (char *, json_array_size (types) + 1);
    json_array_foreach (types, i, t) n->shape->types[i] = g_strdup (json_string_value (t));
  }
  n->shape->zone = g_strdup (json_string_value (json_object_get (o, "Zone")));
  n->shape->spot = json_is_true (json_object_get (o, "Spot"));
  n->shape->cpus = json_number_value (json_object_get (o, "Cpus"));
  n->shape->gpus = json_number_value (json_object_get (o, "Gpus"));
  n->shape->mem_gb = json_number_value (json_object_get (o, "Mem"));
  n->slots = json_number_value (json_object_get (o, "Slots"));
  /* Not told by earlier versions: */
  n->first = json_number_value (json_object_get (o, "First"));
  json_t *most = json_object_get (o, "Most");
  n->most = json_is_number (most) ? json_number_value (most) : n->slots;
  n->urgent = json_is_true (json_object_get (o, "Urgent"));
  return n;
}

typedef struct {
  KrRent *rent;
  GHashTable *machines; /* id -> json_t, of the summaries */
  GPtrArray *supplies;
} Collect;

/* Guards against machines that come up late or never: what they were rented for is rented
 * elsewhere. One that comes up after all is used, or goes back as not needed. */
static gboolean
overdue (const KrListedMachine *m, const KrType *t)
{
  return t && m->state == KR_MACHINE_STARTING && m->held_s > t->boot_s * KR_BOOT_LATE;
}

static void
collect_member (const char *id, const KrMember *member, gpointer data)
{
  const Collect *c = data;
  const KrListedMachine *m = machine (c->rent, id);
  json_t *b = g_hash_table_lookup (c->machines, id);
  const char *type = m ? m->type : json_string_value (json_object_get (b, "Type"));
  KrSupply *s = g_new0 (KrSupply, 1);
  s->id = g_strdup (id);
  s->part = (gint) member->part;
  s->type = type ? kr_node_type (c->rent->node, type) : NULL;
  s->zone = m ? m->zone : NULL;
  s->spot = m ? m->spot : json_is_true (json_object_get (b, "Spot"));
  s->idle_s = b ? json_number_value (json_object_get (b, "Idle")) : -1;
  s->rest_s = json_number_value (json_object_get (b, "Rest"));
  s->to = b ? (gint) json_integer_value (json_object_get (b, "To")) : -1;
  s->up = !b || json_is_true (json_object_get (b, "Up"));
  s->going = json_is_true (json_object_get (b, "Going")) ||
             (m && (m->state == KR_MACHINE_FAILED || (!s->up && overdue (m, s->type))));
  g_ptr_array_add (c->supplies, s);
}

static void
collect (KrRent *r, GPtrArray *needs, GPtrArray *supplies, gint64 now)
{
  g_autoptr (GHashTable) machines = g_hash_table_new (g_str_hash, g_str_equal);
  json_t *o;
  size_t i;

  for (guint p = 0; p < r->node->settings->size; p++) {
    Summary *s = &r->summaries[p];
    if (!s->value || now - s->at > kr_seconds (KR_NEEDS_STALE_S))
      continue;
    json_array_foreach (json_object_get (s->value, "Needs"), i, o)
        g_ptr_array_add (needs, need_parse (o, p));
    json_array_foreach (json_object_get (s->value, "Berths"), i, o)
        g_hash_table_insert (machines, (gpointer) json_string_value (json_object_get (o, "Id")), o);
  }
  const Collect c = { r, machines, supplies };
  kr_records_walk_all (r->node->records, collect_member, (gpointer) &c);
}

static gboolean
waiting (KrRent *r, guint part)
{
  return json_is_true (json_object_get (r->summaries[part].value, "Waiting"));
}

static void
moved (const KrSupply *machine, guint to, gpointer data)
{
  wish (data, (guint) machine->part, machine->id, (gint) to);
}

/* Toward each part's share; busy machines once a period. */
static void
move (KrRent *r, GPtrArray *supplies, const double *targets, gint64 now)
{
  guint size = r->node->settings->size;
  g_autofree const char **zones = g_new0 (const char *, size);
  g_autofree gboolean *waits = g_new0 (gboolean, size);
  for (guint p = 0; p < size; p++) {
    zones[p] = owner_zone (r, p);
    waits[p] = waiting (r, p);
  }
  const KrRebalance in = { size, targets, zones, waits, now >= r->next_move };
  kr_rebalance (&in, supplies, moved, r);
  if (in.busy_too)
    r->next_move = now + KR_MOVE_MS * 1000;
}

/* A new leader must not rent what is there already: first it hears all parts, or waits a while for
 * those that do not answer, and sees one list. */
static gboolean
knows_enough (KrRent *r, gint64 now)
{
  r->heard |= r->asking == 0 || now - r->leading_since > kr_seconds (KR_LEAD_WAIT_S);
  return r->heard && r->node->types && r->had_list && r->records_read;
}

/* What nothing that could run would use. */
static void
return_idle (KrRent *r, GPtrArray *needs, GPtrArray *supplies)
{
  kr_shares_match (needs, supplies, TRUE);
  for (guint i = 0; i < supplies->len; i++) {
    const KrSupply *s = supplies->pdata[i];
    if (s->part >= 0 && s->left > 0.999 && s->idle_s > KR_IDLE_RETURN_S && s->to < 0)
      wish (r, (guint) s->part, s->id, -1);
  }
}

/* The round's second half, once the parts have been heard. Not whole: only what is rented and given
 * out, from what they said last; machines that are wished to move or go would be wished so twice.
 */
static void
act (KrRent *r, gboolean whole)
{
  gint64 now = kr_now ();
  guint size = r->node->settings->size;
  g_autoptr (GPtrArray) needs = g_ptr_array_new_with_free_func (kr_need_free);
  g_autoptr (GPtrArray) supplies = g_ptr_array_new_with_free_func (kr_supply_free);
  g_autofree double *have = g_new0 (double, size), *targets = g_new0 (double, size);
  double all = 0;

  r->act_at = r->rent_at = 0;
  if (whole)
    share_writes (r);
  if (!knows_enough (r, now))
    return;
  collect (r, needs, supplies, now);
  g_autoptr (GPtrArray) news = homeless (r, now);
  for (guint i = 0; i < news->len; i++) {
    const KrListedMachine *m = news->pdata[i];
    KrSupply *s = g_new0 (KrSupply, 1);
    s->id = g_strdup (m->id);
    s->part = s->to = -1;
    s->type = kr_node_type (r->node, m->type);
    s->zone = m->zone;
    s->spot = m->spot;
    s->idle_s = -1;
    g_ptr_array_add (supplies, s);
  }
  for (guint i = 0; i < supplies->len; i++) {
    const KrSupply *s = supplies->pdata[i];
    all += s->going || !s->type ? 0 : s->type->cpus;
  }
  kr_rebalance_count (supplies, size, have);
  kr_shares_of_parts (needs, r->node->types, size, all, targets);

  if (news->len) {
    g_autofree double *lack = g_new0 (double, size);
    for (guint p = 0; p < size; p++)
      lack[p] = MAX (0, targets[p] - have[p]);
    assign (r, news, lack);
  } else if (whole)
    move (r, supplies, targets, now);
  if (whole)
    return_idle (r, needs, supplies);
  kr_shares_match (needs, supplies, FALSE);
  rent (r, needs, now);
  send_wishes (r);
}

/* --- reading the cloud --------------------------------------------------------------- */
static void
types_read (guint status, json_t *body, gpointer data)
{
  KrRent *r = data;
  GPtrArray *types = status == 200 ? kr_wire_types_parse (body) : NULL;
  r->types_busy = FALSE;
  if (!types)
    return;
  r->next_types = kr_now () + KR_TYPES_MS * 1000;
  if (!r->node->types)
    kr_info ("cloud: %u machine types", types->len);
  g_clear_pointer (&r->node->types, g_ptr_array_unref);
  r->node->types = types;
}

static void
list_read (GPtrArray *machines, gpointer data)
{
  KrRent *r = data;
  r->listing = FALSE;
  if (!machines)
    return;
  r->had_list = TRUE;
  g_hash_table_foreach_remove (r->left, long_gone, NULL);
  g_hash_table_remove_all (r->listed);
  g_ptr_array_set_free_func (machines, NULL);
  for (guint i = 0; i < machines->len; i++) {
    KrListedMachine *m = machines->pdata[i];
    g_hash_table_replace (r->listed, m->id, m);
    g_hash_table_remove (r->fresh, m->id);
  }
  for (guint p = 0; p < r->node->settings->size; p++)
    if (r->node->parts[p])
      kr_part_machines_listed (r->node->parts[p], r->listed);
}

static gboolean
tick (gpointer data)
{
  KrRent *r = data;
  gint64 now = kr_now ();
  /* Not where a peer reaches the state service and we do not: another one leads now or soon, and
   * both would rent for the same work. */
  gboolean leads = kr_membership_leads (r->node->membership) && !r->node->state_cut, owns = FALSE;

  for (guint p = 0; p < r->node->settings->size; p++)
    owns |= r->node->parts[p] != NULL;
  if (now >= r->next_types && !r->types_busy) {
    r->types_busy = TRUE;
    r->next_types = now + KR_TYPES_RETRY_MS * 1000;
    kr_cloud_types (r->node->cloud, r->cancel, types_read, r);
  }
  if (now >= r->next_list && !r->listing && (leads || owns)) {
    r->listing = TRUE;
    r->next_list = now + (leads ? KR_LIST_MS : KR_LIST_OWNER_MS) * 1000;
    kr_cloud_list (r->node->cloud, r->cancel, list_read, r);
  }
  if (!leads) {
    r->leading_since = r->act_at = r->rent_at = 0;
    r->heard = FALSE;
    return G_SOURCE_CONTINUE;
  }
  if (!r->leading_since) {
    r->leading_since = now;
    r->next_list = r->next_round = 0;
    read_records (r);
  }
  if (r->act_at ? now >= r->act_at : r->rent_at && now >= r->rent_at)
    act (r, r->act_at != 0);
  if (now >= r->next_round && !r->act_at) {
    /* While there is something to wait for, the first round begins again and again. */
    r->next_round = now + (knows_enough (r, now) ? KR_SYNC_MS : KR_LEAD_MS) * 1000;
    exchange (r, now);
  }
  return G_SOURCE_CONTINUE;
}

KrRent *
kr_rent_new (KrNode *node)
{
  KrRent *r = g_new0 (KrRent, 1);
  r->node = node;
  r->cancel = kr_cancellable_child (node->cancel);
  r->listed = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, kr_listed_machine_free);
  r->fresh = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, kr_listed_machine_free);
  r->left = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  r->pools = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, pool_free);
  r->summaries = g_new0 (Summary, node->settings->size);
  r->wishes = g_new0 (json_t *, node->settings->size);
  r->backlogs = g_new0 (double, node->settings->others->len + 1);
  r->asked = kr_now ();
  r->timer = kr_timer_add (KR_LEAD_MS, tick, r);
  tick (r);
  return r;
}

void
kr_rent_free (KrRent *r)
{
  kr_timer_remove (r->timer);
  g_cancellable_cancel (r->cancel);
}
