#include "node.h"
#include "api.h"
#include "clock.h"
#include "constants.h"
#include "log.h"
#include "part.h"
#include "rent.h"
#include <string.h>

const KrType *
kr_node_type (KrNode *node, const char *name)
{
  for (guint i = 0; node->types && i < node->types->len; i++) {
    const KrType *type = node->types->pdata[i];
    if (g_str_equal (type->name, name))
      return type;
  }
  return NULL;
}

guint
kr_node_worker_conns (const KrSettings *settings)
{
  return MAX (KR_FENCE_WINDOW, (guint) (settings->sockets * KR_WORKER_SOCKET_SHARE));
}

/* --- shares of the budgets ------------------------------------------------------------ */
/* Parts up to the number of teams have work. */
static guint
busy_parts (const KrNode *node)
{
  return MIN (node->settings->teams->len, node->settings->size);
}

static gboolean
holds (const KrHolder *holder, const char *name)
{
  return holder->node && g_str_equal (holder->node, name);
}

/* A node's share of a limit that holds for all, by the keys that it has as far as we know. */
static double
share_of (KrNode *own_node, const char *name, double node, double part, double lead)
{
  double own = node + (holds (kr_membership_leader (own_node->membership), name) ? lead : 0);
  for (guint p = 0; p < busy_parts (own_node); p++)
    own += holds (kr_membership_holder (own_node->membership, p), name) ? part : 0;
  return own / (own_node->settings->size * node + busy_parts (own_node) * part + lead);
}

static double
state_share (KrNode *node, const char *name)
{
  return share_of (node, name, KR_STATE_WEIGHT_NODE, KR_STATE_WEIGHT_PART, KR_STATE_WEIGHT_LEAD);
}

double
kr_node_base_writes (KrNode *node, const char *name)
{
  return state_share (node, name) * node->settings->state_write_rps;
}

double
kr_node_waiting_writes (KrNode *node)
{
  double waiting = kr_state_waiting_writes (node->state);
  for (guint p = 0; p < node->settings->size; p++)
    waiting += node->parts[p] ? kr_part_waiting_ends (node->parts[p]) : 0;
  return waiting;
}

/* The limits are of all nodes together. What is weighed by a key (a part, the lead) is used by its
 * holder only; where a holder does not know yet that it lost the key, the sum is passed for as long
 * as it takes to hear of it, and the service's 429 settles that. */
static void
set_shares (KrNode *node)
{
  const char *own = node->settings->node_name;
  double writes = kr_now () < node->writes_until ? node->writes : kr_node_base_writes (node, own);
  kr_state_set_rates (node->state, state_share (node, own) * node->settings->state_rps, writes);
  kr_cloud_set_share (node->cloud, share_of (node, own, KR_CLOUD_WEIGHT_NODE, KR_CLOUD_WEIGHT_PART,
                                             KR_CLOUD_WEIGHT_LEAD));
}

void
kr_node_allot_writes (KrNode *node, double writes)
{
  node->writes = writes;
  node->writes_until = kr_now () + (gint64) (KR_BUDGET_VALID_S * G_USEC_PER_SEC);
  set_shares (node);
}

/* --- membership's events ------------------------------------------------------------- */
static void
holder_changed (guint part, gpointer data)
{
  KrNode *node = data;
  const KrHolder *holder = kr_membership_holder (node->membership, part);
  KrPart *p = node->parts[part];
  gboolean ours = kr_membership_owns (node->membership, part), any = FALSE;

  if (p && ours && holder->from == kr_part_token (p)) {
    kr_part_renewed (p, holder->revision);
    return;
  }
  if (p)
    kr_part_drop (p);
  node->parts[part] = ours ? kr_part_new (node, part, holder->revision) : NULL;
  for (guint i = 0; i < node->settings->size; i++)
    any |= node->parts[i] != NULL;
  if (!any)
    kr_follow_stop (node->jobs);
  set_shares (node);
}

static void
record_changed (guint part, gpointer data)
{
  KrNode *node = data;
  if (node->parts[part])
    kr_part_record_changed (node->parts[part]);
}

static void
machine_left (const char *machine, gpointer data)
{
  KrNode *node = data;
  if (node->rent)
    kr_rent_left (node->rent, machine);
}

static void
needs_told (guint part, json_t *value, gpointer data)
{
  KrNode *node = data;
  kr_rent_needs (node->rent, part, value);
}

static void
scanned (gpointer data)
{
  KrNode *node = data;
  kr_rent_scanned (node->rent);
  for (guint p = 0; p < node->settings->size; p++)
    if (node->parts[p])
      kr_part_scanned (node->parts[p]);
}

