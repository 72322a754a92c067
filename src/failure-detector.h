/* Failure detector for nodes whose failure the state service alone does not show. After an outage
 * of the state service every lease runs for its full time again; if outages follow each other
 * faster than that, the lease of a node that is gone does not expire. A peer that does not answer
 * this node's pings is therefore probed through the state service, and its lease is revoked if it
 * does not answer there either. A wrong verdict does no harm: a node whose lease was revoked is in
 * the same state as if the lease had expired. */
#pragma once
#include "membership.h"

/* Path on the internal address. The answer says how long ago the state service last answered the
 * node. */
#define KR_PEER_HEALTH "/health"

typedef struct KrDetector KrDetector;
/* Called when a peer answers a ping. silence_s: seconds since the state service last answered that
 * peer. */
typedef void (*KrPeerSilenceFunc) (double silence_s, gpointer data);

KrDetector *kr_detector_new (const KrSettings *settings, KrStateClient *state, KrHttpClient *peers,
                             KrMembership *membership, GCancellable *cancel,
                             KrPeerSilenceFunc on_peer_silence, gpointer data);
/* To be called every KR_TICK_MS: pings the peers while the state service is failing. */
void kr_detector_tick (KrDetector *detector);
/* Stops all timers and calls; the memory is not freed. */
void kr_detector_free (KrDetector *detector);
