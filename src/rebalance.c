#include "rebalance.h"
#include "constants.h"
#include <string.h>

/* Tolerance in CPUs for rounding errors: targets are sums of decimal fractions. */
#define CPU_EPSILON 1e-6

typedef struct {
  const KrRebalanceInput *in;
  GPtrArray *supplies;
  gint *chosen; /* for each machine, the shard that it moves to; -1: it stays */
  /* TRUE: only machines that are up are counted and moved. FALSE: all machines are counted, and
   * only booting ones are moved. */
  gboolean up;
  double *have;   /* CPUs of each shard after the moves chosen so far */
  guint *leaving; /* number of machines that leave each shard */
  guint *count;   /* number of machines in each shard */
} Round;

/* Whether the machine counts as supply of the shard that it is assigned to. */
static gboolean
is_counted (const KrSupply *machine)
{
  return machine->shard >= 0 && kr_supply_is_counted (machine);
}

void
kr_rebalance_count_cpus (const GPtrArray *supplies, guint shard_count, double *have)
{
  memset (have, 0, shard_count * sizeof *have);
  for (guint i = 0; i < supplies->len; i++) {
    const KrSupply *machine = supplies->pdata[i];
    if (is_counted (machine))
      have[kr_supply_shard (machine)] += machine->type->cpus;
  }
}

static void
count_cpus (Round *round)
{
  memset (round->have, 0, round->in->shard_count * sizeof *round->have);
  for (guint i = 0; i < round->supplies->len; i++) {
    const KrSupply *machine = round->supplies->pdata[i];
    if (is_counted (machine) && (machine->up || !round->up))
      round->have[round->chosen[i] >= 0 ? round->chosen[i] : machine->shard] += machine->type->cpus;
  }
}

static double
deficit (const Round *round, guint shard)
{
  return round->in->targets[shard] - round->have[shard];
}

static guint
largest_deficit (const Round *round)
{
  guint most = 0;
  for (guint shard = 1; shard < round->in->shard_count; shard++)
    if (deficit (round, shard) > deficit (round, most))
      most = shard;
  return most;
}

/* Whether the shard `to` has demand but no machine and may therefore get this one even with a small
 * deficit. If the machine is the only one of its shard, the two shards take turns with it, but only
 * once it is up. */
static gboolean
must_have_one (const Round *round, const KrSupply *machine, guint to)
{
  gboolean one_of_several = round->have[machine->shard] > machine->type->cpus;
  return round->have[to] <= 0 && round->in->targets[to] > 0 && (round->up || one_of_several);
}

/* Whether the machine is the only one of a shard that has demand. */
static gboolean
is_last_needed (const Round *round, const KrSupply *machine)
{
  return round->have[machine->shard] <= machine->type->cpus &&
         round->in->targets[machine->shard] > 0;
}

/* Whether moving the machine brings both shards closer to their targets. The deficit of `to` and
 * the surplus of the machine's shard must each be at least half a machine, and together more than
 * one: with exactly half on both sides, the machine would move back and forth in every round. */
static gboolean
improves_balance (const Round *round, const KrSupply *machine, guint to)
{
  double cpus = machine->type->cpus, missing = deficit (round, to),
         surplus = -deficit (round, (guint) machine->shard);
  if (must_have_one (round, machine, to))
    return surplus >= cpus / 2 || !is_last_needed (round, machine);
  return surplus >= cpus / 2 && missing >= cpus / 2 && missing + surplus > cpus + CPU_EPSILON &&
         !is_last_needed (round, machine);
}

static gboolean
may_leave (const Round *round, const KrSupply *machine, guint to)
{
  guint shard = (guint) machine->shard;
  /* Draining costs nothing in a shard without waiting tasks. */
  if (kr_supply_is_free (machine) || machine->target_shard == (gint) to ||
      !round->in->has_pending[shard])
    return TRUE;
  return round->in->may_drain_busy &&
         round->leaving[shard] < 1 + round->count[shard] / KR_REBALANCE_DRAINING_DIVISOR;
}

