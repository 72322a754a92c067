/* How machines and needs meet, over all parts: what to rent, move and return. Pure. */
#pragma once
#include "placement.h"
#include "settings.h"

/* Slots of one shape that a part wants. */
typedef struct {
  guint shard;
  KrJobSpec *requirements; /* types, zone, spot, cpus, gpus, mem_gb */
  double starved_slots;    /* of `slots`: for jobs of which nothing has begun for long */
  double goal_slots;       /* to meet its jobs' goals */
  double max_slots;        /* if there is room for all of it */
  double unmet_slots;      /* out */
  gboolean urgent;
} KrDemand;
void kr_demand_free (gpointer data);

typedef struct {
  char *id;
  const KrMachineType *type;
  const char *zone; /* borrowed */
  gint shard;       /* -1: none yet */
  gboolean spot, up, unavailable;
  double idle_s;     /* -1: not idle */
  double drain_s;    /* until it is empty, if nothing more starts */
  gint target_shard; /* part that it goes to when empty; -1: none */
  double unused;     /* out: share not needed, 1 = none of it */
} KrSupply;
void kr_supply_free (gpointer data);

/* CPUs of machines that so many slots of a need take, on the first of the types that fits. */
double kr_demand_cpus (const KrDemand *need, double slots, const GPtrArray *types);
/* How `supply` CPUs are shared among parts that want `demand`: small demands are met in full, the
 * others get equal parts of what is left (max-min); what nobody wants stays unshared. */
void kr_allocation_max_min (const double *demand, guint shards, double supply, double *targets);

/* Each part's machines serve its own needs first, cheap ones first, then what is left serves
 * others'. `most`: all that could run, not only what the goals ask for. Fills unmet and left. */
void kr_allocation_match (GPtrArray *needs, GPtrArray *supplies, gboolean most);

/* CPUs that each part should have of `supply`: jobs of which nothing has begun for long come first,
 * since a stream of urgent ones may never end; then urgent work, since it may stop other work in
 * its part, but not in another; then the rest of what the goals ask for; then what else could run,
 * so that machines that are paid for serve it before they go back. */
void kr_allocation_shard_targets (const GPtrArray *needs, const GPtrArray *types, guint shards,
                                  double supply, double *targets);
