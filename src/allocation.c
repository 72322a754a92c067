#include "allocation.h"

void
kr_demand_free (gpointer data)
{
  KrDemand *need = data;
  kr_job_spec_free (need->requirements);
  g_free (need);
}

void
kr_supply_free (gpointer data)
{
  KrSupply *supply = data;
  g_free (supply->id);
  g_free (supply);
}

static int
cheap_first (gconstpointer a, gconstpointer b)
{
  const KrSupply *supply = *(KrSupply *const *) a, *y = *(KrSupply *const *) b;
  if (supply->spot != y->spot)
    return supply->spot ? -1 : 1;
  /* Busy ones first, so that idle ones are left over. */
  if ((supply->idle_s < 0) != (y->idle_s < 0))
    return supply->idle_s < 0 ? -1 : 1;
  return g_strcmp0 (supply->id, y->id);
}

static void
serve (KrSupply *supply, KrDemand *need)
{
  if (supply->unused <= 1e-9 || need->unmet_slots <= 1e-9 || supply->unavailable || !supply->type ||
      !kr_placement_allowed (need->requirements, supply->type->name, supply->zone, supply->spot) ||
      !kr_placement_fits_type (need->requirements, supply->type))
    return;
  double share = kr_placement_machine_share (need->requirements, supply->type);
  double k = MIN (need->unmet_slots, supply->unused / share);
  need->unmet_slots -= k;
  supply->unused -= k * share;
}

void
kr_allocation_match (GPtrArray *needs, GPtrArray *supplies, gboolean most)
{
  g_ptr_array_sort (supplies, cheap_first);
  for (guint i = 0; i < needs->len; i++) {
    KrDemand *need = needs->pdata[i];
    need->unmet_slots = most ? need->max_slots : need->goal_slots;
  }
  for (guint i = 0; i < supplies->len; i++)
    ((KrSupply *) supplies->pdata[i])->unused = 1;
  for (guint own = 2; own-- > 0;)
    for (guint i = 0; i < supplies->len; i++)
      for (guint k = 0; k < needs->len; k++) {
        KrSupply *supply = supplies->pdata[i];
        KrDemand *need = needs->pdata[k];
        if (!own || supply->shard == (gint) need->shard)
          serve (supply, need);
      }
}

double
kr_demand_cpus (const KrDemand *need, double slots, const GPtrArray *types)
{
  for (guint i = 0; i < types->len; i++) {
    const KrMachineType *type = types->pdata[i];
    if (kr_placement_fits_type (need->requirements, type))
      return slots * kr_placement_machine_share (need->requirements, type) * type->cpus;
  }
  return 0;
}

void
kr_allocation_max_min (const double *demand, guint shards, double supply, double *targets)
{
  guint open = shards;
  for (guint p = 0; p < shards; p++)
    targets[p] = -1;
  for (gboolean again = TRUE; again && open;) {
    double each = supply / open;
    again = FALSE;
    for (guint p = 0; p < shards; p++)
      if (targets[p] < 0 && demand[p] <= each) {
        targets[p] = demand[p];
        supply -= demand[p];
        open--;
        again = TRUE;
      }
  }
  for (guint p = 0; p < shards; p++)
    if (targets[p] < 0)
      targets[p] = supply / open;
}

typedef enum { FIRST_TASKS, URGENT, TOWARD_GOALS, ALL_ELSE, STAGES } Stage;

static double
slots_in (const KrDemand *need, Stage stage)
{
  if (stage == FIRST_TASKS)
    return need->starved_slots;
  if (stage == ALL_ELSE)
    return MAX (0, need->max_slots - need->goal_slots);
  return need->urgent == (stage == URGENT) ? need->goal_slots - need->starved_slots : 0;
}

void
kr_allocation_shard_targets (const GPtrArray *needs, const GPtrArray *types, guint shards,
                             double supply, double *targets)
{
  g_autofree double *demand = g_new0 (double, shards), *share = g_new0 (double, shards);
  for (guint p = 0; p < shards; p++)
    targets[p] = 0;
  for (Stage stage = FIRST_TASKS; stage < STAGES; stage++) {
    for (guint p = 0; p < shards; p++)
      demand[p] = 0;
    for (guint i = 0; i < needs->len; i++) {
      const KrDemand *need = needs->pdata[i];
      demand[need->shard] += kr_demand_cpus (need, slots_in (need, stage), types);
    }
    kr_allocation_max_min (demand, shards, supply, share);
    for (guint p = 0; p < shards; p++) {
      targets[p] += share[p];
      supply -= share[p];
    }
  }
}
