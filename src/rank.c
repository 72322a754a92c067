#include "rank.h"
#include <math.h>
#include <string.h>

static KrClass
klass (const KrEstimateInput *in)
{
  if (in->held)
    return KR_CLASS_HELD;
  if (in->now > in->goal)
    return KR_CLASS_LATE;
  return in->count ? KR_CLASS_ADJUST : KR_CLASS_NODATA;
}

KrRankKey
kr_rank_key (const KrEstimateInput *in, const char *id)
{
  KrRankKey k = { klass (in), 0, id };
  switch (k.klass) {
  case KR_CLASS_LATE:
    k.key = kr_estimate_lateness (in);
    break;
  case KR_CLASS_HELD:
  case KR_CLASS_NODATA:
    k.key = -in->submitted;
    break;
  case KR_CLASS_ADJUST:
    k.key = kr_estimate_slots (in);
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
kr_rank_want (const KrEstimateInput *in)
{
  if (klass (in) != KR_CLASS_ADJUST)
    return in->unstarted;
  /* Whole slots, and one where nothing runs: a fraction of a slot would leave a job without any
   * machine until shortly before its goal. */
  double least = in->running || !in->unstarted ? 0 : 1;
  return CLAMP (ceil (kr_estimate_slots (in)), least, (double) in->unstarted);
}
