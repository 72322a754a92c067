/* Shares against a slow plain model, on random inputs; GTest prints the seed. */
#include "shares.h"
#include <math.h>

/* Pours the supply out in drops, each to the emptiest part that still wants. */
static void
model_targets (const double *demand, guint parts, double supply, double *targets)
{
  const double drop = 0.01;
  guint drops = (guint) ceil (supply / drop);
  for (guint p = 0; p < parts; p++)
    targets[p] = 0;
  for (; drops > 0; drops--) {
    gint least = -1;
    for (guint p = 0; p < parts; p++)
      if (targets[p] + drop <= demand[p] && (least < 0 || targets[p] < targets[least]))
        least = (gint) p;
    if (least < 0)
      return;
    targets[least] += drop;
  }
}

static void
test_targets (void)
{
  for (guint i = 0; i < 300; i++) {
    guint parts = (guint) g_test_rand_int_range (1, 7);
    double demand[7], got[7], want[7], supply = g_test_rand_double_range (0, 100);
    for (guint p = 0; p < parts; p++)
      demand[p] = g_test_rand_bit () ? 0 : g_test_rand_double_range (0, 60);
    kr_shares_targets (demand, parts, supply, got);
    model_targets (demand, parts, supply, want);
    for (guint p = 0; p < parts; p++)
      g_assert_cmpfloat (fabs (got[p] - want[p]), <, 0.05);
  }
}

static KrNeed *
need (guint part, double cpus, double slots, gboolean spot)
{
  KrNeed *n = g_new0 (KrNeed, 1);
  n->part = part;
  n->slots = n->most = slots;
  n->shape = g_new0 (KrSpec, 1);
  n->shape->cpus = cpus;
  n->shape->spot = spot;
  return n;
}

static KrSupply *
supply (const char *id, const KrType *type, gint part, gboolean spot)
{
  KrSupply *s = g_new0 (KrSupply, 1);
  s->id = g_strdup (id);
  s->type = type;
  s->zone = "z";
  s->part = part;
  s->spot = spot;
  return s;
}

/* Own needs first, spot before ordinary; what may not use spot gets none. */
static void
test_match (void)
{
  const KrType t = { .name = (char *) "t", .cpus = 8, .mem_gb = 64 };
  g_autoptr (GPtrArray) needs = g_ptr_array_new_with_free_func (kr_need_free);
  g_autoptr (GPtrArray) all = g_ptr_array_new_with_free_func (kr_supply_free);
  g_ptr_array_add (needs, need (0, 1, 8, TRUE));
  g_ptr_array_add (needs, need (1, 4, 3, FALSE));
  KrSupply *ordinary = supply ("a", &t, 0, FALSE), *spot = supply ("b", &t, 0, TRUE),
           *idle = supply ("c", &t, 1, TRUE);
  g_ptr_array_add (all, ordinary);
  g_ptr_array_add (all, spot);
  g_ptr_array_add (all, idle);
  kr_shares_match (needs, all, FALSE);
  g_assert_cmpfloat (((KrNeed *) needs->pdata[0])->unmet, ==, 0);
  g_assert_cmpfloat (((KrNeed *) needs->pdata[1])->unmet, ==, 1);
  g_assert_cmpfloat (spot->left, <, 1e-6);
  g_assert_cmpfloat (ordinary->left, <, 1e-6); /* two of the three */
  g_assert_cmpfloat (idle->left, ==, 1);
}

/* Urgent work first, then the goals, and what is over goes to work that could run but need not yet;
 * what is asked for renting is the goals' part alone. */
static void
test_of_parts (void)
{
  KrType t = { .name = (char *) "t", .cpus = 8, .mem_gb = 64 };
  g_autoptr (GPtrArray) types = g_ptr_array_new ();
  g_autoptr (GPtrArray) needs = g_ptr_array_new_with_free_func (kr_need_free);
  g_autoptr (GPtrArray) all = g_ptr_array_new_with_free_func (kr_supply_free);
  double targets[3];
  g_ptr_array_add (types, &t);
  KrNeed *urgent = need (0, 1, 10, TRUE), *paced = need (1, 1, 4, TRUE),
         *small = need (2, 1, 6, TRUE);
  urgent->urgent = TRUE;
  paced->most = 100;
  g_ptr_array_add (needs, urgent);
  g_ptr_array_add (needs, paced);
  g_ptr_array_add (needs, small);
  kr_shares_of_parts (needs, types, 3, 14, targets);
  g_assert_cmpfloat (targets[0], ==, 10);
  g_assert_cmpfloat (targets[1], ==, 2);
  g_assert_cmpfloat (targets[2], ==, 2);
  kr_shares_of_parts (needs, types, 3, 64, targets);
  g_assert_cmpfloat (targets[0], ==, 10);
  g_assert_cmpfloat (targets[1], ==, 48);
  g_assert_cmpfloat (targets[2], ==, 6);
  for (guint i = 0; i < 4; i++) {
    g_autofree char *id = g_strdup_printf ("m%u", i);
    g_ptr_array_add (all, supply (id, &t, 1, TRUE));
  }
  kr_shares_match (needs, all, TRUE);
  g_assert_cmpfloat (((KrSupply *) all->pdata[3])->left, <, 1e-6);
  kr_shares_match (needs, all, FALSE);
  g_assert_cmpfloat (((KrSupply *) all->pdata[3])->left, >, 0.5);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/shares/targets", test_targets);
  g_test_add_func ("/shares/match", test_match);
  g_test_add_func ("/shares/of-parts", test_of_parts);
  return g_test_run ();
}
