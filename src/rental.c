#include "rental.h"
#include "clock.h"
#include "constants.h"
#include "invariant.h"
#include "log.h"
#include <math.h>

/* Tolerance for rounding errors in numbers of slots. */
#define SLOT_TOLERANCE 1e-6

/* A pool and the request to it. */
typedef struct {
  KrPool id;
  KrRental *rental;
  gboolean request_in_flight;
  /* Name of the current rental request. It is kept until the outcome is known; the request is
   * retried under the same name, so that the cloud carries it out only once. */
  char *request_name;
  guint requested;        /* machines that the request asks for */
  gint64 last_request_at; /* monotonic us of the last request */
  gint64 backoff_until;   /* monotonic us; backoff after a refused or partly filled request */
  double backoff_ms;      /* backoff after the next such request */
} PoolState;

struct KrRental {
  KrNode *node;
  GCancellable *cancel; /* borrowed */
  const KrRentalEvents *events;
  gpointer data;
  GHashTable *pools;      /* "type zone spot" -> PoolState */
  guint request_counter;  /* requests of this process; part of their names */
  gint64 unmet_since;     /* monotonic us since which some demand has been unmet; 0: none is */
  gint64 unmet_logged_at; /* monotonic us of the last line about it */
};

static void
pool_free (gpointer p)
{
  PoolState *pool = p;
  g_free (pool->id.type);
  g_free (pool->id.zone);
  g_free (pool->request_name);
  g_free (pool);
}

void
kr_rental_reopen_pools (KrRental *rental)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, rental->pools);
  while (g_hash_table_iter_next (&iter, NULL, &value)) {
    PoolState *pool = value;
    gint64 earliest = pool->last_request_at + KR_POOL_REOPEN_MIN_MS * G_GINT64_CONSTANT (1000);
    pool->backoff_until = MIN (pool->backoff_until, MAX (earliest, kr_now ()));
  }
}

static PoolState *
find_pool (KrRental *rental, const char *type, const char *zone, gboolean spot)
{
  g_autofree char *key = g_strdup_printf ("%s %s %d", type, zone, spot);
  PoolState *pool = g_hash_table_lookup (rental->pools, key);
  if (!pool) {
    pool = g_new0 (PoolState, 1);
    pool->rental = rental;
    pool->id.type = g_strdup (type);
    pool->id.zone = g_strdup (zone);
    pool->id.spot = spot;
    pool->backoff_ms = KR_POOL_BACKOFF_MS;
    g_hash_table_insert (rental->pools, g_steal_pointer (&key), pool);
  }
  return pool;
}

static void
rent_done (guint status, json_t *body, gpointer data)
{
  PoolState *pool = data;
  KrRental *rental = pool->rental;
  gint64 now = kr_now ();
  g_auto (GStrv) ids = status == 200 ? kr_wire_rental_machines (body) : NULL;
  guint rented_count = ids ? g_strv_length (ids) : 0;

  pool->request_in_flight = FALSE;
  if (status != 200 && status != 503 && status != 400)
    return; /* unknown outcome: the same request is retried in the next round */
  for (guint i = 0; i < rented_count; i++)
    rental->events->machine_rented (ids[i], &pool->id, rental->data);
  kr_info ("provisioner: rented %u of %u %s %s machines in %s%s%s", rented_count, pool->requested,
           pool->id.spot ? "spot" : "on-demand", pool->id.type, pool->id.zone,
           rented_count ? ", first " : "", rented_count ? ids[0] : "");
  if (rented_count < pool->requested) {
    pool->backoff_until = now + (gint64) (pool->backoff_ms * 1000);
    pool->backoff_ms = MIN (pool->backoff_ms * 2, KR_POOL_BACKOFF_MAX_MS);
  } else
    pool->backoff_ms = KR_POOL_BACKOFF_MS;
  g_clear_pointer (&pool->request_name, g_free);
  rental->events->request_ended (rental->data);
}

static void
send_rent_request (KrRental *rental, PoolState *pool, guint requested)
{
  if (!pool->request_name) {
    /* The name must be unique across all nodes. The leader's fencing token belongs to one term of
     * leadership only. */
    pool->request_name = g_strdup_printf ("kr-%" G_GUINT64_FORMAT "-%u",
                                          kr_membership_leader (rental->node->membership)->revision,
                                          ++rental->request_counter);
    pool->requested = MIN (requested, KR_RENT_BATCH_MAX);
  }
  pool->request_in_flight = TRUE;
  pool->last_request_at = kr_now ();
  kr_cloud_rent (rental->node->cloud_client, pool->request_name, pool->id.type, pool->id.zone,
                 pool->id.spot, pool->requested, rental->cancel, rent_done, pool);
}

