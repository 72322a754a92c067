/* The completion-time estimate of the paper "Performance-Driven Task Co-Scheduling", sections III-B
 * and III-C. No I/O and no global state. */
#pragma once
#include <glib.h>

typedef struct {
  double timed_sum_s;    /* s; sum of the run times of the completed tasks */
  guint timed_count;     /* number of these tasks */
  guint unstarted;       /* number of unstarted tasks: the paper's U */
  guint running;         /* number of running tasks, unconfirmed and pulling included: R */
  double running_work_s; /* s; sum of kr_estimate_rest_s() over the running tasks */
  double now, goal;      /* s on one clock */
  double submitted;      /* s on the same clock */
  gboolean is_service;   /* a service, which is kept at its size and ranked before other jobs */
  double prior_mean_s;   /* s; the user's estimate of a task's run time, until one has completed */
} KrEstimateInput;

/* Returns the mean run time of a task: the paper's equation 1, or `prior_mean_s` if no task has
 * completed. */
double kr_estimate_mean_task_s (const KrEstimateInput *input);
/* Returns the expected remaining run time of a task that has run for `elapsed_s`: the mean minus
 * the elapsed time, at least 0. */
double kr_estimate_rest_s (double mean_task_s, double elapsed_s);
/* Returns the number of slots needed to meet the goal in addition to those in use: the paper's
 * equation 3. Negative if the job has more than it needs. */
double kr_estimate_slots_needed (const KrEstimateInput *input);
/* Returns the expected run time of the job relative to its goal:
 * (expected end - submitted) / (goal - submitted). */
double kr_estimate_lateness (const KrEstimateInput *input);
