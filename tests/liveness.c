#include "liveness.h"
#include "world.h"

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
  if (status != 200 && world_node_alive (node))
    world_broken ("lost: n%u answers %u to /ready %.0f s after the last trouble", node, status,
                  SERVES_WITHIN_S);
  liveness.checked = --liveness.unanswered == 0;
}

static void
ask_ready (guint node)
{
  g_autofree char *address = world_node_address (node, WORLD_USER_PORT);
  liveness.unanswered++;
  world_call ("user", "GET", address, "/ready", NULL, READY_TIMEOUT_S, ready_answered,
              GUINT_TO_POINTER (node));
}

static gboolean
check (gpointer data)
{
  gint64 due = liveness.calm_at + (gint64) (SERVES_WITHIN_S * G_USEC_PER_SEC);
  if (world.now < due) {
    world_later (LOOK_S, check, NULL);
    return G_SOURCE_REMOVE;
  }
  for (guint part = 0; part < world.o.nodes; part++) {
    int owner = sim_owner (part);
    if (owner < 0 || !world_node_alive ((guint) owner))
      world_broken ("unowned: part %u has no live owner %.0f s after the last trouble", part,
                    SERVES_WITHIN_S);
  }
  for (guint node = 0; node < world.o.nodes; node++)
    if (world_node_alive (node))
      ask_ready (node);
  return G_SOURCE_REMOVE;
}

void
liveness_calm (void)
{
  if (!world.calm_at) {
    liveness.checked = FALSE;
    world_later (SERVES_WITHIN_S, check, NULL);
  }
  liveness.calm_at = world.now;
}

gboolean
sim_liveness_checked (void)
{
  return liveness.checked;
}
