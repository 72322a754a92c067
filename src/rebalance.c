#include "rebalance.h"
#include "constants.h"
#include <string.h>

#define CPU_EPSILON 1e-6 /* CPUs; targets are sums of decimal numbers */

typedef struct {
  const KrRebalance *in;
  GPtrArray *supplies;
  gboolean up;    /* machines that are up are looked at now, else those that are not */
  double *have;   /* CPUs of each part, what it is getting included */
  guint *leaving; /* machines of each part that are on their way to another */
  guint *count;   /* machines of each part */
} Round;

void
kr_rebalance_count (const GPtrArray *supplies, gboolean up, guint parts, double *have)
{
  memset (have, 0, parts * sizeof *have);
  for (guint i = 0; i < supplies->len; i++) {
    const KrSupply *s = supplies->pdata[i];
    if (s->part >= 0 && !s->going && s->type && (s->up || !up))
      have[s->to >= 0 ? s->to : s->part] += s->type->cpus;
  }
}

static double
lack (const Round *round, guint part)
{
  return round->in->targets[part] - round->have[part];
}

static guint
most_lacking (const Round *round)
{
  guint most = 0;
  for (guint part = 1; part < round->in->parts; part++)
    if (lack (round, part) > lack (round, most))
      most = part;
  return most;
}

/* Half a machine is lacking and half a machine is over, and more than that together: with exactly
 * half on both sides it would be moved back in the next round, and so for ever. */
static gboolean
brings_closer (const Round *round, const KrSupply *machine, guint to)
{
  double cpus = machine->type->cpus, lacking = lack (round, to),
         over = -lack (round, (guint) machine->part);
  /* Never none where something is wanted: two parts may have to take turns with a machine, but not
   * before it is up. */
  gboolean has_none = round->have[to] <= 0 && round->in->targets[to] > 0 &&
                      (round->up || round->have[machine->part] > cpus);
  return over >= cpus / 2 &&
         (has_none || (lacking >= cpus / 2 && lacking + over > cpus + CPU_EPSILON));
}

static gboolean
may_leave (const Round *round, const KrSupply *machine)
{
  guint part = (guint) machine->part;
  gboolean free = !machine->up || machine->idle_s >= 0;
  /* A part where nothing waits loses nothing by emptying its machines. */
  if (free || !round->in->waiting[part])
    return TRUE;
  return round->in->busy_too && round->leaving[part] < 1 + round->count[part] / KR_LEAVING_PART;
}

/* Those near the new owner first, then those that are empty soonest. */
static KrSupply *
best_for (const Round *round, guint to)
{
  const char *zone = round->in->owner_zones[to];
  KrSupply *best = NULL;
  gboolean best_near = FALSE;
  for (guint i = 0; i < round->supplies->len; i++) {
    KrSupply *machine = round->supplies->pdata[i];
    if (machine->part < 0 || machine->part == (gint) to || machine->going || machine->to >= 0 ||
        !machine->type || machine->up != round->up || !brings_closer (round, machine, to) ||
        !may_leave (round, machine))
      continue;
    gboolean near = g_strcmp0 (machine->zone, zone) == 0;
    if (!best || near > best_near || (near == best_near && machine->rest_s < best->rest_s)) {
      best = machine;
      best_near = near;
    }
  }
  return best;
}

static void
take_note (Round *round, KrSupply *machine, guint to)
{
  round->leaving[machine->part]++;
  round->have[machine->part] -= machine->type->cpus;
  round->have[to] += machine->type->cpus;
  machine->to = (gint) to;
}

void
kr_rebalance (const KrRebalance *in, GPtrArray *supplies, KrRebalanceFunc move, gpointer data)
{
  g_autofree double *have = g_new0 (double, in->parts);
  g_autofree guint *leaving = g_new0 (guint, in->parts), *count = g_new0 (guint, in->parts);
  Round round = { in, supplies, TRUE, have, leaving, count };
  guint most_moves = MAX (KR_MOVES_MIN, supplies->len / KR_MOVES_SHARE);

  for (guint i = 0; i < supplies->len; i++) {
    const KrSupply *machine = supplies->pdata[i];
    if (machine->part < 0)
      continue;
    count[machine->part]++;
    leaving[machine->part] += machine->to >= 0;
  }
  kr_rebalance_count (supplies, round.up, in->parts, have);
  for (guint moves = 0; moves < most_moves;) {
    guint to = most_lacking (&round);
    KrSupply *machine = best_for (&round, to);
    if (machine) {
      move (machine, to, data);
      take_note (&round, machine, to);
      moves++;
    } else if (round.up) {
      round.up = FALSE;
      kr_rebalance_count (supplies, round.up, in->parts, have);
    } else
      break;
  }
}
