/* Which machines change parts, toward each part's share. Pure. */
#pragma once
#include "allocation.h"

/* What a round of moves goes by; the arrays hold an entry for each part. */
typedef struct {
  guint shards;
  const double *targets;          /* CPUs that the part should have */
  const char *const *owner_zones; /* zone of the part's owner; NULL: unknown */
  const gboolean *has_pending;    /* tasks wait in the part */
  gboolean may_drain_busy;        /* further machines in use may be told to run empty and leave */
} KrRebalanceInput;

/* `to`: the part that gets the machine; its own: it stays, and is not to leave any more. */
typedef void (*KrRebalanceFunc) (const KrSupply *machine, guint to, gpointer data);

/**
 * kr_rebalance:
 * @in: what to go by
 * @supplies: (element-type KrSupply): all machines; `to` is where each is going as far as known,
 *   and afterwards where it shall go
 * @move: called for each machine for which that has changed
 *
 * Chooses free machines first (not yet up, or idle), then of the busy ones those that are empty
 * soonest, a few at a time, since a machine that runs empty stands partly idle. Machines that are
 * up are shared for themselves: a part whose machines are all still to come would otherwise wait
 * beside idle ones. A busy machine is told to stay once its move is not needed any more: what was
 * rented meanwhile may serve. With the same targets, a further round changes nothing.
 */
void kr_rebalance (const KrRebalanceInput *in, GPtrArray *supplies, KrRebalanceFunc move,
                   gpointer data);

/* CPUs that each part will have within a moment: busy machines count where they are. */
void kr_rebalance_count_cpus (const GPtrArray *supplies, guint shards, double *have);
