/* A job that is bound to one zone loses its machine while another team's machine in that zone has
 * room. */
#include "mezani.h"

#define WAIT_S 90.0 /* by the page */

static User *long_east, *short_east, *west, *bound;
static Machine *lost;
static double over_at, waits_since, longest;

void
scenario_site (void)
{
  site = mezani ();
  site.ready_s = 1.5; /* "at times machines are up within a second or two" */
  site.initial = 0;
}

void
scenario_start (gboolean trouble)
{
  long_east = submit ("wk-000401", "kitchen-ops", "menu-plan-nightly", "normal", 4, 1.0, 2.0, 300,
                      "nairobi-east");
  short_east = submit ("wk-000402", "kitchen-ops", "menu-plan-nightly", "normal", 4, 1.0, 2.0, 10,
                       "nairobi-east");
}

static guint
running_of (const User *user)
{
  guint n = 0;
  for (guint i = 0; i < machines->len; i++)
    n += running_tasks (machines->pdata[i], user->id);
  return n;
}

/* Returns a machine that is up and has room for a task of the bound job. */
static const Machine *
machine_with_room (void)
{
  for (guint i = 0; i < machines->len; i++) {
    const Machine *m = machines->pdata[i];
    if (m->up && !m->gone && g_str_equal (m->zone, "nairobi-east") && cpus_free (m) >= bound->cpus)
      return m;
  }
  return NULL;
}

gboolean
scenario_tick (gboolean trouble)
{
  if (!west && running_of (long_east) == 4 && running_of (short_east) == 4)
    west = submit ("wk-000403", "nutrition-desk", "menu-plan-nightly", "normal", 2, 1.0, 2.0, 300,
                   "nairobi-west");
  if (!bound && west && running_of (west) == 2)
    bound = submit ("wk-000404", "nutrition-desk", "menu-plan-nightly", "normal", 1, 1.0, 2.0, 40,
                    "nairobi-east");
  if (!bound)
    return FALSE;
  if (!over_at && running_of (bound) && short_east->completed == 4) {
    over_at = now_s ();
    for (guint i = 0; trouble && i < machines->len; i++)
      if (running_tasks (machines->pdata[i], bound->id)) {
        lost = machines->pdata[i];
        take_machine (lost);
        break;
      }
  }
  gboolean waits = over_at && !running_of (bound) && !bound->completed && machine_with_room ();
  if (waits && !waits_since) {
    waits_since = now_s ();
    record ("%s waits while %s has room", bound->id, machine_with_room ()->id);
  }
  if (!waits)
    waits_since = 0;
  else
    longest = MAX (longest, now_s () - waits_since);
  return longest > WAIT_S || bound->finished;
}

int
scenario_result (gboolean trouble)
{
  if (!over_at || (trouble && !lost))
    return 2;
  record ("%s was left waiting for %.1f s while a machine that fits had room", bound->id, longest);
  return longest > WAIT_S ? 1 : bound->completed ? 0 : 2;
}