typedef struct {
  const KrMachineType *type;
  gboolean spot;
  double price; /* per CPU */
} Offer;

static int
compare_price (gconstpointer a, gconstpointer b)
{
  double d = ((const Offer *) a)->price - ((const Offer *) b)->price;
  return d < 0 ? -1 : d > 0;
}

/* Retries requests with an unknown outcome under their original names. */
static void
retry_unknown_requests (KrRental *rental)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, rental->pools);
  while (g_hash_table_iter_next (&iter, NULL, &value)) {
    PoolState *pool = value;
    if (pool->request_name && !pool->request_in_flight)
      send_rent_request (rental, pool, pool->requested);
  }
}

/* Returns all rentable combinations of a type with spot or on-demand, those with the lowest
 * price per CPU first. */
static GArray *
offers_by_price (const GPtrArray *types)
{
  GArray *offers = g_array_new (FALSE, FALSE, sizeof (Offer));
  for (guint i = 0; i < types->len; i++) {
    const KrMachineType *type = types->pdata[i];
    Offer spot = { type, TRUE, type->spot_price / MAX (type->cpus, 1) };
    Offer on_demand = { type, FALSE, type->price / MAX (type->cpus, 1) };
    if (type->spot_price > 0)
      g_array_append_val (offers, spot);
    g_array_append_val (offers, on_demand);
  }
  g_array_sort (offers, compare_price);
  return offers;
}

static gboolean
is_open (const PoolState *pool, gint64 now)
{
  return pool->request_in_flight || now >= pool->backoff_until;
}

/* Returns, for each demand, whether a spot pool that may serve it is open: not in backoff, or with
 * a request in flight. */
static gboolean *
demands_with_open_spot_pool (KrRental *rental, const GPtrArray *demands, gint64 now)
{
  const GPtrArray *types = rental->node->machine_types;
  gboolean *has_open_pool = g_new0 (gboolean, MAX (1, demands->len));
  for (guint i = 0; i < types->len; i++) {
    const KrMachineType *type = types->pdata[i];
    for (char **zone = type->zones; type->spot_price > 0 && *zone; zone++) {
      if (!is_open (find_pool (rental, type->name, *zone, TRUE), now))
        continue;
      for (guint k = 0; k < demands->len; k++)
        has_open_pool[k] |= kr_demand_allows (demands->pdata[k], type, *zone, TRUE);
    }
  }
  return has_open_pool;
}

static GPtrArray *
open_pools (KrRental *rental, const Offer *offer, gint64 now)
{
  GPtrArray *open = g_ptr_array_new ();
  for (char **zone = offer->type->zones; *zone; zone++) {
    PoolState *pool = find_pool (rental, offer->type->name, *zone, offer->spot);
    if (!pool->request_in_flight && !pool->request_name && now >= pool->backoff_until)
      g_ptr_array_add (open, pool);
  }
  return open;
}

/* The demand of one round of renting. */
typedef struct {
  GPtrArray *demands;
  const gboolean *waits_for_spot; /* for each demand: no on-demand machine is rented for it */
} Round;

static gboolean
offer_serves (const Round *round, guint index, const Offer *offer, const PoolState *pool)
{
  const KrDemand *demand = round->demands->pdata[index];
  return demand->unmet_slots > 1e-9 && (offer->spot || !round->waits_for_spot[index]) &&
         kr_demand_allows (demand, offer->type, pool->id.zone, offer->spot);
}

/* Adds up the machines that the pool would be asked for if the demand were divided evenly among
 * `pools` pools; demand for a certain zone is not divided. Stores the slots of each demand in
 * `taken`. */
static double
share_of_pool (const Round *round, const Offer *offer, const PoolState *pool, guint pools,
               double *taken)
{
  double machines = 0;
  for (guint i = 0; i < round->demands->len; i++) {
    const KrDemand *demand = round->demands->pdata[i];
    taken[i] = 0;
    if (!offer_serves (round, i, offer, pool))
      continue;
    taken[i] = demand->requirements->zone ? demand->unmet_slots : demand->unmet_slots / pools;
    machines += taken[i] * kr_placement_machine_share (demand->requirements, offer->type);
  }
  return machines;
}

static gboolean
has_whole_slot (const double *slots, guint count)
{
  for (guint i = 0; i < count; i++)
    if (slots[i] > 1 - SLOT_TOLERANCE)
      return TRUE;
  return FALSE;
}

/* Rents machines for the unmet demand from one pool. The demand is divided evenly among the `pools`
 * open pools that remain, this one included, unless the share of a pool would be too small to rent
 * a machine for it. Demand for which the pool is not asked remains unmet. */
