/* Renting: requests machines from the cloud for demand that no existing or ordered machine can
 * serve. The machines of one type in one zone, either spot or on-demand, are a pool; a pool that
 * has refused a request is left alone for a while. */
#pragma once
#include "allocation.h"
#include "node.h"

typedef struct {
  char *type, *zone;
  gboolean spot;
} KrPool;

typedef struct {
  /* The cloud has rented the machine, perhaps to an earlier request with the same name. */
  void (*machine_rented) (const char *id, const KrPool *pool, gpointer data);
  /* The outcome of a request is known. */
  void (*request_ended) (gpointer data);
} KrRentalEvents;

typedef struct KrRental KrRental;
/* `cancel` ends all requests; `events` and `cancel` must outlive the object, which lives as long as
 * the process. */
KrRental *kr_rental_new (KrNode *node, GCancellable *cancel, const KrRentalEvents *events,
                         gpointer data);
/* Rents machines for the `unmet_slots` of the demands, and subtracts what was requested: from the
 * cheapest open pools first, with one request per pool. Requests with an unknown outcome are
 * retried first. */
void kr_rental_rent_unmet (KrRental *rental, GPtrArray *demands);
/* Shortens the backoff of all pools after a machine was removed: its pool, which the lists no
 * longer show, may have a free machine again. Otherwise, when hundreds of machines are reclaimed at
 * once, no pool would be asked for up to a minute. */
void kr_rental_reopen_pools (KrRental *rental);
