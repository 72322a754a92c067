/* Ranking: the order in which jobs get free capacity. Services come before all other jobs, so that
 * they keep their size, the oldest first. Then come late jobs, the one with the highest
 * kr_estimate_lateness() first; then jobs without a completed task, the oldest first; then the
 * other jobs, the one that needs the most further slots first. No I/O and no global state. */
#pragma once
#include "estimate.h"

/* In ranking order. */
typedef enum { KR_TIER_SERVICE, KR_TIER_LATE, KR_TIER_NO_DATA, KR_TIER_ON_TIME } KrRankingTier;

typedef struct {
  KrRankingTier tier;
  double key;     /* larger keys go first within a tier */
  const char *id; /* job id, borrowed; an arbitrary but stable tie-breaker */
} KrRankingKey;

KrRankingKey kr_ranking_key (const KrEstimateInput *input, const char *id);
/* Returns a negative number if `a` goes first, a positive one if `b` does. */
int kr_ranking_compare (const KrRankingKey *a, const KrRankingKey *b);
/* Returns the number of slots that the job wants in addition to those in use, by the "min" variant
 * of the paper that estimate.h names: one for each unstarted task if the job is a service, late or
 * without data; else the slots needed to meet its goal, rounded up, at least 0 (at least 1 if no
 * task runs) and at most the number of unstarted tasks. */
double kr_ranking_wanted_slots (const KrEstimateInput *input);
