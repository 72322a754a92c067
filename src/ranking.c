#include "ranking.h"
#include <math.h>
#include <string.h>

static KrRankingTier
klass (const KrEstimateInput *input)
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
  KrRankingKey k = { klass (input), 0, id };
  switch (k.tier) {
  case KR_TIER_LATE:
    k.key = kr_estimate_lateness (input);
    break;
  case KR_TIER_SERVICE:
  case KR_TIER_NO_DATA:
    k.key = -input->submitted;
    break;
  case KR_TIER_ON_TIME:
    k.key = kr_estimate_slots_needed (input);
    break;
  }
  return k;
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
  if (klass (input) != KR_TIER_ON_TIME)
    return input->unstarted;
  /* Whole slots, and one where nothing runs: a fraction of a slot would leave a job without any
   * machine until shortly before its goal. */
  double least = input->running || !input->unstarted ? 0 : 1;
  return CLAMP (ceil (kr_estimate_slots_needed (input)), least, (double) input->unstarted);
}