static void
rent_from_pool (KrRental *rental, const Round *round, const Offer *offer, PoolState *pool,
                guint pools)
{
  const GPtrArray *demands = round->demands;
  g_autofree double *taken = g_new (double, MAX (1, demands->len));
  double machines = share_of_pool (round, offer, pool, pools, taken);
  if (machines <= KR_RENT_MIN_MACHINES)
    machines = share_of_pool (round, offer, pool, 1, taken);
  if (machines <= KR_RENT_MIN_MACHINES && !has_whole_slot (taken, demands->len))
    return;
  /* Demand beyond one request's size is left to the other pools: a thousand machines from a single
   * pool, 50 per request, would arrive late. */
  double fraction = MIN (1, KR_RENT_BATCH_MAX / machines);
  for (guint i = 0; i < demands->len; i++)
    ((KrDemand *) demands->pdata[i])->unmet_slots -= taken[i] * fraction;
  send_rent_request (rental, pool, (guint) ceil (machines));
}

/* The pools that may serve a demand. */
typedef struct {
  guint backing_off, asked, open;
} PoolCounts;

static void
count_pool (PoolCounts *counts, const PoolState *pool, gint64 now)
{
  if (pool->request_in_flight || pool->request_name)
    counts->asked++;
  else if (now < pool->backoff_until)
    counts->backing_off++;
  else
    counts->open++;
}

static PoolCounts
count_pools (KrRental *rental, const Round *round, guint index, const GArray *offers, gint64 now)
{
  PoolCounts counts = { 0 };
  for (guint i = 0; i < offers->len; i++) {
    const Offer *offer = &g_array_index (offers, Offer, i);
    for (char **zone = offer->type->zones; *zone; zone++) {
      const PoolState *pool = find_pool (rental, offer->type->name, *zone, offer->spot);
      if (offer_serves (round, index, offer, pool))
        count_pool (&counts, pool, now);
    }
  }
  return counts;
}

/* Logs demand that stays unmet, and why, and checks that each pool that may serve it is asked or in
 * backoff. */
static void
check_unmet (KrRental *rental, const Round *round, const GArray *offers, gint64 now)
{
  guint count = 0, first = 0;
  for (guint i = round->demands->len; i-- > 0;)
    if (((KrDemand *) round->demands->pdata[i])->unmet_slots > 1 - SLOT_TOLERANCE) {
      count++;
      first = i;
    }
  if (!count) {
    rental->unmet_since = 0;
    return;
  }
  const gint64 interval_us = (gint64) (KR_UNMET_DEMAND_LOG_S * G_USEC_PER_SEC);
  if (!rental->unmet_since)
    rental->unmet_since = now;
  if (now - MAX (rental->unmet_since, rental->unmet_logged_at) < interval_us)
    return;
  rental->unmet_logged_at = now;
  const KrDemand *demand = round->demands->pdata[first];
  const KrJobSpec *spec = demand->requirements;
  PoolCounts pools = count_pools (rental, round, first, offers, now);
  kr_info ("provisioner: demand of %u jobs is unmet; job %s needs %.0f more slots of %g CPUs in "
           "zone %s; of the pools that may serve it %u refuse, %u are asked",
           count, spec->id ? spec->id : "?", demand->unmet_slots, spec->cpus,
           spec->zone ? spec->zone : "any", pools.backing_off, pools.asked);
  if (pools.open)
    kr_invariant_violated (KR_INVARIANT_DEMAND_ASKED, "job %s needs %g slots, %u pools are open",
                           spec->id ? spec->id : "?", demand->unmet_slots, pools.open);
}

void
kr_rental_rent_unmet (KrRental *rental, GPtrArray *demands)
{
  gint64 now = kr_now ();
  retry_unknown_requests (rental);
  g_autoptr (GArray) offers = offers_by_price (rental->node->machine_types);
  /* Demand that allows spot machines gets on-demand machines only while no spot pool that may serve
   * it is open. */
  g_autofree gboolean *waits_for_spot = demands_with_open_spot_pool (rental, demands, now);
  const Round round = { demands, waits_for_spot };
  for (guint i = 0; i < offers->len; i++) {
    const Offer *offer = &g_array_index (offers, Offer, i);
    g_autoptr (GPtrArray) open = open_pools (rental, offer, now);
    for (guint k = 0; k < open->len; k++)
      rent_from_pool (rental, &round, offer, open->pdata[k], open->len - k);
  }
  check_unmet (rental, &round, offers, now);
}

KrRental *
kr_rental_new (KrNode *node, GCancellable *cancel, const KrRentalEvents *events, gpointer data)
{
  KrRental *rental = g_new0 (KrRental, 1);
  rental->node = node;
  rental->cancel = cancel;
  rental->events = events;
  rental->data = data;
  rental->pools = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, pool_free);
  return rental;
}
