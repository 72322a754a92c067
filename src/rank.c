#include "rank.h"
#include <math.h>
#include <string.h>

static KrClass
klass (const KrEstimateInput *input)
{
  if (input->held)
    return KR_CLASS_HELD;
  if (input->now > input->goal)
    return KR_CLASS_LATE;
  return input->count ? KR_CLASS_ADJUST : KR_CLASS_NODATA;
}

KrRankKey
kr_rank_key (const KrEstimateInput *input, const char *id)
{
  KrRankKey k = { klass (input), 0, id };
  switch (k.klass) {
  case KR_CLASS_LATE:
    k.key = kr_estimate_lateness (input);
    break;
  case KR_CLASS_HELD:
  case KR_CLASS_NODATA:
    k.key = -input->submitted;
    break;
  case KR_CLASS_ADJUST:
    k.key = kr_estimate_slots (input);
    break;
  }
  return k;
}

int
kr_rank_compare (const KrRankKey *a, const KrRankKey *b)
{
  if (a->klass != b->klass)
    return a->klass < b->klass ? -1 : 1;
  if (a->key != b->key)
    return a->key > b->key ? -1 : 1;
  return strcmp (a->id, b->id);
}

double
kr_rank_want (const KrEstimateInput *input)
{
  if (klass (input) != KR_CLASS_ADJUST)
    return input->unstarted;
  /* Whole slots, and one where nothing runs: a fraction of a slot would leave a job without any
   * machine until shortly before its goal. */
  double least = input->running || !input->unstarted ? 0 : 1;
  return CLAMP (ceil (kr_estimate_slots (input)), least, (double) input->unstarted);
}
