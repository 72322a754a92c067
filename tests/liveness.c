#include "liveness.h"
#include "fakes.h"

#define READY_WITHIN_S 30.0 /* after the last fault */
#define READY_TIMEOUT_S 5.0
#define POLL_S 0.5

static struct {
  gint64 faults_over_at; /* us since the start; 0: not yet */
  guint pending;         /* requests to /ready in flight */
  gboolean checked;
} liveness;

static void
ready_responded (guint status, json_t *body, gpointer data)
{
  guint node = GPOINTER_TO_UINT (data);
  if (status != 200 && sim_node_alive (node))
    record_violation ("lost: n%u responds with status %u to /ready %.0f s after the last fault",
                      node, status, READY_WITHIN_S);
  liveness.checked = --liveness.pending == 0;
}

static void
request_ready (guint node)
{
  g_autofree char *address = sim_node_address (node, SIM_CLIENT_PORT);
  liveness.pending++;
  fakes_call ("user", "GET", address, "/ready", NULL, READY_TIMEOUT_S, ready_responded,
              GUINT_TO_POINTER (node));
}

static gboolean
check_liveness (gpointer data)
{
  gint64 due = liveness.faults_over_at + (gint64) (READY_WITHIN_S * G_USEC_PER_SEC);
  if (fakes.now < due) {
    schedule_after (POLL_S, check_liveness, NULL);
    return G_SOURCE_REMOVE;
  }
  for (guint shard = 0; shard < fakes.options.nodes; shard++) {
    int owner = sim_shard_owner (shard);
    if (owner < 0 || !sim_node_alive ((guint) owner))
      record_violation ("unowned: shard %u has no live owner %.0f s after the last fault", shard,
                        READY_WITHIN_S);
  }
  for (guint node = 0; node < fakes.options.nodes; node++)
    if (sim_node_alive (node))
      request_ready (node);
  return G_SOURCE_REMOVE;
}

void
liveness_faults_over (void)
{
  if (!fakes.faults_over_at) {
    liveness.checked = FALSE;
    schedule_after (READY_WITHIN_S, check_liveness, NULL);
  }
  liveness.faults_over_at = fakes.now;
}

gboolean
sim_liveness_checked (void)
{
  return liveness.checked;
}
