/* Failure detector for nodes that the state service alone cannot tell: outages closer together than
 * a node's lease give that its full time again and again, also where the node is gone. A peer that
 * answers nobody here is probed through the state service, and its lease is ended if it does not
 * answer there either. Nothing rests on the verdict being right: a node whose lease is ended is in
 * the state in which it would be had the lease run out. */
#pragma once
#include "membership.h"

#define KR_PEER_HEALTH                                                                             \
  "/health" /* on the peers' address: for how long it has not heard the state service */

typedef struct KrDetector KrDetector;
/* A peer has told for how long it has not heard the state service, in seconds. */
typedef void (*KrPeerSilenceFunc) (double silence_s, gpointer data);

KrDetector *kr_detector_new (const KrSettings *settings, KrStateClient *state, KrHttpClient *peers,
                             KrMembership *membership, GCancellable *cancel,
                             KrPeerSilenceFunc heard, gpointer data);
/* Each KR_TICK_MS: asks the peers while the state service fails. */
void kr_detector_tick (KrDetector *detector);
void kr_detector_free (KrDetector *detector);
