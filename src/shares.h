/* How machines and needs meet, over all parts: what to rent, move and return. Pure. */
#pragma once
#include "place.h"
#include "settings.h"

/* Slots of one shape that a part wants. */
typedef struct {
  guint part;
  KrSpec *shape; /* types, zone, spot, cpus, gpus, mem_gb */
  double slots, unmet;
  gboolean late;
} KrNeed;
void kr_need_free (gpointer need);

typedef struct {
  char *id;
  const KrType *type;
  const char *zone; /* borrowed */
  gint part;        /* -1: none yet */
  gboolean spot, up, going;
  double idle_s; /* -1: not idle */
  double left;   /* out: share not needed, 1 = none of it */
} KrSupply;
void kr_supply_free (gpointer supply);

/* Each part's machines serve its own needs first, cheap ones first, then what is left serves
 * others'. Fills unmet and left; `own_unmet` (an entry a part): machines' worth that a part lacks
 * of its own. */
void kr_shares_match (GPtrArray *needs, GPtrArray *supplies, double *own_unmet);
