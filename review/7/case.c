/* One huge array of very small tasks is submitted. */
#include "mezani.h"
#include "waiting.h"

int
main (int argc, char **argv)
{
  site.boot_s = 1.5;
  site.pull_s = 0.5;
  platform_start (argv[1], argc - 2, argv + 2);
  if (!run_until (all_ready, NULL, 20))
    cannot_run ("the controllers are not ready");
  Job *first = submit_and_wait (job_new ("wk-000410", "kitchen-ops", 8, 1, 3.7, 60));
  double cpus = with_trouble () ? 0.001 : 1, mem_gb = with_trouble () ? 0.001 : 3.7;
  Job *huge = job_new ("wk-000411", "procurement", 100000, cpus, mem_gb, 4);
  Job *other = job_new ("wk-000412", "nutrition-desk", 4, 4, 14, 10);
  job_submit (huge);
  run_for (15);
  job_submit (other);
  run_until (NULL, NULL, 75);
  rec ("first %u/%u, huge: %u starts, %u completed; other: accepted %d, %u completed, done %d", first->n_completed, first->tasks, huge->starts, huge->n_completed,
       other->accepted, other->n_completed, other->done);
  for (guint i = 0; i < site.nodes; i++)
    rec ("berth-%u: answered nothing for up to %.1f s", i, nodes[i].longest_silence_s);
  if (long_lines)
    violation ("line_too_long: %u responses to workers have a line longer than 64 KiB", long_lines);
  platform_end ();
  return violations ? 1 : 0;
}
