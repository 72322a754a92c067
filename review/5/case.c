/* Spot machines of one type are taken back, and there are no others. Ordinary ones are not rented in their place. */
#include "grid.h"
#include "waiting.h"

static gboolean dry; /* the cloud has no spot machines in gyor-west any more */

static guint
capacity (const MachineType *type, const char *zone, gboolean spot)
{
  if (spot && dry && g_str_equal (zone, "gyor-west"))
    return 0;
  return spot ? site.capacity_spot : site.capacity_on_demand;
}

int
main (int argc, char **argv)
{
  capacity_hook = capacity;
  platform_start (argv[1], argc - 2, argv + 2);
  if (!run_until (all_ready, NULL, 20))
    cannot_run ("the controllers are not ready");
  /* Other teams' work, which fills the machines that it has. */
  Job *other = job_new ("wk-000411", "sourcing", 2, 4, 20, 100);
  other->zone = "budapest-csepel";
  submit_and_wait (other);
  Job *job = job_new ("wk-000412", "routing", 4, 2, 12, 20);
  job->lane = "allergen-labels";
  job->rank = "urgent";
  job->zone = "gyor-west";
  submit_and_wait (job);
  if (with_trouble ()) {
    Machine *machine;
    dry = TRUE;
    for (guint i = 0; i < job->tasks; i++)
      if ((machine = machine_of_task (job->id, i)))
        machine_take (machine);
  }
  Wait wait = { job, FALSE, 0, 0 };
  while (now_s () < 114 && !job->done) {
    run_for (0.1);
    watch_wait (&wait);
  }
  rec ("%s: %u of %u tasks completed, waited for %.1f s; %u machines are up", job->id, job->n_completed, job->tasks,
       wait.longest, machines_up ());
  if (wait.longest >= 90 && !machine_with_room (job))
    violation ("accepted_must_run: %s waits, and no controller rents one of the ordinary machines that it may use",
               job->id);
  platform_end ();
  return violations ? 1 : job->done ? 0 : 2;
}
