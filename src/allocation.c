#include "allocation.h"

/* Tolerance for rounding errors in numbers of slots and shares of machines. */
#define AMOUNT_TOLERANCE 1e-9

void
kr_demand_free (gpointer data)
{
  KrDemand *demand = data;
  kr_job_spec_free (demand->requirements);
  g_free (demand);
}

void
kr_supply_free (gpointer data)
{
  KrSupply *supply = data;
  g_free (supply->id);
  g_free (supply);
}

static int
compare_cheapest_first (gconstpointer a, gconstpointer b)
{
  const KrSupply *first = *(KrSupply *const *) a, *second = *(KrSupply *const *) b;
  if (first->spot != second->spot)
    return first->spot ? -1 : 1;
  /* Busy machines serve demand first, so that the idle ones remain unused. */
  if ((first->idle_s < 0) != (second->idle_s < 0))
    return first->idle_s < 0 ? -1 : 1;
  return g_strcmp0 (first->id, second->id);
}

gboolean
kr_demand_allows (const KrDemand *demand, const KrMachineType *type, const char *zone,
                  gboolean spot)
{
  return kr_placement_allowed (demand->requirements, type->name, zone, spot) &&
         kr_placement_fits_type (demand->requirements, type);
}

gboolean
kr_supply_is_counted (const KrSupply *supply)
{
  return !supply->unavailable && supply->type;
}

gboolean
kr_supply_is_free (const KrSupply *supply)
{
  return !supply->up || supply->idle_s >= 0;
}

gint
kr_supply_shard (const KrSupply *supply)
{
  return supply->target_shard >= 0 && kr_supply_is_free (supply) ? supply->target_shard
                                                                 : supply->shard;
}

static gboolean
can_serve (const KrSupply *supply, const KrDemand *demand)
{
  return supply->unused > AMOUNT_TOLERANCE && demand->unmet_slots > AMOUNT_TOLERANCE &&
         kr_supply_is_counted (supply) &&
         kr_demand_allows (demand, supply->type, supply->zone, supply->spot);
}

static void
serve_demand (KrSupply *supply, KrDemand *demand)
{
  double share = kr_placement_machine_share (demand->requirements, supply->type);
  double slots = MIN (demand->unmet_slots, supply->unused / share);
  demand->unmet_slots -= slots;
  supply->unused -= slots * share;
  if (demand->restricted) {
    supply->dedicated = TRUE;
    supply->dedicated_to = demand->shard;
  }
}

/* Returns one counted machine of each type, zone and kind. */
static GPtrArray *
distinct_machines (const GPtrArray *supplies)
{
  GPtrArray *distinct = g_ptr_array_new ();
  for (guint i = 0; i < supplies->len; i++) {
    const KrSupply *supply = supplies->pdata[i];
    gboolean found = !kr_supply_is_counted (supply);
    for (guint k = 0; k < distinct->len && !found; k++) {
      const KrSupply *other = distinct->pdata[k];
      found = other->type == supply->type && other->spot == supply->spot &&
              g_strcmp0 (other->zone, supply->zone) == 0;
    }
    if (!found)
      g_ptr_array_add (distinct, supplies->pdata[i]);
  }
  return distinct;
}

static void
reset_results (GPtrArray *demands, GPtrArray *supplies, gboolean use_max)
{
  g_autoptr (GPtrArray) distinct = distinct_machines (supplies);
  for (guint i = 0; i < demands->len; i++) {
    KrDemand *demand = demands->pdata[i];
    demand->unmet_slots = use_max ? demand->max_slots : demand->goal_slots;
    demand->restricted = FALSE;
    for (guint k = 0; k < distinct->len; k++) {
      const KrSupply *supply = distinct->pdata[k];
      demand->restricted |= !kr_demand_allows (demand, supply->type, supply->zone, supply->spot);
    }
  }
  for (guint i = 0; i < supplies->len; i++) {
    KrSupply *supply = supplies->pdata[i];
    supply->unused = 1;
    supply->dedicated = FALSE;
  }
}

static void
serve_own_demand (GPtrArray *demands, GPtrArray *supplies)
{
  for (guint i = 0; i < supplies->len; i++)
    for (guint k = 0; k < demands->len; k++) {
      KrSupply *supply = supplies->pdata[i];
      KrDemand *demand = demands->pdata[k];
      if (kr_supply_shard (supply) == (gint) demand->shard && can_serve (supply, demand))
        serve_demand (supply, demand);
    }
}

/* Whether the machine may serve restricted demand of a shard that it does not belong to: nothing
 * else needs it, or it is dedicated to that shard already. */
