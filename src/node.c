#include "node.h"
#include "api.h"
#include "clock.h"
#include "constants.h"
#include "log.h"
#include "shard.h"
#include "provisioner.h"
#include <string.h>

const KrMachineType *
kr_node_machine_type (KrNode *node, const char *name)
{
  for (guint i = 0; node->machine_types && i < node->machine_types->len; i++) {
    const KrMachineType *type = node->machine_types->pdata[i];
    if (g_str_equal (type->name, name))
      return type;
  }
  return NULL;
}

guint
kr_node_worker_connections (const KrSettings *settings)
{
  return MAX (KR_FENCE_PARALLEL_MIN, (guint) (settings->sockets * KR_WORKER_SOCKET_SHARE));
}

/* --- shares of the budgets ------------------------------------------------------------ */
/* Parts up to the number of teams have work. */
static guint
busy_parts (const KrNode *node)
{
  return MIN (node->settings->teams->len, node->settings->shard_count);
}

static gboolean
holds (const KrHolder *holder, const char *name)
{
  return holder->node && g_str_equal (holder->node, name);
}

/* A node's share of a limit that holds for all, by the keys that it has as far as we know. */
static double
share_of (KrNode *own_node, const char *name, double node, double shard, double lead)
{
  double own = node + (holds (kr_membership_leader (own_node->membership), name) ? lead : 0);
  for (guint p = 0; p < busy_parts (own_node); p++)
    own += holds (kr_membership_holder (own_node->membership, p), name) ? shard : 0;
  return own / (own_node->settings->shard_count * node + busy_parts (own_node) * shard + lead);
}

static double
state_share (KrNode *node, const char *name)
{
  return share_of (node, name, KR_STATE_WEIGHT_NODE, KR_STATE_WEIGHT_SHARD, KR_STATE_WEIGHT_LEADER);
}

double
kr_node_base_write_rate (KrNode *node, const char *name)
{
  return state_share (node, name) * node->settings->state_write_rps;
}

double
kr_node_queued_writes (KrNode *node)
{
  double waiting = kr_state_queued_writes (node->state_client);
  for (guint p = 0; p < node->settings->shard_count; p++)
    waiting += node->shards[p] ? kr_shard_pending_end_writes (node->shards[p]) : 0;
  return waiting;
}

/* The limits are of all nodes together. What is weighed by a key (a part, the lead) is used by its
 * holder only; where a holder does not know yet that it lost the key, the sum is passed for as long
 * as it takes to hear of it, and the service's 429 settles that. */
static void
set_shares (KrNode *node)
{
  const char *own = node->settings->node_name;
  double writes = kr_now () < node->allotment_expires_at ? node->allotted_write_rate
                                                         : kr_node_base_write_rate (node, own);
  kr_state_set_rates (node->state_client, state_share (node, own) * node->settings->state_rps,
                      writes);
  kr_cloud_set_rate_share (
      node->cloud_client,
      share_of (node, own, KR_CLOUD_WEIGHT_NODE, KR_CLOUD_WEIGHT_SHARD, KR_CLOUD_WEIGHT_LEADER));
}

void
kr_node_set_write_rate (KrNode *node, double writes)
{
  node->allotted_write_rate = writes;
  node->allotment_expires_at = kr_now () + (gint64) (KR_BUDGET_VALID_S * G_USEC_PER_SEC);
  set_shares (node);
}

/* --- membership's events ------------------------------------------------------------- */
static void
holder_changed (guint shard, gpointer data)
{
  KrNode *node = data;
  const KrHolder *holder = kr_membership_holder (node->membership, shard);
  KrShard *p = node->shards[shard];
  gboolean ours = kr_membership_owns (node->membership, shard), any = FALSE;

  if (p && ours && holder->replaced_revision == kr_shard_token (p)) {
    kr_shard_set_token (p, holder->revision);
    return;
  }
  if (p)
    kr_shard_close (p);
  node->shards[shard] = ours ? kr_shard_new (node, shard, holder->revision) : NULL;
  for (guint i = 0; i < node->settings->shard_count; i++)
    any |= node->shards[i] != NULL;
  if (!any)
    kr_watch_stop (node->job_watch);
  set_shares (node);
}

