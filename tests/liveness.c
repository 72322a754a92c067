#include "liveness.h"
#include "fakes.h"

#define SERVES_WITHIN_S 30.0 /* of the last trouble */
#define READY_TIMEOUT_S 5.0
#define LOOK_S 0.5

static struct {
  gint64 calm_at;   /* us since the start; 0: not yet */
  guint unanswered; /* questions under way */
  gboolean checked;
} liveness;

static void
ready_answered (guint status, json_t *body, gpointer data)
{
  guint node = GPOINTER_TO_UINT (data);
  if (status != 200 && sim_node_alive (node))
    record_violation ("lost: n%u answers %u to /ready %.0f s after the last trouble", node, status,
                      SERVES_WITHIN_S);
  liveness.checked = --liveness.unanswered == 0;
}

static void
ask_ready (guint node)
{
  g_autofree char *address = sim_node_address (node, SIM_CLIENT_PORT);
  liveness.unanswered++;
  fakes_call ("user", "GET", address, "/ready", NULL, READY_TIMEOUT_S, ready_answered,
              GUINT_TO_POINTER (node));
}

static gboolean
check (gpointer data)
{
  gint64 due = liveness.calm_at + (gint64) (SERVES_WITHIN_S * G_USEC_PER_SEC);
  if (fakes.now < due) {
    schedule_after (LOOK_S, check, NULL);
    return G_SOURCE_REMOVE;
  }
  for (guint shard = 0; shard < fakes.options.nodes; shard++) {
    int owner = sim_shard_owner (shard);
    if (owner < 0 || !sim_node_alive ((guint) owner))
      record_violation ("unowned: part %u has no live owner %.0f s after the last trouble", shard,
                        SERVES_WITHIN_S);
  }
  for (guint node = 0; node < fakes.options.nodes; node++)
    if (sim_node_alive (node))
      ask_ready (node);
  return G_SOURCE_REMOVE;
}

void
liveness_faults_over (void)
{
  if (!fakes.faults_over_at) {
    liveness.checked = FALSE;
    schedule_after (SERVES_WITHIN_S, check, NULL);
  }
  liveness.calm_at = fakes.now;
}

gboolean
sim_liveness_checked (void)
{
  return liveness.checked;
}