static void
jobs_scanned (json_t *items, guint64 revision, gpointer data)
{
  KrNode *node = data;
  for (guint p = 0; p < node->settings->size; p++)
    if (node->parts[p])
      kr_part_jobs_scanned (node->parts[p], items);
}

static void
job_event (const KrItem *item, gpointer data)
{
  KrNode *node = data;
  for (guint p = 0; p < node->settings->size; p++)
    if (node->parts[p])
      kr_part_job_event (node->parts[p], item);
}

/* --- requests ------------------------------------------------------------------------ */
static void
beat (KrNode *node, KrRequest *request)
{
  g_autoptr (KrReport) r =
      kr_request_json (request) ? kr_wire_report_parse (kr_request_json (request)) : NULL;
  if (!r) {
    kr_request_reply (request, 400, kr_wire_error ("not a report"), 0);
    return;
  }
  const KrMember *member = kr_records_find (node->records, r->machine);
  gint part = member ? (gint) member->part : -1;
  if (part >= 0 && node->parts[part]) {
    kr_part_beat (node->parts[part], request, r);
    return;
  }
  const KrHolder *holder = part >= 0 ? kr_membership_holder (node->membership, (guint) part)
                                     : kr_membership_leader (node->membership);
  gboolean self = holder->node && g_str_equal (holder->node, node->settings->node_name);
  if (part < 0 && self)
    kr_rent_seen (node->rent, r);
  /* Without the state service while others have it, what we knew may be over: a worker would go to
   * and fro between us and an owner that is gone. */
  gboolean telling = !self && !node->state_cut;
  kr_request_reply (request, 421, kr_wire_redirect (telling ? holder->node : NULL), 0);
}

/* Why the node can take no requests, or NULL. */
static const char *
unready_cause (const KrNode *node)
{
  if (!kr_membership_seen (node->membership))
    return "who owns what is not read yet";
  if (!node->types)
    return "machine types are not known yet";
  if (node->state_cut)
    return "peers reach the state service, this node does not";
  return NULL;
}

static void
answer_ready (const KrNode *node, KrRequest *request)
{
  const char *cause = unready_cause (node);
  if (cause)
    kr_request_reply (request, 503, kr_wire_error (cause), KR_RETRY_AFTER_S);
  else
    kr_request_reply (request, 200, NULL, 0);
}

static void
log_readiness (KrNode *node)
{
  const char *cause = unready_cause (node);
  if (cause == node->unready)
    return;
  node->unready = cause;
  kr_info ("%s: %s", cause ? "not ready" : "ready", cause ? cause : "taking requests");
}

static void
serve_public (KrRequest *request, gpointer data)
{
  KrNode *node = data;
  g_autofree char *id = NULL;

  switch (kr_wire_route (kr_request_method (request), kr_request_path (request), &id)) {
  case KR_ROUTE_READY:
    answer_ready (node, request);
    break;
  case KR_ROUTE_BEAT:
    beat (node, request);
    break;
  case KR_ROUTE_SUBMIT:
    kr_api_submit (node->api, request);
    break;
  case KR_ROUTE_POLL:
    kr_api_poll (node->api, request, id);
    break;
  case KR_ROUTE_ABORT:
    kr_api_abort (node->api, request, id);
    break;
  case KR_ROUTE_BAD_METHOD:
    kr_request_reply (request, 405, kr_wire_error ("method not allowed"), 0);
    break;
  case KR_ROUTE_NONE:
    kr_request_reply (request, 404, kr_wire_error ("no such path"), 0);
    break;
  }
}

static gboolean
state_heard (KrNode *node)
{
  return kr_state_silence (node->state) < KR_STATE_SILENCE_S;
}