static void
record_changed (guint shard, gpointer data)
{
  KrNode *node = data;
  if (node->shards[shard])
    kr_shard_record_changed (node->shards[shard]);
}

static void
machine_left (const char *machine, gpointer data)
{
  KrNode *node = data;
  if (node->provisioner)
    kr_provisioner_machine_removed (node->provisioner, machine);
}

static void
needs_told (guint shard, json_t *value, gpointer data)
{
  KrNode *node = data;
  kr_provisioner_note_summary (node->provisioner, shard, value);
}

static void
scanned (gpointer data)
{
  KrNode *node = data;
  kr_provisioner_records_relisted (node->provisioner);
  for (guint p = 0; p < node->settings->shard_count; p++)
    if (node->shards[p])
      kr_shard_membership_relisted (node->shards[p]);
}

static void
jobs_scanned (json_t *items, guint64 revision, gpointer data)
{
  KrNode *node = data;
  for (guint p = 0; p < node->settings->shard_count; p++)
    if (node->shards[p])
      kr_shard_jobs_listed (node->shards[p], items);
}

static void
job_event (const KrKeyValue *item, gpointer data)
{
  KrNode *node = data;
  for (guint p = 0; p < node->settings->shard_count; p++)
    if (node->shards[p])
      kr_shard_job_event (node->shards[p], item);
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
  const KrMachineRecord *member = kr_machine_records_find (node->machine_records, r->machine);
  gint shard = member ? (gint) member->shard : -1;
  if (shard >= 0 && node->shards[shard]) {
    kr_shard_handle_report (node->shards[shard], request, r);
    return;
  }
  const KrHolder *holder = shard >= 0 ? kr_membership_holder (node->membership, (guint) shard)
                                      : kr_membership_leader (node->membership);
  gboolean self = holder->node && g_str_equal (holder->node, node->settings->node_name);
  if (shard < 0 && self)
    kr_provisioner_unassigned_reported (node->provisioner, r);
  /* Without the state service while others have it, what we knew may be over: a worker would go to
   * and fro between us and an owner that is gone. */
  gboolean telling = !self && !node->state_unreachable;
  kr_request_reply (request, 421, kr_wire_redirect (telling ? holder->node : NULL), 0);
}

/* Why the node can take no requests, or NULL. */
static const char *
unready_cause (const KrNode *node)
{
  if (!kr_membership_is_synced (node->membership))
    return "who owns what is not read yet";
  if (!node->machine_types)
    return "machine types are not known yet";
  if (node->state_unreachable)
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
  if (cause == node->not_ready_reason)
    return;
  node->not_ready_reason = cause;
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
  case KR_ROUTE_REPORT:
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
  return kr_state_seconds_since_answer (node->state_client) < KR_STATE_UNREACHABLE_S;
}

