/* Two teams lose the machines of jobs that are bound to a zone. New machines come, each into the other team's shard. */
#include "mezani.h"
#include "waiting.h"

static Job *
bound_job (const char *id, const char *team, const char *zone, guint tasks, double run_s)
{
  Job *job = job_new (id, team, tasks, 4, 14, run_s);
  job->lane = "allergy-recheck";
  job->rank = "urgent";
  job->zone = zone;
  return submit_and_wait (job);
}

int
main (int argc, char **argv)
{
  site.boot_s = 1.2;
  site.pull_s = 0.5;
  platform_start (argv[1], argc - 2, argv + 2);
  if (!run_until (all_ready, NULL, 20))
    cannot_run ("the controllers are not ready");
  Job *a = bound_job ("wk-000411", "nutrition-desk", "nairobi-east", 2, 30);
  Job *b = bound_job ("wk-000412", "kitchen-ops", "nairobi-west", 2, 30);
  bound_job ("wk-000413", "procurement", "kisumu-lake", 4, 25);
  if (with_trouble ()) {
    Machine *taken[] = { machine_of_task (a->id, 0), machine_of_task (b->id, 0) };
    for (guint i = 0; i < 2; i++) {
      taken[i]->notice_until = now_s () + 8;
      rec ("TROUBLE: the cloud announces that it takes %s back in 8 s", taken[i]->id);
    }
  }
  Wait waits[] = { { a, TRUE, 0, 0 }, { b, TRUE, 0, 0 } };
  while (now_s () < 114 && !(a->done && b->done)) {
    run_for (0.1);
    for (guint i = 0; i < 2; i++)
      watch_wait (&waits[i]);
  }
  for (guint i = 0; i < 2; i++) {
    Job *job = waits[i].job;
    Machine *room = machine_with_room (job);
    rec ("%s: %u of %u tasks completed, waited for %.1f s while a machine that fits had room (%s)", job->id,
         job->n_completed, job->tasks, waits[i].longest, room ? room->id : "none now");
    if (waits[i].longest >= 90)
      violation ("left_waiting: %s waits for %.0f s while %s fits and has room", job->id, waits[i].longest,
                 room ? room->id : "a machine");
  }
  platform_end ();
  return violations ? 1 : a->done && b->done ? 0 : 2;
}
