/* The allocation of machines to shards: the max-min shares compared with a simple, slow model on
 * random inputs (GTest prints the seed), and small cases of the rest. */
#include "allocation.h"
#include <math.h>

/* Distributes the supply in small steps, each to the shard that has least and still wants more. */
static void
model_targets (const double *demand, guint shards, double supply, double *targets)
{
  const double step = 0.01;
  guint steps = (guint) ceil (supply / step);
  for (guint shard = 0; shard < shards; shard++)
    targets[shard] = 0;
  for (; steps > 0; steps--) {
    gint lowest = -1;
    for (guint shard = 0; shard < shards; shard++)
      if (targets[shard] + step <= demand[shard] &&
          (lowest < 0 || targets[shard] < targets[lowest]))
        lowest = (gint) shard;
    if (lowest < 0)
      return;
    targets[lowest] += step;
  }
}

static void
test_max_min (void)
{
  for (guint i = 0; i < 300; i++) {
    guint shards = (guint) g_test_rand_int_range (1, 7);
    double demand[7], targets[7], expected[7], supply = g_test_rand_double_range (0, 100);
    for (guint shard = 0; shard < shards; shard++)
      demand[shard] = g_test_rand_bit () ? 0 : g_test_rand_double_range (0, 60);
    kr_allocation_max_min (demand, shards, supply, targets);
    model_targets (demand, shards, supply, expected);
    for (guint shard = 0; shard < shards; shard++)
      g_assert_cmpfloat (fabs (targets[shard] - expected[shard]), <, 0.05);
  }
}

static KrDemand *
demand_new (guint shard, double cpus, double slots, gboolean spot)
{
  KrDemand *demand = g_new0 (KrDemand, 1);
  demand->shard = shard;
  demand->goal_slots = demand->max_slots = slots;
  demand->requirements = g_new0 (KrJobSpec, 1);
  demand->requirements->cpus = cpus;
  demand->requirements->spot_allowed = spot;
  return demand;
}

static KrSupply *
supply_new (const char *id, const KrMachineType *type, gint shard, gboolean spot)
{
  KrSupply *machine = g_new0 (KrSupply, 1);
  machine->id = g_strdup (id);
  machine->type = type;
  machine->zone = "z";
  machine->shard = shard;
  machine->spot = spot;
  return machine;
}

/* Machines serve their own shard's demand first, spot before on-demand machines. Spot machines do
 * not serve demand that does not allow them. */
static void
test_match (void)
{
  const KrMachineType type = { .name = (char *) "t", .cpus = 8, .mem_gb = 64 };
  g_autoptr (GPtrArray) demands = g_ptr_array_new_with_free_func (kr_demand_free);
  g_autoptr (GPtrArray) supplies = g_ptr_array_new_with_free_func (kr_supply_free);
  g_ptr_array_add (demands, demand_new (0, 1, 8, TRUE));
  g_ptr_array_add (demands, demand_new (1, 4, 3, FALSE));
  KrSupply *on_demand = supply_new ("a", &type, 0, FALSE), *spot = supply_new ("b", &type, 0, TRUE),
           *idle = supply_new ("c", &type, 1, TRUE);
  g_ptr_array_add (supplies, on_demand);
  g_ptr_array_add (supplies, spot);
  g_ptr_array_add (supplies, idle);
  kr_allocation_match (demands, supplies, FALSE);
  g_assert_cmpfloat (((KrDemand *) demands->pdata[0])->unmet_slots, ==, 0);
  g_assert_cmpfloat (((KrDemand *) demands->pdata[1])->unmet_slots, ==, 1);
  g_assert_cmpfloat (spot->unused, <, 1e-6);
  g_assert_cmpfloat (on_demand->unused, <, 1e-6); /* serves 2 of the 3 slots */
  g_assert_cmpfloat (idle->unused, ==, 1);
}

