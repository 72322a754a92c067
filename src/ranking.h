/* The order in which jobs get free room: services are held at size before all; late jobs first,
 * evened out by expected completion against goals; then jobs without data, oldest first; then by
 * slots needed. Pure. */
#pragma once
#include "estimate.h"

typedef enum { KR_TIER_SERVICE, KR_TIER_LATE, KR_TIER_NO_DATA, KR_TIER_ON_TIME } KrRankingTier;

typedef struct {
  KrRankingTier tier;
  double key;     /* larger goes first within a class */
  const char *id; /* tie-break: any, but always the same */
} KrRankingKey;

KrRankingKey kr_ranking_key (const KrEstimateInput *input, const char *id);
/* Negative: a goes first. */
int kr_ranking_compare (const KrRankingKey *a, const KrRankingKey *b);
/* Slots that the min variant wants beyond those running: all unstarted tasks for jobs late or
 * without data, else slots needed, rounded up, floored at zero (at one if nothing runs), at most
 * the unstarted. */
double kr_ranking_wanted_slots (const KrEstimateInput *input);
