#include "rebalance.h"
#include "constants.h"
#include <string.h>

#define CPU_EPSILON 1e-6 /* CPUs; targets are sums of decimal numbers */

typedef struct {
  const KrRebalanceInput *in;
  GPtrArray *supplies;
  gint *chosen;   /* part that the machine shall go to; -1: it stays */
  gboolean up;    /* machines that are up are looked at now, else those that are not */
  double *have;   /* CPUs of each part, what it gets included */
  guint *leaving; /* machines of each part that shall go to another */
  guint *count;   /* machines of each part */
} Round;

/* It can go at once. */
static gboolean
is_free (const KrSupply *machine)
{
  return !machine->up || machine->idle_s >= 0;
}

static gboolean
counts (const KrSupply *machine)
{
  return machine->shard >= 0 && !machine->unavailable && machine->type;
}

void
kr_rebalance_count_cpus (const GPtrArray *supplies, guint shards, double *have)
{
  memset (have, 0, shards * sizeof *have);
  for (guint i = 0; i < supplies->len; i++) {
    const KrSupply *machine = supplies->pdata[i];
    if (counts (machine))
      have[machine->target_shard >= 0 && is_free (machine) ? machine->target_shard
                                                           : machine->shard] += machine->type->cpus;
  }
}

static void
count_chosen (Round *round)
{
  memset (round->have, 0, round->in->shards * sizeof *round->have);
  for (guint i = 0; i < round->supplies->len; i++) {
    const KrSupply *machine = round->supplies->pdata[i];
    if (counts (machine) && (machine->up || !round->up))
      round->have[round->chosen[i] >= 0 ? round->chosen[i] : machine->shard] += machine->type->cpus;
  }
}

static double
lack (const Round *round, guint shard)
{
  return round->in->targets[shard] - round->have[shard];
}

static guint
most_lacking (const Round *round)
{
  guint most = 0;
  for (guint shard = 1; shard < round->in->shards; shard++)
    if (lack (round, shard) > lack (round, most))
      most = shard;
  return most;
}

/* Never none where something is wanted. From a part that has one machine only, two parts take turns
 * with it, but not before it is up. */
static gboolean
has_none (const Round *round, const KrSupply *machine, guint to)
{
  gboolean one_of_several = round->have[machine->shard] > machine->type->cpus;
  return round->have[to] <= 0 && round->in->targets[to] > 0 && (round->up || one_of_several);
}

static gboolean
is_last (const Round *round, const KrSupply *machine)
{
  return round->have[machine->shard] <= machine->type->cpus &&
         round->in->targets[machine->shard] > 0;
}

/* Half a machine is lacking and half a machine is over, and more than that together: with exactly
 * half on both sides it would be moved back in the next round, and so for ever. */
static gboolean
brings_closer (const Round *round, const KrSupply *machine, guint to)
{
  double cpus = machine->type->cpus, lacking = lack (round, to),
         over = -lack (round, (guint) machine->shard);
  if (has_none (round, machine, to))
    return over >= cpus / 2 || !is_last (round, machine);
  return over >= cpus / 2 && lacking >= cpus / 2 && lacking + over > cpus + CPU_EPSILON &&
         !is_last (round, machine);
}

static gboolean
may_leave (const Round *round, const KrSupply *machine, guint to)
{
  guint shard = (guint) machine->shard;
  /* A part where nothing waits loses nothing by emptying its machines. */
  if (is_free (machine) || machine->target_shard == (gint) to || !round->in->has_pending[shard])
    return TRUE;
  return round->in->may_drain_busy &&
         round->leaving[shard] < 1 + round->count[shard] / KR_REBALANCE_DRAINING_DIVISOR;
}

/* Larger goes first: what is on its way there already, what goes nowhere, what goes elsewhere. */
static int
preference (const KrSupply *machine, guint to)
{
  if (machine->target_shard == (gint) to)
    return 2;
  return machine->target_shard < 0 ? 1 : 0;
}

/* Whether `a` should go to the part rather than `b`: those near the new owner, then those that are
 * empty soonest. */
static gboolean
goes_before (const KrSupply *a, const KrSupply *b, guint to, const char *zone)
{
  int preferred = preference (a, to) - preference (b, to);
  gboolean a_near = g_strcmp0 (a->zone, zone) == 0, b_near = g_strcmp0 (b->zone, zone) == 0;
  if (preferred != 0)
    return preferred > 0;
  return a_near != b_near ? a_near : a->drain_s < b->drain_s;
}

/* The index of the machine that should go to the part next, or -1. */
static gint
best_for (const Round *round, guint to)
{
  const char *zone = round->in->owner_zones[to];
  gint best = -1;
  for (guint i = 0; i < round->supplies->len; i++) {
    const KrSupply *machine = round->supplies->pdata[i];
    if (!counts (machine) || round->chosen[i] >= 0 || machine->shard == (gint) to ||
        machine->up != round->up || !brings_closer (round, machine, to) ||
        !may_leave (round, machine, to))
      continue;
    if (best < 0 || goes_before (machine, round->supplies->pdata[best], to, zone))
      best = (gint) i;
  }
  return best;
}

static void
choose (Round *round, guint index, guint to)
{
  const KrSupply *machine = round->supplies->pdata[index];
  round->chosen[index] = (gint) to;
  round->leaving[machine->shard]++;
  round->have[machine->shard] -= machine->type->cpus;
  round->have[to] += machine->type->cpus;
}

static void
choose_all (Round *round)
{
  guint most_moves =
      MAX (KR_REBALANCE_MOVES_MIN, round->supplies->len / KR_REBALANCE_MOVES_DIVISOR);
  count_chosen (round);
  for (guint moves = 0; moves < most_moves;) {
    guint to = most_lacking (round);
    gint index = best_for (round, to);
    if (index >= 0) {
      moves += ((KrSupply *) round->supplies->pdata[index])->target_shard != (gint) to;
      choose (round, (guint) index, to);
    } else if (round->up) {
      round->up = FALSE;
      count_chosen (round);
    } else
      break;
  }
}

void
kr_rebalance (const KrRebalanceInput *in, GPtrArray *supplies, KrRebalanceFunc move, gpointer data)
{
  g_autofree gint *chosen = g_new (gint, MAX (1, supplies->len));
  g_autofree double *have = g_new0 (double, in->shards);
  g_autofree guint *leaving = g_new0 (guint, in->shards), *count = g_new0 (guint, in->shards);
  Round round = { in, supplies, chosen, TRUE, have, leaving, count };

  for (guint i = 0; i < supplies->len; i++) {
    const KrSupply *machine = supplies->pdata[i];
    chosen[i] = -1;
    if (machine->shard >= 0)
      count[machine->shard]++;
  }
  choose_all (&round);
  for (guint i = 0; i < supplies->len; i++) {
    KrSupply *machine = supplies->pdata[i];
    if (machine->target_shard == chosen[i] || !counts (machine))
      continue;
    machine->target_shard = chosen[i];
    move (machine, (guint) (chosen[i] >= 0 ? chosen[i] : machine->shard), data);
  }
}
