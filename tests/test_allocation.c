/* Shares against a slow plain model, on random inputs; GTest prints the seed. */
#include "allocation.h"
#include <math.h>

/* Pours the supply out in drops, each to the emptiest part that still wants. */
static void
model_targets (const double *demand, guint shards, double supply, double *targets)
{
  const double drop = 0.01;
  guint drops = (guint) ceil (supply / drop);
  for (guint p = 0; p < shards; p++)
    targets[p] = 0;
  for (; drops > 0; drops--) {
    gint least = -1;
    for (guint p = 0; p < shards; p++)
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
    guint shards = (guint) g_test_rand_int_range (1, 7);
    double demand[7], got[7], want[7], supply = g_test_rand_double_range (0, 100);
    for (guint p = 0; p < shards; p++)
      demand[p] = g_test_rand_bit () ? 0 : g_test_rand_double_range (0, 60);
    kr_allocation_max_min (demand, shards, supply, got);
    model_targets (demand, shards, supply, want);
    for (guint p = 0; p < shards; p++)
      g_assert_cmpfloat (fabs (got[p] - want[p]), <, 0.05);
  }
}

static KrDemand *
need (guint shard, double cpus, double slots, gboolean spot)
{
  KrDemand *n = g_new0 (KrDemand, 1);
  n->shard = shard;
  n->goal_slots = n->max_slots = slots;
  n->requirements = g_new0 (KrJobSpec, 1);
  n->requirements->cpus = cpus;
  n->requirements->spot_allowed = spot;
  return n;
}

static KrSupply *
supply (const char *id, const KrMachineType *type, gint shard, gboolean spot)
{
  KrSupply *s = g_new0 (KrSupply, 1);
  s->id = g_strdup (id);
  s->type = type;
  s->zone = "z";
  s->shard = shard;
  s->spot = spot;
  return s;
}

/* Own needs first, spot before ordinary; what may not use spot gets none. */
static void
test_match (void)
{
  const KrMachineType t = { .name = (char *) "t", .cpus = 8, .mem_gb = 64 };
  g_autoptr (GPtrArray) needs = g_ptr_array_new_with_free_func (kr_demand_free);
  g_autoptr (GPtrArray) all = g_ptr_array_new_with_free_func (kr_supply_free);
  g_ptr_array_add (needs, need (0, 1, 8, TRUE));
  g_ptr_array_add (needs, need (1, 4, 3, FALSE));
  KrSupply *ordinary = supply ("a", &t, 0, FALSE), *spot = supply ("b", &t, 0, TRUE),
           *idle = supply ("c", &t, 1, TRUE);
  g_ptr_array_add (all, ordinary);
  g_ptr_array_add (all, spot);
  g_ptr_array_add (all, idle);
  kr_allocation_match (needs, all, FALSE);
  g_assert_cmpfloat (((KrDemand *) needs->pdata[0])->unmet_slots, ==, 0);
  g_assert_cmpfloat (((KrDemand *) needs->pdata[1])->unmet_slots, ==, 1);
  g_assert_cmpfloat (spot->unused, <, 1e-6);
  g_assert_cmpfloat (ordinary->unused, <, 1e-6); /* two of the three */
  g_assert_cmpfloat (idle->unused, ==, 1);
}

/* Urgent work first, then the goals, and what is over goes to work that could run but need not yet;
 * what is asked for renting is the goals' part alone. */
static void
test_of_parts (void)
{
  KrMachineType t = { .name = (char *) "t", .cpus = 8, .mem_gb = 64 };
  g_autoptr (GPtrArray) types = g_ptr_array_new ();
  g_autoptr (GPtrArray) needs = g_ptr_array_new_with_free_func (kr_demand_free);
  g_autoptr (GPtrArray) all = g_ptr_array_new_with_free_func (kr_supply_free);
  double targets[3];
  g_ptr_array_add (types, &t);
  KrDemand *urgent = need (0, 1, 10, TRUE), *paced = need (1, 1, 4, TRUE),
           *small = need (2, 1, 6, TRUE);
  urgent->urgent = TRUE;
  paced->max_slots = 100;
  g_ptr_array_add (needs, urgent);
  g_ptr_array_add (needs, paced);
  g_ptr_array_add (needs, small);
  kr_allocation_shard_targets (needs, types, 3, 14, targets);
  g_assert_cmpfloat (targets[0], ==, 10);
  g_assert_cmpfloat (targets[1], ==, 2);
  g_assert_cmpfloat (targets[2], ==, 2);
  kr_allocation_shard_targets (needs, types, 3, 64, targets);
  g_assert_cmpfloat (targets[0], ==, 10);
  g_assert_cmpfloat (targets[1], ==, 48);
  g_assert_cmpfloat (targets[2], ==, 6);
  for (guint i = 0; i < 4; i++) {
    g_autofree char *id = g_strdup_printf ("m%u", i);
    g_ptr_array_add (all, supply (id, &t, 1, TRUE));
  }
  kr_allocation_match (needs, all, TRUE);
  g_assert_cmpfloat (((KrSupply *) all->pdata[3])->unused, <, 1e-6);
  kr_allocation_match (needs, all, FALSE);
  g_assert_cmpfloat (((KrSupply *) all->pdata[3])->unused, >, 0.5);
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
