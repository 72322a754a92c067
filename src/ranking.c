#include "ranking.h"
#include <math.h>
#include <string.h>

static KrRankingTier
ranking_tier (const KrEstimateInput *input)
{
  if (input->is_service)
    return KR_TIER_SERVICE;
  if (input->now > input->goal)
    return KR_TIER_LATE;
  return input->timed_count ? KR_TIER_ON_TIME : KR_TIER_NO_DATA;
}

KrRankingKey
kr_ranking_key (const KrEstimateInput *input, const char *id)
{
  KrRankingKey ranking_key = { ranking_tier (input), 0, id };
  switch (ranking_key.tier) {
  case KR_TIER_LATE:
    ranking_key.key = kr_estimate_lateness (input);
    break;
  case KR_TIER_SERVICE:
  case KR_TIER_NO_DATA:
    ranking_key.key = -input->submitted;
    break;
  case KR_TIER_ON_TIME:
    ranking_key.key = kr_estimate_slots_needed (input);
    break;
  }
  return ranking_key;
}

int
kr_ranking_compare (const KrRankingKey *a, const KrRankingKey *b)
{
  if (a->tier != b->tier)
    return a->tier < b->tier ? -1 : 1;
  if (a->key != b->key)
    return a->key > b->key ? -1 : 1;
  return strcmp (a->id, b->id);
}

double
kr_ranking_wanted_slots (const KrEstimateInput *input)
{
  if (ranking_tier (input) != KR_TIER_ON_TIME)
    return input->unstarted;
  /* Rounded up, and at least one if no task runs: with a fraction of a slot, the job would get no
   * machine until shortly before its goal. */
  double min_slots = input->running || !input->unstarted ? 0 : 1;
  return CLAMP (ceil (kr_estimate_slots_needed (input)), min_slots, (double) input->unstarted);
}
