/* The last task of an array loses its machine, and no machine is rented for it. */
#include "mezani.h"
#include "waiting.h"

static Job *job;

static gboolean
one_task_left (gpointer unused)
{
  return job->n_completed == job->tasks - 1 && machine_of_task (job->id, job->tasks - 1) && machines_up () == 2;
}

int
main (int argc, char **argv)
{
  site.boot_s = 1.5;
  site.pull_s = 0.5;
  platform_start (argv[1], argc - 2, argv + 2);
  if (!run_until (all_ready, NULL, 20))
    cannot_run ("the controllers are not ready");
  /* Another team's work, which fills a machine of its own. */
  submit_and_wait (job_new ("wk-000411", "procurement", 8, 1, 3.7, 140));
  job = job_new ("wk-000412", "kitchen-ops", 12, 1, 3.7, 3);
  job->task_run_s = g_new (double, job->tasks);
  for (guint i = 0; i < job->tasks; i++)
    job->task_run_s[i] = i + 1 < job->tasks ? 3 : 22;
  job_submit (job);
  if (!run_until (one_task_left, NULL, 30))
    cannot_run ("the array did not come to its last task");
  if (with_trouble ())
    machine_take (machine_of_task (job->id, job->tasks - 1));
  Wait wait = { job, FALSE, 0, 0 };
  while (now_s () < 113 && !job->done) {
    run_for (0.1);
    watch_wait (&wait);
  }
  rec ("%s: %u of %u tasks completed, waited for %.1f s; the cloud was last asked for machines %.1f s ago; %u machines "
       "are up", job->id, job->n_completed, job->tasks, wait.longest, seconds_since_rental (), machines_up ());
  /* The cloud has machines in all zones, and nobody asked for one. */
  if (wait.longest >= 90 && seconds_since_rental () >= 90 && !machine_with_room (job))
    violation ("accepted_must_run: the last task of %s waits, and no controller asks for a machine", job->id);
  platform_end ();
  return violations ? 1 : job->done ? 0 : 2;
}
