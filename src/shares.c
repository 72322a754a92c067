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
kr_shares_match (GPtrArray *needs, GPtrArray *supplies, double *own_unmet)
{
  g_ptr_array_sort (supplies, cheap_first);
  for (guint i = 0; i < needs->len; i++) {
    KrNeed *n = needs->pdata[i];
    n->unmet = n->slots;
  }
  for (guint i = 0; i < supplies->len; i++)
    ((KrSupply *) supplies->pdata[i])->left = 1;
  for (guint own = 1; own <= 1; own--) {
    for (guint i = 0; i < supplies->len; i++)
      for (guint k = 0; k < needs->len; k++) {
        KrSupply *s = supplies->pdata[i];
        KrNeed *n = needs->pdata[k];
        if (!own || s->part == (gint) n->part)
          serve (s, n);
      }
    if (own)
      for (guint k = 0; k < needs->len; k++) {
        KrNeed *n = needs->pdata[k];
        const KrType *t = NULL;
        for (guint i = 0; i < supplies->len && !t; i++) {
          KrSupply *s = supplies->pdata[i];
          if (s->type && kr_place_fits_type (n->shape, s->type))
            t = s->type;
        }
        own_unmet[n->part] += t ? n->unmet * kr_place_share (n->shape, t) : 0;
      }
  }
}
