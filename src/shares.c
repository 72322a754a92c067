#include "shares.h"

void
kr_need_free (gpointer p)
{
  KrNeed *n = p;
  kr_spec_free (n->shape);
  g_free (n);
}

void
kr_supply_free (gpointer p)
{
  KrSupply *s = p;
  g_free (s->id);
  g_free (s);
}

static int
cheap_first (gconstpointer a, gconstpointer b)
{
  const KrSupply *x = *(KrSupply *const *) a, *y = *(KrSupply *const *) b;
  if (x->spot != y->spot)
    return x->spot ? -1 : 1;
  /* Busy ones first, so that idle ones are left over. */
  if ((x->idle_s < 0) != (y->idle_s < 0))
    return x->idle_s < 0 ? -1 : 1;
  return g_strcmp0 (x->id, y->id);
}

static void
serve (KrSupply *s, KrNeed *n)
{
  if (s->left <= 1e-9 || n->unmet <= 1e-9 || s->going || !s->type ||
      !kr_place_allowed (n->shape, s->type->name, s->zone, s->spot) ||
      !kr_place_fits_type (n->shape, s->type))
    return;
  double share = kr_place_share (n->shape, s->type);
  double k = MIN (n->unmet, s->left / share);
  n->unmet -= k;
  s->left -= k * share;
}

void
kr_shares_match (GPtrArray *needs, GPtrArray *supplies, gboolean most)
{
  g_ptr_array_sort (supplies, cheap_first);
  for (guint i = 0; i < needs->len; i++) {
    KrNeed *n = needs->pdata[i];
    n->unmet = most ? n->most : n->slots;
  }
  for (guint i = 0; i < supplies->len; i++)
    ((KrSupply *) supplies->pdata[i])->left = 1;
  for (guint own = 2; own-- > 0;)
    for (guint i = 0; i < supplies->len; i++)
      for (guint k = 0; k < needs->len; k++) {
        KrSupply *s = supplies->pdata[i];
        KrNeed *n = needs->pdata[k];
        if (!own || s->part == (gint) n->part)
          serve (s, n);
      }
}

double
kr_need_cpus (const KrNeed *n, double slots, const GPtrArray *types)
{
  for (guint i = 0; i < types->len; i++) {
    const KrType *t = types->pdata[i];
    if (kr_place_fits_type (n->shape, t))
      return slots * kr_place_share (n->shape, t) * t->cpus;
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