static gboolean
may_dedicate (const KrSupply *supply, guint shard)
{
  return supply->dedicated ? supply->dedicated_to == shard
                           : supply->unused >= 1 && kr_supply_is_free (supply);
}

static void
dedicate_free_machines (GPtrArray *demands, GPtrArray *supplies)
{
  for (guint k = 0; k < demands->len; k++) {
    KrDemand *demand = demands->pdata[k];
    for (guint i = 0; demand->restricted && i < supplies->len; i++) {
      KrSupply *supply = supplies->pdata[i];
      if (can_serve (supply, demand) && may_dedicate (supply, demand->shard))
        serve_demand (supply, demand);
    }
  }
}

static void
serve_unrestricted_demand (GPtrArray *demands, GPtrArray *supplies)
{
  for (guint i = 0; i < supplies->len; i++)
    for (guint k = 0; k < demands->len; k++) {
      KrSupply *supply = supplies->pdata[i];
      KrDemand *demand = demands->pdata[k];
      if (!demand->restricted && (!supply->dedicated || supply->dedicated_to == demand->shard) &&
          can_serve (supply, demand))
        serve_demand (supply, demand);
    }
}

void
kr_allocation_match (GPtrArray *demands, GPtrArray *supplies, gboolean use_max)
{
  g_autoptr (GPtrArray) sorted = g_ptr_array_copy (supplies, NULL, NULL);
  g_ptr_array_set_free_func (sorted, NULL); /* the machines belong to `supplies` */
  g_ptr_array_sort (sorted, compare_cheapest_first);
  reset_results (demands, sorted, use_max);
  serve_own_demand (demands, sorted);
  dedicate_free_machines (demands, sorted);
  serve_unrestricted_demand (demands, sorted);
}

double
kr_demand_cpus (const KrDemand *demand, double slots, const GPtrArray *types)
{
  for (guint i = 0; i < types->len; i++) {
    const KrMachineType *type = types->pdata[i];
    if (kr_placement_fits_type (demand->requirements, type))
      return slots * kr_placement_machine_share (demand->requirements, type) * type->cpus;
  }
  return 0;
}

void
kr_allocation_max_min (const double *demand, guint shard_count, double supply, double *targets)
{
  guint unsatisfied = shard_count;
  for (guint shard = 0; shard < shard_count; shard++)
    targets[shard] = -1;
  for (gboolean progress = TRUE; progress && unsatisfied;) {
    double equal_share = supply / unsatisfied;
    progress = FALSE;
    for (guint shard = 0; shard < shard_count; shard++)
      if (targets[shard] < 0 && demand[shard] <= equal_share) {
        targets[shard] = demand[shard];
        supply -= demand[shard];
        unsatisfied--;
        progress = TRUE;
      }
  }
  for (guint shard = 0; shard < shard_count; shard++)
    if (targets[shard] < 0)
      targets[shard] = supply / unsatisfied;
}

/* The order in which demand is served; see kr_allocation_shard_targets(). */
typedef enum { STAGE_STARVED, STAGE_URGENT, STAGE_GOALS, STAGE_REST, STAGE_COUNT } Stage;

static double
slots_in_stage (const KrDemand *demand, Stage stage)
{
  if (stage == STAGE_STARVED)
    return demand->starved_slots;
  if (stage == STAGE_REST)
    return MAX (0, demand->max_slots - demand->goal_slots);
  return demand->urgent == (stage == STAGE_URGENT) ? demand->goal_slots - demand->starved_slots : 0;
}

void
kr_allocation_shard_targets (const GPtrArray *demands, const GPtrArray *types, guint shard_count,
                             double supply, double *targets)
{
  g_autofree double *wanted_cpus = g_new0 (double, shard_count),
                    *share = g_new0 (double, shard_count);
  for (guint shard = 0; shard < shard_count; shard++)
    targets[shard] = 0;
  for (Stage stage = STAGE_STARVED; stage < STAGE_COUNT; stage++) {
    for (guint shard = 0; shard < shard_count; shard++)
      wanted_cpus[shard] = 0;
    for (guint i = 0; i < demands->len; i++) {
      const KrDemand *demand = demands->pdata[i];
      wanted_cpus[demand->shard] += kr_demand_cpus (demand, slots_in_stage (demand, stage), types);
    }
    kr_allocation_max_min (wanted_cpus, shard_count, supply, share);
    for (guint shard = 0; shard < shard_count; shard++) {
      targets[shard] += share[shard];
      supply -= share[shard];
    }
  }
}
