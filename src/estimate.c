#include "estimate.h"
#include "constants.h"

double
kr_estimate_mean (const KrEstimateInput *in)
{
  return in->count ? in->sum / in->count : in->guess_s;
}

double
kr_estimate_remaining (const KrEstimateInput *in)
{
  double mean = kr_estimate_mean (in), rest = 0;
  for (guint i = 0; i < in->running; i++) {
    double r = mean - (in->elapsed ? in->elapsed[i] : 0);
    /* Floored: on a slow machine elapsed passes the mean, and a negative rest would make the job
     * look ahead of its goal. */
    rest += MAX (r, 0);
  }
  return rest;
}

double
kr_estimate_slots (const KrEstimateInput *in)
{
  double mean = MAX (kr_estimate_mean (in), 1e-3);
  /* Floored: near the goal the quotient would swell beyond any use. */
  double left = MAX (in->goal - in->now, KR_TIME_TO_GOAL_MIN_S);
  return (kr_estimate_remaining (in) / mean + in->unstarted) * mean / left - in->running;
}

double
kr_estimate_lateness (const KrEstimateInput *in)
{
  double work = kr_estimate_remaining (in) + in->unstarted * kr_estimate_mean (in);
  double end = in->now + work / MAX (in->running, 1u);
  return (end - in->submitted) / MAX (in->goal - in->submitted, KR_TIME_TO_GOAL_MIN_S);
}
