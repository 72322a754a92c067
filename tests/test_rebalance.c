/* Moves of machines between shards on random inputs; GTest prints the seed. */
#include "rebalance.h"

#define SHARDS 3

static const KrMachineType eight_cpu_type = { .name = (char *) "t", .cpus = 8, .mem_gb = 64 };

typedef struct {
  GPtrArray *supplies;
  guint moves;
} Fleet;

static void
add_machine (Fleet *fleet, gint shard, gboolean up, double idle_s)
{
  KrSupply *machine = g_new0 (KrSupply, 1);
  machine->id = g_strdup_printf ("m%u", fleet->supplies->len);
  machine->type = &eight_cpu_type;
  machine->shard = shard;
  machine->up = up;
  machine->idle_s = idle_s;
  machine->drain_s = g_test_rand_double_range (0, 30);
  machine->target_shard = -1;
  g_ptr_array_add (fleet->supplies, machine);
}

static void
count_move (const KrSupply *machine, guint to, gpointer data)
{
  Fleet *fleet = data;
  g_assert_cmpint (machine->target_shard, ==, (gint) to == machine->shard ? -1 : (gint) to);
  fleet->moves++;
}

/* One round. Returns the number of machines whose target has changed. */
static guint
rebalance (Fleet *fleet, const double *targets)
{
  const char *const zones[SHARDS] = { "z", "z", "z" };
  const gboolean has_pending[SHARDS] = { TRUE, TRUE, TRUE };
  const KrRebalanceInput input = { SHARDS, targets, zones, has_pending, TRUE };
  fleet->moves = 0;
  kr_rebalance (&input, fleet->supplies, count_move, fleet);
  return fleet->moves;
}

/* One round whose moves are all carried out at once. Returns the number of moves. */
static guint
rebalance_and_apply (Fleet *fleet, const double *targets)
{
  guint moves = rebalance (fleet, targets);
  for (guint i = 0; i < fleet->supplies->len; i++) {
    KrSupply *machine = fleet->supplies->pdata[i];
    if (machine->target_shard >= 0)
      machine->shard = machine->target_shard;
    machine->target_shard = -1;
  }
  return moves;
}

static guint
count_with_target (const Fleet *fleet, gint shard)
{
  guint count = 0;
  for (guint i = 0; i < fleet->supplies->len; i++)
    count += ((KrSupply *) fleet->supplies->pdata[i])->target_shard == shard;
  return count;
}

/* With constant targets the moves must come to an end. The failure: a machine moved back and forth
 * for ever between two shards, each of which was half a machine below its target without it and
 * half a machine above its target with it. Also, each shard with a target gets a machine if there
 * are enough of them. */
static void
test_converges (void)
{
  for (guint round = 0; round < 400; round++) {
    Fleet fleet = { g_ptr_array_new_with_free_func (kr_supply_free), 0 };
    guint machines = (guint) g_test_rand_int_range (2, 40);
    double targets[SHARDS] = { 0 }, unassigned_cpus = machines * eight_cpu_type.cpus;
    for (guint i = 0; i < machines; i++)
      add_machine (&fleet, g_test_rand_int_range (0, SHARDS), FALSE, -1);
    for (guint shard = 0; shard + 1 < SHARDS; shard++) {
      targets[shard] = 4 * g_test_rand_int_range (0, (gint) (unassigned_cpus / 4) + 1);
      unassigned_cpus -= targets[shard];
    }
    targets[SHARDS - 1] = unassigned_cpus;
    rebalance_and_apply (&fleet, targets);
    rebalance_and_apply (&fleet, targets);
    g_assert_cmpuint (rebalance_and_apply (&fleet, targets), ==, 0);
    /* Each shard is less than a machine off its target. It may lack more only if no other shard
     * exceeds its target with more than its last machine. */
    double cpus[SHARDS];
    kr_rebalance_count_cpus (fleet.supplies, SHARDS, cpus);
    for (guint shard = 0; shard < SHARDS; shard++) {
      g_assert_cmpfloat (cpus[shard], <, targets[shard] + eight_cpu_type.cpus);
      for (guint other = 0; cpus[shard] <= targets[shard] - eight_cpu_type.cpus && other < SHARDS;
           other++)
        g_assert_true (cpus[other] <= targets[other] || cpus[other] <= eight_cpu_type.cpus);
      g_assert_true (cpus[shard] > 0 || targets[shard] <= 0 || machines < SHARDS);
    }
    g_ptr_array_unref (fleet.supplies);
  }
}

/* Work arrives in shard 2, and busy machines of the other shards are drained for it. Then machines
 * are rented for it. The failure: the new machines went to the other shards, where no task was
 * pending, while the work waited for the busy machines to drain. Instead, the new ones stay in
 * shard 2 and the drains are cancelled. */
static void
test_rented_machines_stay (void)
{
  Fleet fleet = { g_ptr_array_new_with_free_func (kr_supply_free), 0 };
  for (gint i = 0; i < 24; i++)
    add_machine (&fleet, i % SHARDS, TRUE, -1);
  const double targets_with_drain[SHARDS] = { 48, 48, 96 },
               targets_after_rental[SHARDS] = { 64, 64, 96 };
  g_assert_cmpuint (rebalance (&fleet, targets_with_drain), ==, 4);
  g_assert_cmpuint (count_with_target (&fleet, 2), ==, 4);
  g_assert_cmpuint (rebalance (&fleet, targets_with_drain), ==, 0); /* the targets are unchanged */
  double cpus[SHARDS];
  kr_rebalance_count_cpus (fleet.supplies, SHARDS, cpus);
  /* Draining machines count where they are, so machines are rented for shard 2, not the others. */
  g_assert_cmpfloat (cpus[2], ==, 64);
  for (guint i = 0; i < 4; i++)
    add_machine (&fleet, 2, FALSE, -1);
  g_assert_cmpuint (rebalance (&fleet, targets_after_rental), ==, 4);
  g_assert_cmpuint (count_with_target (&fleet, -1), ==, fleet.supplies->len);
  g_ptr_array_unref (fleet.supplies);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/rebalance/converges", test_converges);
  g_test_add_func ("/rebalance/rented-machines-stay", test_rented_machines_stay);
  return g_test_run ();
}
