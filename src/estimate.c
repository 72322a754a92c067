#include "estimate.h"
#include "constants.h"

double
kr_estimate_mean_task_s (const KrEstimateInput *input)
{
  return input->timed_count ? input->timed_sum_s / input->timed_count : input->prior_mean_s;
}

double
kr_estimate_running_work_s (const KrEstimateInput *input)
{
  double mean = kr_estimate_mean_task_s (input), rest = 0;
  for (guint i = 0; i < input->running; i++) {
    double r = mean - (input->elapsed ? input->elapsed[i] : 0);
    /* Floored: on a slow machine elapsed passes the mean, and a negative rest would make the job
     * look ahead of its goal. */
    rest += MAX (r, 0);
  }
  return rest;
}

double
kr_estimate_slots_needed (const KrEstimateInput *input)
{
  double mean = MAX (kr_estimate_mean_task_s (input), 1e-3);
  /* Floored: near the goal the quotient would swell beyond any use. */
  double left = MAX (input->goal - input->now, KR_TIME_TO_GOAL_MIN_S);
  return (kr_estimate_running_work_s (input) / mean + input->unstarted) * mean / left -
         input->running;
}

double
kr_estimate_lateness (const KrEstimateInput *input)
{
  double work =
      kr_estimate_running_work_s (input) + input->unstarted * kr_estimate_mean_task_s (input);
  double end = input->now + work / MAX (input->running, 1u);
  return (end - input->submitted) / MAX (input->goal - input->submitted, KR_TIME_TO_GOAL_MIN_S);
}
