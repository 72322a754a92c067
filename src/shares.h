/* How machines and needs meet, over all parts: what to rent, move and return. Pure. */
#pragma once
#include "place.h"
#include "settings.h"

/* Slots of one shape that a part wants. */
typedef struct {
  guint part;
  KrSpec *shape; /* types, zone, spot, cpus, gpus, mem_gb */
  double first;  /* of `slots`: for jobs of which nothing has begun for long */
  double slots;  /* to meet its jobs' goals */
  double most;   /* if there is room for all of it */
  double unmet;  /* out */
  gboolean urgent;
} KrNeed;
void kr_need_free (gpointer data);

typedef struct {
  char *id;
  const KrType *type;
  const char *zone; /* borrowed */
  gint part;        /* -1: none yet */
  gboolean spot, up, going;
  double idle_s; /* -1: not idle */
  double rest_s; /* until it is empty, if nothing more starts */
  gint to;       /* part that it goes to when empty; -1: none */
  double left;   /* out: share not needed, 1 = none of it */
} KrSupply;
void kr_supply_free (gpointer data);

/* CPUs of machines that so many slots of a need take, on the first of the types that fits. */
double kr_need_cpus (const KrNeed *need, double slots, const GPtrArray *types);
/* How `supply` CPUs are shared among parts that want `demand`: small demands are met in full, the
 * others get equal parts of what is left (max-min); what nobody wants stays unshared. */
void kr_shares_targets (const double *demand, guint parts, double supply, double *targets);

/* Each part's machines serve its own needs first, cheap ones first, then what is left serves
 * others'. `most`: all that could run, not only what the goals ask for. Fills unmet and left. */
void kr_shares_match (GPtrArray *needs, GPtrArray *supplies, gboolean most);

/* CPUs that each part should have of `supply`: jobs of which nothing has begun for long come first,
 * since a stream of urgent ones may never end; then urgent work, since it may stop other work in
 * its part, but not in another; then the rest of what the goals ask for; then what else could run,
 * so that machines that are paid for serve it before they go back. */
void kr_shares_of_parts (const GPtrArray *needs, const GPtrArray *types, guint parts, double supply,
                         double *targets);