/* Guards against a leader that crashes because a machine's zone is not known. */
static void
test_machine_of_unknown_zone (void)
{
  const KrMachineType type = {
    .name = (char *) "t", .zones = (char *[]){ (char *) "z", NULL }, .cpus = 8, .mem_gb = 64
  };
  g_autoptr (GPtrArray) demands = g_ptr_array_new_with_free_func (kr_demand_free);
  g_autoptr (GPtrArray) supplies = g_ptr_array_new_with_free_func (kr_supply_free);
  KrDemand *bound = demand_new (0, 1, 4, TRUE), *unbound = demand_new (0, 1, 3, TRUE);
  KrSupply *machine = supply_new ("a", &type, 0, TRUE);
  bound->requirements->zone = g_strdup ("z");
  machine->zone = NULL;
  g_ptr_array_add (demands, bound);
  g_ptr_array_add (demands, unbound);
  g_ptr_array_add (supplies, machine);
  kr_allocation_match (demands, supplies, FALSE);
  g_assert_cmpfloat (bound->unmet_slots, ==, 4);
  g_assert_cmpfloat (unbound->unmet_slots, ==, 0);
  machine->zone = "z";
  kr_allocation_match (demands, supplies, FALSE);
  g_assert_cmpfloat (bound->unmet_slots, ==, 0);
  g_assert_true (kr_placement_allowed (unbound->requirements, NULL, NULL, TRUE));
  unbound->requirements->types = g_strdupv ((char *[]){ (char *) "t", NULL });
  g_assert_false (kr_placement_allowed (unbound->requirements, NULL, "z", TRUE));
}

/* Urgent work comes first, then what the goals of other work require; the rest goes to work that
 * could run but is not required yet. Only what the goals require counts for renting. */
static void
test_shard_targets (void)
{
  KrMachineType type = { .name = (char *) "t", .cpus = 8, .mem_gb = 64 };
  g_autoptr (GPtrArray) types = g_ptr_array_new ();
  g_autoptr (GPtrArray) demands = g_ptr_array_new_with_free_func (kr_demand_free);
  g_autoptr (GPtrArray) supplies = g_ptr_array_new_with_free_func (kr_supply_free);
  double targets[3];
  g_ptr_array_add (types, &type);
  KrDemand *urgent = demand_new (0, 1, 10, TRUE), *extensible = demand_new (1, 1, 4, TRUE),
           *normal = demand_new (2, 1, 6, TRUE);
  urgent->urgent = TRUE;
  extensible->max_slots = 100;
  g_ptr_array_add (demands, urgent);
  g_ptr_array_add (demands, extensible);
  g_ptr_array_add (demands, normal);
  kr_allocation_shard_targets (demands, types, 3, 14, targets);
  g_assert_cmpfloat (targets[0], ==, 10);
  g_assert_cmpfloat (targets[1], ==, 2);
  g_assert_cmpfloat (targets[2], ==, 2);
  kr_allocation_shard_targets (demands, types, 3, 64, targets);
  g_assert_cmpfloat (targets[0], ==, 10);
  g_assert_cmpfloat (targets[1], ==, 48);
  g_assert_cmpfloat (targets[2], ==, 6);
  for (guint i = 0; i < 4; i++) {
    g_autofree char *id = g_strdup_printf ("m%u", i);
    g_ptr_array_add (supplies, supply_new (id, &type, 1, TRUE));
  }
  kr_allocation_match (demands, supplies, TRUE);
  g_assert_cmpfloat (((KrSupply *) supplies->pdata[3])->unused, <, 1e-6);
  kr_allocation_match (demands, supplies, FALSE);
  g_assert_cmpfloat (((KrSupply *) supplies->pdata[3])->unused, >, 0.5);
}

/* --- restricted demand on random fleets -------------------------------------------------- */
#define SHARDS 3

static const KrMachineType random_types[] = {
  { .name = (char *) "small",
    .zones = (char *[]){ (char *) "z0", (char *) "z1", NULL },
    .cpus = 4,
    .mem_gb = 32 },
  { .name = (char *) "large", .zones = (char *[]){ (char *) "z1", NULL }, .cpus = 8, .mem_gb = 64 },
};

static gboolean
chance (double probability)
{
  return g_test_rand_double () < probability;
}

static KrDemand *
random_demand (void)
{
  KrDemand *demand = demand_new ((guint) g_test_rand_int_range (0, SHARDS),
                                 chance (0.2) ? 6 : g_test_rand_double_range (0.01, 4),
                                 g_test_rand_int_range (0, 12), chance (0.8));
  if (chance (0.4))
    demand->requirements->zone = g_strdup (chance (0.5) ? "z0" : "z1");
  return demand;
}

static KrSupply *
random_supply (guint number)
{
  g_autofree char *id = g_strdup_printf ("m%02u", number);
  const KrMachineType *type = &random_types[g_test_rand_int_range (0, 2)];
  KrSupply *machine = supply_new (id, type, g_test_rand_int_range (-1, SHARDS), chance (0.7));
  machine->zone = type == &random_types[0] && chance (0.5) ? "z0" : "z1";
  machine->up = machine->shard >= 0 && chance (0.8);
  machine->idle_s = machine->up && chance (0.4) ? 1 : -1;
  machine->target_shard = -1;
  machine->unavailable = chance (0.1);
  return machine;
}