static void
serve_peer (KrRequest *request, gpointer data)
{
  KrNode *node = data;
  if (g_str_equal (kr_request_path (request), KR_PEER_SUMMARIES))
    kr_request_reply (request, 200, kr_rent_summaries (node->rent), 0);
  else if (g_str_equal (kr_request_path (request), KR_PEER_BUDGET))
    kr_request_reply (request, kr_rent_budget (node->rent, kr_request_json (request)), NULL, 0);
  else if (g_str_equal (kr_request_path (request), KR_PEER_WISHES)) {
    json_t *body = kr_request_json (request);
    guint64 leader = (guint64) json_integer_value (json_object_get (body, "Leader"));
    gboolean done = kr_rent_fulfil (node->rent, json_object_get (body, "Wishes"), leader);
    kr_request_reply (request, done ? 200 : 409, NULL, 0);
  } else if (g_str_equal (kr_request_path (request), KR_PEER_CANCELLATIONS))
    kr_request_reply (request, kr_cancel_answer (node, kr_request_json (request)), NULL, 0);
  else if (g_str_equal (kr_request_path (request), KR_PEER_TAKEOVERS))
    kr_request_reply (request, kr_takeover_answer (node, kr_request_json (request)), NULL, 0);
  else if (g_str_equal (kr_request_path (request), KR_PEER_HEALTH))
    kr_request_reply (request, 200,
                      json_pack ("{sf si}", "Silence", kr_state_silence (node->state), "LostCalls",
                                 (int) kr_calls_lost ()),
                      0);
  else
    kr_request_reply (request, 404, NULL, 0);
}

static void
peer_heard (double silence_s, gpointer data)
{
  KrNode *node = data;
  /* At the beginning of an outage for all some have heard it a little later than we: that is not
   * served, as only a node that has heard it within the period of its own renewals is. */
  if (!node->state_cut && !state_heard (node) && silence_s < KR_PEER_SERVED_S) {
    kr_info ("state: a peer reaches it and we do not, leaving the balancer");
    node->state_cut = TRUE;
  }
}

/* Without the state service a node can answer nothing; but in an outage for all, leaving the
 * balancer would gain nothing. A peer's word tells the two apart. */
static gboolean
check_health (gpointer data)
{
  KrNode *node = data;
  set_shares (node);
  log_readiness (node);
  if (state_heard (node))
    node->state_cut = FALSE;
  kr_detector_tick (node->detector);
  return G_SOURCE_CONTINUE;
}

/* --- life ---------------------------------------------------------------------------- */
KrNode *
kr_node_new (const KrSettings *settings, GError **error)
{
  const KrMembershipEvents events = { holder_changed, needs_told, scanned };
  const KrRecordEvents record_events = { record_changed, machine_left };
  KrNode *node = g_new0 (KrNode, 1);
  guint conns = (guint) (settings->sockets * KR_CLIENT_SOCKET_SHARE);

  node->settings = settings;
  node->loop = g_main_loop_new (NULL, FALSE);
  node->cancel = g_cancellable_new ();
  node->parts = g_new0 (KrPart *, settings->size);
  node->state = kr_state_new (settings);
  node->cloud = kr_cloud_new (settings);
  node->workers = kr_client_new (kr_node_worker_conns (settings), 2, KR_WORKER_IDLE_S);
  node->peers = kr_client_new (KR_PEER_CONNS * MAX (1, settings->others->len), KR_PEER_CONNS,
                               KR_CLIENT_IDLE_S);
  node->jobs = kr_follow_new (node->state, "job/", node->cancel, jobs_scanned, job_event, node);
  node->records = kr_records_new (settings, &record_events, node);
  node->membership =
      kr_membership_new (settings, node->state, node->records, node->cancel, &events, node);
  node->detector = kr_detector_new (settings, node->state, node->peers, node->membership,
                                    node->cancel, peer_heard, node);
  node->rent = kr_rent_new (node);
  node->api = kr_api_new (node);
  node->public_server = kr_server_new (settings->client_listen, conns, KR_CLIENT_IDLE_S,
                                       node->cancel, serve_public, node, error);
  if (node->public_server)
    node->peer_server = kr_server_new (settings->internal_addr, 4 * MAX (1, settings->others->len),
                                       KR_CLIENT_IDLE_S, node->cancel, serve_peer, node, error);
  if (!node->peer_server) {
    kr_node_free (node);
    return NULL;
  }
  node->health = kr_timer_add (KR_TICK_MS, check_health, node);
  kr_info ("%s in %s, part %u of %u, users on %s", settings->node_name, settings->zone,
           settings->self, settings->size, settings->client_listen);
  return node;
}

void
kr_node_run (KrNode *node)
{
  g_main_loop_run (node->loop);
}

/* Ends all duties; the process ends right after. */
void
kr_node_free (KrNode *node)
{
  g_cancellable_cancel (node->cancel);
  kr_timer_clear (&node->health);
  if (node->public_server)
    kr_server_free (node->public_server);
  if (node->peer_server)
    kr_server_free (node->peer_server);
  kr_detector_free (node->detector);
  kr_rent_free (node->rent);
  kr_api_free (node->api);
  kr_membership_free (node->membership);
  kr_records_free (node->records);
  g_main_loop_unref (node->loop);
}
