/* What the cases about jobs that wait have in common. */
#pragma once
#include "platform.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define CANNOT_RUN 2

static inline gboolean
with_trouble (void)
{
  const char *trouble = g_getenv ("TROUBLE");
  return !trouble || strcmp (trouble, "0") != 0;
}

static inline gboolean job_is_done (gpointer job) { return ((Job *) job)->done; }

static inline gboolean
all_tasks_run (gpointer job)
{
  return tasks_on_machines (((Job *) job)->id) == ((Job *) job)->tasks;
}

static inline void
cannot_run (const char *why)
{
  rec ("the case could not run: %s", why);
  printf ("the case could not run: %s\n", why);
  platform_end ();
  exit (CANNOT_RUN);
}

/* Submits the job and waits until all its tasks run. */
static inline Job *
submit_and_wait (Job *job)
{
  job_submit (job);
  if (!run_until (all_tasks_run, job, 25))
    cannot_run (job->id);
  return job;
}

/* The longest time until now that the job has waited: accepted, not over, with no task on any machine. */
typedef struct {
  Job *job;
  gboolean room_needed; /* counts only while a machine that fits has room */
  double since, longest;
} Wait;

static inline void
watch_wait (Wait *w)
{
  gboolean waits = w->job->accepted && !w->job->cancel_asked && w->job->n_completed < w->job->tasks &&
                   !tasks_on_machines (w->job->id) && (!w->room_needed || machine_with_room (w->job));
  if (!waits)
    w->since = 0;
  else if (!w->since)
    w->since = now_s ();
  if (w->since)
    w->longest = MAX (w->longest, now_s () - w->since);
}
