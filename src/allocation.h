/* Allocation of machines to the demand of all shards. The results show which machines to rent, move
 * and return. No I/O and no global state. */
#pragma once
#include "placement.h"
#include "settings.h"

/* A shard's demand for slots with the same requirements. A slot is the capacity for one task. */
typedef struct {
  guint shard;
  KrJobSpec *requirements; /* only id, types, zone, spot_allowed, cpus, gpus and mem_gb are set */
  double starved_slots; /* part of `goal_slots`: for jobs that have waited long for a first task */
  double goal_slots;    /* slots needed to meet the goals of the jobs */
  double max_slots;     /* slots that could be used if there were capacity for all tasks */
  double unmet_slots;   /* out: slots that no machine can provide */
  gboolean restricted;  /* out: some machine cannot serve it */
  gboolean urgent;
} KrDemand;
/* Frees a KrDemand; a GDestroyNotify. */
void kr_demand_free (gpointer data);

/* Whether machines of that type, zone (NULL: not known) and kind can serve the demand. Decides this
 * both for the machines there are and for the pools that more could be rented from. */
gboolean kr_demand_allows (const KrDemand *demand, const KrMachineType *type, const char *zone,
                           gboolean spot);

/* A machine as supply of slots. */
typedef struct {
  char *id;
  const KrMachineType *type; /* NULL: unknown */
  const char *zone;          /* borrowed; NULL: unknown */
  gint shard;                /* -1: not assigned yet */
  gboolean spot, up;
  gboolean unavailable; /* failed, being returned, or overdue in booting: not counted as supply */
  double idle_s;        /* -1: not idle */
  double drain_s;       /* s until it is empty if no further task starts */
  gint target_shard;    /* shard that it moves to once it is empty; -1: none */
  double unused;        /* out: fraction of the machine that no demand needs, 0 to 1 */
  /* out: it serves restricted demand of the shard `dedicated_to`, and must belong to that shard. */
  gboolean dedicated;
  guint dedicated_to;
} KrSupply;
/* Frees a KrSupply; a GDestroyNotify. */
void kr_supply_free (gpointer data);

/* Whether the machine counts as supply. */
gboolean kr_supply_is_counted (const KrSupply *supply);
/* Whether the machine can move without being drained: it is idle or still boots. */
gboolean kr_supply_is_free (const KrSupply *supply);
/* Returns the shard that the machine belongs to once a pending move is done, or -1. The move of a
 * busy machine may still be revoked, and does not count. */
gint kr_supply_shard (const KrSupply *supply);

/* Returns the CPUs that `slots` slots of the demand occupy: for each slot, its share of a machine
 * (see kr_placement_machine_share()) of the first of `types` that fits, times the CPUs of that
 * type. Returns 0 if no type fits. */
double kr_demand_cpus (const KrDemand *demand, double slots, const GPtrArray *types);
/* Divides `supply` CPUs among the shards by max-min fairness: small demands are met in full, and
 * the other shards get equal shares of the rest. CPUs beyond the total demand stay undivided.
 * `demand` and `targets` (out) hold the CPUs of each shard. */
void kr_allocation_max_min (const double *demand, guint shard_count, double supply,
                            double *targets);

/* Matches machines with demand, the cheapest machines first: decides which demand is served by what
 * there is. What is left unmet is to be rented. The machines of each shard serve its own demand
 * first. Unused capacity then serves other shards:
 * - demand that every machine can serve counts as served by any of it, since sums of CPUs decide
 *   how many machines each shard gets (kr_allocation_shard_targets());
 * - restricted demand is served by whole free machines only, which are then dedicated to its shard:
 *   no sum says that the machine to move has to be of a certain type, zone or kind.
 * With `use_max`, the demand is `max_slots` instead of `goal_slots`. Sets the fields marked "out".
 */
void kr_allocation_match (GPtrArray *demands, GPtrArray *supplies, gboolean use_max);

/* Computes in `targets` (out) how many of the `supply` CPUs each shard should have. The demand is
 * served in this order:
 * 1. starving jobs, since a stream of urgent jobs may never end;
 * 2. urgent jobs, since they can preempt other tasks in their own shard, but not in another one;
 * 3. the rest of the demand to meet goals;
 * 4. everything else that could run, so that machines that are already paid for are used before
 *    they are returned. */
void kr_allocation_shard_targets (const GPtrArray *demands, const GPtrArray *types,
                                  guint shard_count, double supply, double *targets);