/* Prefers machines that are already moving to `to`, then those that are not moving, then those that
 * are moving elsewhere. Larger values are preferred. */
static int
preference (const KrSupply *machine, guint to)
{
  if (machine->target_shard == (gint) to)
    return 2;
  return machine->target_shard < 0 ? 1 : 0;
}

/* Whether `a` should move to the shard `to` rather than `b`. Among equal preferences, machines in
 * `zone`, the zone of the new owner, go first, then those that are drained soonest. */
static gboolean
is_better_for (const KrSupply *a, const KrSupply *b, guint to, const char *zone)
{
  int preferred = preference (a, to) - preference (b, to);
  gboolean a_in_zone = g_strcmp0 (a->zone, zone) == 0, b_in_zone = g_strcmp0 (b->zone, zone) == 0;
  if (preferred != 0)
    return preferred > 0;
  return a_in_zone != b_in_zone ? a_in_zone : a->drain_s < b->drain_s;
}

/* Returns the index of the machine that should move to the shard next, or -1. */
static gint
best_machine_for (const Round *round, guint to)
{
  const char *zone = round->in->owner_zones[to];
  gint best = -1;
  for (guint i = 0; i < round->supplies->len; i++) {
    const KrSupply *machine = round->supplies->pdata[i];
    if (!is_counted (machine) || round->chosen[i] >= 0 || machine->shard == (gint) to ||
        machine->dedicated || machine->up != round->up || !improves_balance (round, machine, to) ||
        !may_leave (round, machine, to))
      continue;
    if (best < 0 || is_better_for (machine, round->supplies->pdata[best], to, zone))
      best = (gint) i;
  }
  return best;
}

static void
choose_move (Round *round, guint index, guint to)
{
  const KrSupply *machine = round->supplies->pdata[index];
  round->chosen[index] = (gint) to;
  round->leaving[machine->shard]++;
  round->have[machine->shard] -= machine->type->cpus;
  round->have[to] += machine->type->cpus;
}

static void
choose_moves (Round *round)
{
  guint max_moves = MAX (KR_REBALANCE_MOVES_MIN, round->supplies->len / KR_REBALANCE_MOVES_DIVISOR);
  count_cpus (round);
  for (guint moves = 0; moves < max_moves;) {
    guint to = largest_deficit (round);
    gint index = best_machine_for (round, to);
    if (index >= 0) {
      moves += ((KrSupply *) round->supplies->pdata[index])->target_shard != (gint) to;
      choose_move (round, (guint) index, to);
    } else if (round->up) {
      round->up = FALSE;
      count_cpus (round);
    } else
      break;
  }
}

void
kr_rebalance (const KrRebalanceInput *in, GPtrArray *supplies, KrRebalanceFunc move, gpointer data)
{
  g_autofree gint *chosen = g_new (gint, MAX (1, supplies->len));
  g_autofree double *have = g_new0 (double, in->shard_count);
  g_autofree guint *leaving = g_new0 (guint, in->shard_count),
                   *count = g_new0 (guint, in->shard_count);
  Round round = { in, supplies, chosen, TRUE, have, leaving, count };

  for (guint i = 0; i < supplies->len; i++) {
    const KrSupply *machine = supplies->pdata[i];
    chosen[i] = -1;
    if (machine->shard < 0)
      continue;
    count[machine->shard]++;
    if (machine->dedicated && machine->dedicated_to != (guint) machine->shard)
      chosen[i] = (gint) machine->dedicated_to;
  }
  choose_moves (&round);
  for (guint i = 0; i < supplies->len; i++) {
    KrSupply *machine = supplies->pdata[i];
    if (machine->target_shard == chosen[i] || !is_counted (machine))
      continue;
    machine->target_shard = chosen[i];
    move (machine, (guint) (chosen[i] >= 0 ? chosen[i] : machine->shard), data);
  }
}
