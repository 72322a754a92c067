/* Which machines change parts, toward each part's share. Pure. */
#pragma once
#include "shares.h"

/* What a round of moves goes by; the arrays hold an entry for each part. */
typedef struct {
  guint parts;
  const double *targets;          /* CPUs that the part should have */
  const char *const *owner_zones; /* zone of the part's owner; NULL: unknown */
  const gboolean *waiting;        /* tasks wait in the part */
  gboolean busy_too;              /* machines in use may be told to run empty and leave */
} KrRebalance;

typedef void (*KrRebalanceFunc) (const KrSupply *machine, guint to, gpointer data);

/**
 * kr_rebalance:
 * @in: what to go by
 * @supplies: (element-type KrSupply): all machines; `to` of those chosen is set
 * @move: called for each machine chosen, with the part that gets it
 *
 * Chooses free machines first (not yet up, or idle), then of the busy ones those that are empty
 * soonest, a few at a time, since a machine that runs empty stands partly idle. Machines that are
 * up are shared for themselves: a part whose machines are all still to come would otherwise wait
 * beside idle ones. With the same targets, a further round moves none of them back.
 */
void kr_rebalance (const KrRebalance *in, GPtrArray *supplies, KrRebalanceFunc move, gpointer data);

/* CPUs that each part has or is getting; `up`: of machines that are up only. */
void kr_rebalance_count (const GPtrArray *supplies, gboolean up, guint parts, double *have);
