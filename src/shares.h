/* How machines and needs meet, over all parts: what to rent, move and return. Pure. */
#pragma once
#include "place.h"
#include "settings.h"

/* Slots of one shape that a part wants. */
typedef struct {
  guint part;
  KrSpec *shape; /* types, zone, spot, cpus, gpus, mem_gb */
  double slots, unmet;
  gboolean urgent;

} KrNeed;
void kr_need_free (gpointer need);

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
void kr_supply_free (gpointer supply);

/* CPUs of machines that a need takes, on the first of the types that fits. */
double kr_need_cpus (const KrNeed *need, const GPtrArray *types);
/* How `supply` CPUs are shared among parts that want `demand`: small demands are met in full, the
 * others get equal parts of what is left (max-min); what nobody wants stays unshared. */
void kr_shares_targets (const double *demand, guint parts, double supply, double *targets);

/* Each part's machines serve its own needs first, cheap ones first, then what is left serves
 * others'. Fills unmet and left. */
void kr_shares_match (GPtrArray *needs, GPtrArray *supplies);
