/* Moves of machines between parts, on random inputs; GTest prints the seed. */
#include "rebalance.h"

#define PARTS 3

static const KrMachineType eight = { .name = (char *) "t", .cpus = 8, .mem_gb = 64 };

typedef struct {
  GPtrArray *supplies;
  guint moves;
} Fleet;

static void
add_machine (Fleet *fleet, gint shard, gboolean up, double idle_s)
{
  KrSupply *machine = g_new0 (KrSupply, 1);
  machine->id = g_strdup_printf ("m%u", fleet->supplies->len);
  machine->type = &eight;
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

static guint
decide (Fleet *fleet, const double *targets)
{
  const char *const zones[PARTS] = { "z", "z", "z" };
  const gboolean waiting[PARTS] = { TRUE, TRUE, TRUE };
  const KrRebalanceInput in = { PARTS, targets, zones, waiting, TRUE };
  fleet->moves = 0;
  kr_rebalance (&in, fleet->supplies, count_move, fleet);
  return fleet->moves;
}

/* One round, carried out at once. */
static guint
play_round (Fleet *fleet, const double *targets)
{
  guint moves = decide (fleet, targets);
  for (guint i = 0; i < fleet->supplies->len; i++) {
    KrSupply *machine = fleet->supplies->pdata[i];
    if (machine->target_shard >= 0)
      machine->shard = machine->target_shard;
    machine->target_shard = -1;
  }
  return moves;
}

static guint
going_to (const Fleet *fleet, gint shard)
{
  guint n = 0;
  for (guint i = 0; i < fleet->supplies->len; i++)
    n += ((KrSupply *) fleet->supplies->pdata[i])->target_shard == shard;
  return n;
}

/* What is shared in whole machines settles: guards against machines that pass to and fro between
 * two parts that both lack, and both have over, half a machine. Where something is wanted and there
 * are machines enough, there is one. */
static void
test_settles (void)
{
  for (guint round = 0; round < 400; round++) {
    Fleet fleet = { g_ptr_array_new_with_free_func (kr_supply_free), 0 };
    guint machines = (guint) g_test_rand_int_range (2, 40);
    double targets[PARTS] = { 0 }, left = machines * eight.cpus;
    for (guint i = 0; i < machines; i++)
      add_machine (&fleet, g_test_rand_int_range (0, PARTS), FALSE, -1);
    for (guint shard = 0; shard + 1 < PARTS; shard++) {
      targets[shard] = 4 * g_test_rand_int_range (0, (gint) (left / 4) + 1);
      left -= targets[shard];
    }
    targets[PARTS - 1] = left;
    play_round (&fleet, targets);
    play_round (&fleet, targets);
    g_assert_cmpuint (play_round (&fleet, targets), ==, 0);
    /* None is further from its share than a machine, but where others keep their last one. */
    double have[PARTS];
    kr_rebalance_count_cpus (fleet.supplies, PARTS, have);
    for (guint shard = 0; shard < PARTS; shard++) {
      g_assert_cmpfloat (have[shard], <, targets[shard] + eight.cpus);
      for (guint other = 0; have[shard] <= targets[shard] - eight.cpus && other < PARTS; other++)
        g_assert_true (have[other] <= targets[other] || have[other] <= eight.cpus);
      g_assert_true (have[shard] > 0 || targets[shard] <= 0 || machines < PARTS);
    }
    g_ptr_array_unref (fleet.supplies);
  }
}

/* Work comes to a part, and busy machines of the others are to run empty for it. Then machines are
 * rented for it: guards against new ones that go to the others instead, where nothing waits, while
 * the work waits for the busy ones. */
static void
test_stay (void)
{
  Fleet fleet = { g_ptr_array_new_with_free_func (kr_supply_free), 0 };
  for (gint i = 0; i < 24; i++)
    add_machine (&fleet, i % PARTS, TRUE, -1);
  const double wanted[PARTS] = { 48, 48, 96 }, later[PARTS] = { 64, 64, 96 };
  g_assert_cmpuint (decide (&fleet, wanted), ==, 4);
  g_assert_cmpuint (going_to (&fleet, 2), ==, 4);
  g_assert_cmpuint (decide (&fleet, wanted), ==, 0); /* nothing new to say */
  double have[PARTS];
  kr_rebalance_count_cpus (fleet.supplies, PARTS, have);
  g_assert_cmpfloat (have[2], ==, 64); /* what is rented goes there, not to the others */
  for (guint i = 0; i < 4; i++)
    add_machine (&fleet, 2, FALSE, -1);
  g_assert_cmpuint (decide (&fleet, later), ==, 4);
  g_assert_cmpuint (going_to (&fleet, -1), ==, fleet.supplies->len);
  g_ptr_array_unref (fleet.supplies);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/rebalance/settles", test_settles);
  g_test_add_func ("/rebalance/stay", test_stay);
  return g_test_run ();
}
