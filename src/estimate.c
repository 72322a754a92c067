#include "estimate.h"
#include "constants.h"

double
kr_estimate_mean_task_s (const KrEstimateInput *input)
{
  return input->timed_count ? input->timed_sum_s / input->timed_count : input->prior_mean_s;
}

double
kr_estimate_rest_s (double mean_task_s, double elapsed_s)
{
  /* At least 0: on a slow machine, the elapsed time exceeds the mean, and a negative rest would
   * make the job look ahead of its goal. */
  return MAX (mean_task_s - elapsed_s, 0);
}

double
kr_estimate_slots_needed (const KrEstimateInput *input)
{
  double mean = MAX (kr_estimate_mean_task_s (input), 1e-3);
  /* Has a lower limit, since the quotient would grow without bound near the goal. */
  double time_left = MAX (input->goal - input->now, KR_TIME_TO_GOAL_MIN_S);
  return (input->running_work_s / mean + input->unstarted) * mean / time_left - input->running;
}

double
kr_estimate_lateness (const KrEstimateInput *input)
{
  double remaining_work =
      input->running_work_s + input->unstarted * kr_estimate_mean_task_s (input);
  double expected_end = input->now + remaining_work / MAX (input->running, 1u);
  return (expected_end - input->submitted) /
         MAX (input->goal - input->submitted, KR_TIME_TO_GOAL_MIN_S);
}
