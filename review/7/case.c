/* A job of some thousand very small tasks is submitted. */
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
  Job *first = submit_and_wait (job_new ("wk-000411", "procurement", 4, 1, 3.7, 20));
  Job *many = job_new ("wk-000412", "procurement", 4000, with_trouble () ? 0.002 : 1, with_trouble () ? 0.005 : 3.7, 4);
  job_submit (many);
  run_for (70);
  rec ("%s: %u of %u tasks completed; %s: %u starts, %u of %u tasks completed", first->id, first->n_completed, first->tasks,
       many->id, many->starts, many->n_completed, many->tasks);
  for (guint i = 0; i < site.nodes; i++)
    rec ("berth-%u: GET /ready without an answer for up to %.1f s", i, nodes[i].longest_silence_s);
  if (long_lines)
    violation ("line_too_long: %u responses to workers have a line longer than 64 KiB; %s has completed %u of %u tasks, "
               "%s %u of %u", long_lines, first->id, first->n_completed, first->tasks, many->id, many->n_completed,
               many->tasks);
  platform_end ();
  return violations ? 1 : 0;
}
