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
  double mean = kr_estimate_mean_task_s (input), remaining = 0;
  for (guint i = 0; i < input->running; i++) {
    double task_rest = mean - (input->elapsed ? input->elapsed[i] : 0);
    /* At least 0: on a slow machine, the elapsed time exceeds the mean, and a negative rest would
     * make the job look ahead of its goal. */
    remaining += MAX (task_rest, 0);
  }
  return remaining;
}

double
kr_estimate_slots_needed (const KrEstimateInput *input)
{
  double mean = MAX (kr_estimate_mean_task_s (input), 1e-3);
  /* Has a lower limit, since the quotient would grow without bound near the goal. */
  double time_left = MAX (input->goal - input->now, KR_TIME_TO_GOAL_MIN_S);
  return (kr_estimate_running_work_s (input) / mean + input->unstarted) * mean / time_left -
         input->running;
}

double
kr_estimate_lateness (const KrEstimateInput *input)
{
  double remaining_work =
      kr_estimate_running_work_s (input) + input->unstarted * kr_estimate_mean_task_s (input);
  double expected_end = input->now + remaining_work / MAX (input->running, 1u);
  return (expected_end - input->submitted) /
         MAX (input->goal - input->submitted, KR_TIME_TO_GOAL_MIN_S);
}