static void
serve_peer (KrRequest *request, gpointer data)
{
  KrNode *node = data;
  if (g_str_equal (kr_request_path (request), KR_PEER_SUMMARIES))
    kr_request_reply (request, 200, kr_provisioner_build_summaries (node->provisioner), 0);
  else if (g_str_equal (kr_request_path (request), KR_PEER_BUDGET))
    kr_request_reply (
        request, kr_provisioner_handle_write_budget (node->provisioner, kr_request_json (request)),
        NULL, 0);
  else if (g_str_equal (kr_request_path (request), KR_PEER_DIRECTIVES)) {
    json_t *body = kr_request_json (request);
    guint64 leader = (guint64) json_integer_value (json_object_get (body, "Leader"));
    gboolean done = kr_provisioner_apply_directives (node->provisioner,
                                                     json_object_get (body, "Wishes"), leader);
    kr_request_reply (request, done ? 200 : 409, NULL, 0);
  } else if (g_str_equal (kr_request_path (request), KR_PEER_CANCELLATIONS))
    kr_request_reply (request, kr_cancel_handle_request (node, kr_request_json (request)), NULL, 0);
  else if (g_str_equal (kr_request_path (request), KR_PEER_TAKEOVERS))
    kr_request_reply (request, kr_takeover_handle_request (node, kr_request_json (request)), NULL,
                      0);
  else if (g_str_equal (kr_request_path (request), KR_PEER_HEALTH))
    kr_request_reply (request, 200,
                      json_pack ("{sf si}", "Silence",
                                 kr_state_seconds_since_answer (node->state_client), "LostCalls",
                                 (int) kr_http_client_lost_calls ()),
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
  if (!node->state_unreachable && !state_heard (node) && silence_s < KR_PEER_REACHES_STATE_S) {
    kr_info ("state: a peer reaches it and we do not, leaving the balancer");
    node->state_unreachable = TRUE;
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
    node->state_unreachable = FALSE;
  kr_detector_tick (node->detector);
  return G_SOURCE_CONTINUE;
}

/* --- life ---------------------------------------------------------------------------- */
KrNode *
kr_node_new (const KrSettings *settings, GError **error)
{
  const KrMembershipEvents events = { holder_changed, needs_told, scanned };
  const KrMachineRecordEvents record_events = { record_changed, machine_left };
  KrNode *node = g_new0 (KrNode, 1);
  guint conns = (guint) (settings->sockets * KR_CLIENT_SOCKET_SHARE);

  node->settings = settings;
  node->loop = g_main_loop_new (NULL, FALSE);
  node->cancel = g_cancellable_new ();
  node->shards = g_new0 (KrShard *, settings->shard_count);
  node->state_client = kr_state_new (settings);
  node->cloud_client = kr_cloud_new (settings);
  node->worker_client =
      kr_http_client_new (kr_node_worker_connections (settings), 2, KR_WORKER_CONN_IDLE_S);
  node->peer_client = kr_http_client_new (KR_PEER_CONNS * MAX (1, settings->peers->len),
                                          KR_PEER_CONNS, KR_CONN_IDLE_S);
  node->job_watch =
      kr_watch_new (node->state_client, "job/", node->cancel, jobs_scanned, job_event, node);
  node->machine_records = kr_machine_records_new (settings, &record_events, node);
  node->membership = kr_membership_new (settings, node->state_client, node->machine_records,
                                        node->cancel, &events, node);
  node->detector = kr_detector_new (settings, node->state_client, node->peer_client,
                                    node->membership, node->cancel, peer_heard, node);
  node->provisioner = kr_provisioner_new (node);
  node->api = kr_api_new (node);
  node->public_server = kr_http_server_new (settings->client_listen, conns, KR_CONN_IDLE_S,
                                            node->cancel, serve_public, node, error);
  if (node->public_server)
    node->peer_server =
        kr_http_server_new (settings->internal_addr, 4 * MAX (1, settings->peers->len),
                            KR_CONN_IDLE_S, node->cancel, serve_peer, node, error);
  if (!node->peer_server) {
    kr_node_free (node);
    return NULL;
  }
  node->health_timer = kr_timer_add (KR_TICK_MS, check_health, node);
  kr_info ("%s in %s, part %u of %u, users on %s", settings->node_name, settings->zone,
           settings->self_index, settings->shard_count, settings->client_listen);
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
  kr_timer_clear (&node->health_timer);
  if (node->public_server)
    kr_http_server_free (node->public_server);
  if (node->peer_server)
    kr_http_server_free (node->peer_server);
  kr_detector_free (node->detector);
  kr_provisioner_free (node->provisioner);
  kr_api_free (node->api);
  kr_membership_free (node->membership);
  kr_machine_records_free (node->machine_records);
  g_main_loop_unref (node->loop);
}
