#include "shares.h"

void
kr_need_free (gpointer data)
{
  KrNeed *need = data;
  kr_spec_free (need->shape);
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
serve (KrSupply *supply, KrNeed *need)
{
  if (supply->left <= 1e-9 || need->unmet <= 1e-9 || supply->going || !supply->type ||
      !kr_place_allowed (need->shape, supply->type->name, supply->zone, supply->spot) ||
      !kr_place_fits_type (need->shape, supply->type))
    return;
  double share = kr_place_share (need->shape, supply->type);
  double k = MIN (need->unmet, supply->left / share);
  need->unmet -= k;
  supply->left -= k * share;
}

void
kr_shares_match (GPtrArray *needs, GPtrArray *supplies, gboolean most)
{
  g_ptr_array_sort (supplies, cheap_first);
  for (guint i = 0; i < needs->len; i++) {
    KrNeed *need = needs->pdata[i];
    need->unmet = most ? need->most : need->slots;
  }
  for (guint i = 0; i < supplies->len; i++)
    ((KrSupply *) supplies->pdata[i])->left = 1;
  for (guint own = 2; own-- > 0;)
    for (guint i = 0; i < supplies->len; i++)
      for (guint k = 0; k < needs->len; k++) {
        KrSupply *supply = supplies->pdata[i];
        KrNeed *need = needs->pdata[k];
        if (!own || supply->part == (gint) need->part)
          serve (supply, need);
      }
}

double
kr_need_cpus (const KrNeed *need, double slots, const GPtrArray *types)
{
  for (guint i = 0; i < types->len; i++) {
    const KrType *type = types->pdata[i];
    if (kr_place_fits_type (need->shape, type))
      return slots * kr_place_share (need->shape, type) * type->cpus;
  }
  return 0;
}

void
kr_shares_targets (const double *demand, guint parts, double supply, double *targets)
{
  guint open = parts;
  for (guint p = 0; p < parts; p++)
    targets[p] = -1;
  for (gboolean again = TRUE; again && open;) {
    double each = supply / open;
    again = FALSE;
    for (guint p = 0; p < parts; p++)
      if (targets[p] < 0 && demand[p] <= each) {
        targets[p] = demand[p];
        supply -= demand[p];
        open--;
        again = TRUE;
      }
  }
  for (guint p = 0; p < parts; p++)
    if (targets[p] < 0)
      targets[p] = supply / open;
}

typedef enum { FIRST_TASKS, URGENT, TOWARD_GOALS, ALL_ELSE, STAGES } Stage;

static double
slots_in (const KrNeed *need, Stage stage)
{
  if (stage == FIRST_TASKS)
    return need->first;
  if (stage == ALL_ELSE)
    return MAX (0, need->most - need->slots);
  return need->urgent == (stage == URGENT) ? need->slots - need->first : 0;
}

void
kr_shares_of_parts (const GPtrArray *needs, const GPtrArray *types, guint parts, double supply,
                    double *targets)
{
  g_autofree double *demand = g_new0 (double, parts), *share = g_new0 (double, parts);
  for (guint p = 0; p < parts; p++)
    targets[p] = 0;
  for (Stage stage = FIRST_TASKS; stage < STAGES; stage++) {
    for (guint p = 0; p < parts; p++)
      demand[p] = 0;
    for (guint i = 0; i < needs->len; i++) {
      const KrNeed *need = needs->pdata[i];
      demand[need->part] += kr_need_cpus (need, slots_in (need, stage), types);
    }
    kr_shares_targets (demand, parts, supply, share);
    for (guint p = 0; p < parts; p++) {
      targets[p] += share[p];
      supply -= share[p];
    }
  }
}
