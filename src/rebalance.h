/* Rebalancing: decides which machines move from one shard to another, so that each shard approaches
 * its target. No I/O and no global state. */
#pragma once
#include "allocation.h"

/* The inputs of one round of rebalancing. The arrays have one entry per shard. */
typedef struct {
  guint shard_count;
  const double *targets;          /* CPUs that the shard should have */
  const char *const *owner_zones; /* zone of the shard's owner; NULL: unknown */
  const gboolean *has_pending;    /* the shard has tasks that wait for capacity */
  gboolean may_drain_busy;        /* further busy machines may be drained and moved */
} KrRebalanceInput;

/* `to` is the shard that the machine moves to. If it is the machine's own shard, an earlier
 * decision to move the machine is revoked. */
typedef void (*KrRebalanceFunc) (const KrSupply *machine, guint to, gpointer data);

/**
 * kr_rebalance:
 * @in: the inputs of the round
 * @supplies: (element-type KrSupply): all machines; on entry, `target_shard` is the shard that each
 *   is known to be moving to; it is updated to the new decision
 * @move: called for each machine whose `target_shard` changed
 *
 * Chooses free machines first (still booting or idle), then the busy machines that will be empty
 * soonest. Only a few busy machines are drained at a time, since a draining machine is partly idle.
 * Machines that are up are balanced separately from booting ones: otherwise a shard whose machines
 * are all still booting would wait while other shards have idle machines. The move of a busy
 * machine is revoked when it is no longer needed, e.g. because machines were rented in the
 * meantime. A dedicated machine moves to the shard that it is dedicated to, or stays there,
 * whatever the sums say. With the same targets, a further round changes nothing.
 */
void kr_rebalance (const KrRebalanceInput *in, GPtrArray *supplies, KrRebalanceFunc move,
                   gpointer data);

/* Counts the CPUs that each shard has once pending moves of free machines are done; busy machines
 * count for their current shard. `have` (out) has `shard_count` entries. */
void kr_rebalance_count_cpus (const GPtrArray *supplies, guint shard_count, double *have);