/* Whether the machine may serve the demand at all, by a rule of its own. */
static gboolean
model_allows (const KrDemand *demand, const KrSupply *machine)
{
  const KrJobSpec *spec = demand->requirements;
  return !machine->unavailable && spec->cpus <= machine->type->cpus &&
         (!spec->zone || g_str_equal (spec->zone, machine->zone)) &&
         (!machine->spot || spec->spot_allowed);
}

static gboolean
model_is_restricted (const KrDemand *demand, const GPtrArray *supplies)
{
  for (guint i = 0; i < supplies->len; i++) {
    const KrSupply *machine = supplies->pdata[i];
    if (!machine->unavailable && !model_allows (demand, machine))
      return TRUE;
  }
  return FALSE;
}

/* The slots that machines which belong to the demand's shard, or are to move there, could hold at
 * most. */
static double
model_slots_in_shard (const KrDemand *demand, const GPtrArray *supplies)
{
  double slots = 0;
  for (guint i = 0; i < supplies->len; i++) {
    const KrSupply *machine = supplies->pdata[i];
    gboolean there = machine->dedicated ? machine->dedicated_to == demand->shard
                                        : machine->shard == (gint) demand->shard;
    if (there && model_allows (demand, machine))
      slots += 1 / kr_placement_machine_share (demand->requirements, machine->type);
  }
  return slots;
}

static void
check_match (const GPtrArray *demands, const GPtrArray *supplies)
{
  for (guint k = 0; k < demands->len; k++) {
    const KrDemand *demand = demands->pdata[k];
    g_assert_cmpint (demand->restricted, ==, model_is_restricted (demand, supplies));
    if (!demand->restricted)
      continue;
    g_assert_cmpfloat (demand->goal_slots - demand->unmet_slots, <=,
                       model_slots_in_shard (demand, supplies) + 1e-6);
    for (guint i = 0; demand->unmet_slots > 1e-6 && i < supplies->len; i++) {
      const KrSupply *machine = supplies->pdata[i];
      gboolean is_free = !machine->up || machine->idle_s >= 0;
      g_assert_false (is_free && machine->unused >= 1 && model_allows (demand, machine));
    }
  }
  for (guint i = 0; i < supplies->len; i++) {
    const KrSupply *machine = supplies->pdata[i];
    g_assert_true (!machine->dedicated || machine->dedicated_to == (guint) machine->shard ||
                   !machine->up || machine->idle_s >= 0);
  }
}

/* Carries out the moves of dedicated machines. Returns their number. */
static guint
apply_dedications (const GPtrArray *supplies)
{
  guint moves = 0;
  for (guint i = 0; i < supplies->len; i++) {
    KrSupply *machine = supplies->pdata[i];
    if (!machine->dedicated || machine->shard == (gint) machine->dedicated_to)
      continue;
    machine->shard = (gint) machine->dedicated_to;
    moves++;
  }
  return moves;
}

/* Guards against demand that counts as served by machines that it does not get, compared with a
 * plain model, and against machines that move to and fro for it. */
static void
test_restricted_demand (void)
{
  for (guint round = 0; round < 500; round++) {
    g_autoptr (GPtrArray) demands = g_ptr_array_new_with_free_func (kr_demand_free);
    g_autoptr (GPtrArray) supplies = g_ptr_array_new_with_free_func (kr_supply_free);
    for (gint i = g_test_rand_int_range (1, 8); i > 0; i--)
      g_ptr_array_add (demands, random_demand ());
    for (gint i = g_test_rand_int_range (0, 16); i > 0; i--)
      g_ptr_array_add (supplies, random_supply ((guint) i));
    guint moves = 1;
    for (guint step = 0; step <= supplies->len && moves; step++) {
      kr_allocation_match (demands, supplies, FALSE);
      check_match (demands, supplies);
      moves = apply_dedications (supplies);
    }
    g_assert_cmpuint (moves, ==, 0);
  }
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/allocation/max-min", test_max_min);
  g_test_add_func ("/allocation/match", test_match);
  g_test_add_func ("/allocation/machine-of-unknown-zone", test_machine_of_unknown_zone);
  g_test_add_func ("/allocation/shard-targets", test_shard_targets);
  g_test_add_func ("/allocation/restricted-demand", test_restricted_demand);
  return g_test_run ();
}
