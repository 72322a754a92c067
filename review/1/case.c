/* A wave of reclaimed spot machines while a job that is bound to one zone has work left. */
#include "mezani.h"

#define WAVE_SHARE 0.6 /* of the spot machines, rounded down; the site files have 0.21 to 0.6 */
#define WAVE_OVER_S 5.0
#define WATCH_S 40.0 /* after the wave */

static double wave_at, wave_over_at;
static guint to_take, taken;

void
scenario_site (void)
{
  site = mezani ();
}

void
scenario_start (gboolean trouble)
{
  submit ("wk-000001", "nutrition-desk", "menu-plan-nightly", "normal", 120, 1.0, 3.7, 40,
          "nairobi-east");
}

static GPtrArray *
busy_spot_machines (void)
{
  GPtrArray *busy = g_ptr_array_new ();
  for (guint i = 0; i < machines->len; i++) {
    Machine *m = machines->pdata[i];
    if (m->spot && m->up && !m->gone && running_tasks (m, NULL))
      g_ptr_array_add (busy, m);
  }
  return busy;
}

static gboolean
take_one (gpointer data)
{
  g_autoptr (GPtrArray) busy = busy_spot_machines ();
  if (busy->len) {
    take_machine (busy->pdata[g_random_int_range (0, (gint32) busy->len)]);
    taken++;
  }
  return G_SOURCE_REMOVE;
}

gboolean
scenario_tick (gboolean trouble)
{
  g_autoptr (GPtrArray) busy = busy_spot_machines ();
  if (!wave_at && busy->len >= 8 && now_s () > 20) {
    wave_at = now_s ();
    to_take = (guint) (busy->len * WAVE_SHARE);
    record ("%u spot machines are busy%s", busy->len, trouble ? "; the wave begins" : "");
    for (guint i = 0; trouble && i < to_take; i++)
      after (WAVE_OVER_S * i / to_take, take_one, NULL);
    wave_over_at = wave_at + WAVE_OVER_S;
  }
  return wave_at && (ended_by_itself || now_s () > wave_over_at + WATCH_S);
}

int
scenario_result (gboolean trouble)
{
  if (!wave_at || (trouble && taken < to_take))
    return 2;
  record ("%u machines taken; %u times a controller's process ended by itself", taken,
          ended_by_itself);
  return ended_by_itself ? 1 : 0;
}
