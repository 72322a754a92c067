/* The paper's completion-time estimate ("Performance-Driven Task Co-Scheduling", III-B and III-C).
 * Pure functions of numbers. */
#pragma once
#include <glib.h>

typedef struct {
  double timed_sum_s;    /* s, completed task time */
  guint timed_count;     /* completed tasks */
  guint unstarted;       /* U */
  guint running;         /* R, in doubt and fetching included */
  const double *elapsed; /* s, one a running task; may be NULL (all zero) */
  double now, goal;      /* s on one clock */
  double submitted;      /* s on that clock */
  gboolean is_service;   /* a service: held at size before ranking */
  double prior_mean_s;   /* the owner's estimate, used only where no task has completed */
} KrEstimateInput;

/* Eq. 1; `guess_s` without data. */
double kr_estimate_mean_task_s (const KrEstimateInput *input);
/* Sum over running tasks of mean minus elapsed, each floored at zero. */
double kr_estimate_running_work_s (const KrEstimateInput *input);
/* Eq. 3. */
double kr_estimate_slots_needed (const KrEstimateInput *input);
/* Expected completion against the goal: (expected end - submitted) / (goal - submitted). */
double kr_estimate_lateness (const KrEstimateInput *input);
