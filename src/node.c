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

/* --- shares of the rate limits -------------------------------------------------------- */
/* Returns the number of shards that have a team, and so may have jobs. Teams are assigned to shards
 * in turn: with fewer teams than shards, only the first shards have a team. */
static guint
shards_with_teams (const KrNode *node)
{
  return MIN (node->settings->teams->len, node->settings->shard_count);
}

static gboolean
is_held_by (const KrHolder *holder, const char *name)
{
  return holder->node && g_str_equal (holder->node, name);
}

/* Returns the share (0 to 1) of the node `name` in a limit for all nodes together. The share
 * depends on the keys that the node holds, as far as this node knows. */
static double
weighted_share (KrNode *node, const char *name, double node_weight, double shard_weight,
                double leader_weight)
{
  double weight = node_weight +
                  (is_held_by (kr_membership_leader (node->membership), name) ? leader_weight : 0);
  for (guint shard = 0; shard < shards_with_teams (node); shard++)
    weight += is_held_by (kr_membership_holder (node->membership, shard), name) ? shard_weight : 0;
  return weight / (node->settings->shard_count * node_weight +
                   shards_with_teams (node) * shard_weight + leader_weight);
}

static double
state_share (KrNode *node, const char *name)
{
  return weighted_share (node, name, KR_STATE_WEIGHT_NODE, KR_STATE_WEIGHT_SHARD,
                         KR_STATE_WEIGHT_LEADER);
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
  for (guint shard = 0; shard < node->settings->shard_count; shard++)
    waiting += node->shards[shard] ? kr_shard_pending_end_writes (node->shards[shard]) : 0;
  return waiting;
}

/* The configured limits are for all nodes together. The share that goes with a shard or with the
 * leadership is used by the key's holder only. While a former holder does not know yet that it lost
 * the key, the sum of all shares exceeds the limit; the service then refuses calls with 429. */
static void
update_rate_limits (KrNode *node)
{
  const char *name = node->settings->node_name;
  double writes_per_s = kr_now () < node->allotment_expires_at
                            ? node->allotted_write_rate
                            : kr_node_base_write_rate (node, name);
  kr_state_set_rates (node->state_client, state_share (node, name) * node->settings->state_rps,
                      writes_per_s);
  kr_cloud_set_rate_share (node->cloud_client,
                           weighted_share (node, name, KR_CLOUD_WEIGHT_NODE, KR_CLOUD_WEIGHT_SHARD,
                                           KR_CLOUD_WEIGHT_LEADER));
}

void
kr_node_set_write_rate (KrNode *node, double writes_per_s)
{
  node->allotted_write_rate = writes_per_s;
  node->allotment_expires_at = kr_now () + (gint64) (KR_BUDGET_VALID_S * G_USEC_PER_SEC);
  update_rate_limits (node);
}

/* --- events of the membership, the machine records and the job watch ----------------- */
static void
holder_changed (guint shard, gpointer data)
{
  KrNode *node = data;
  const KrHolder *holder = kr_membership_holder (node->membership, shard);
  KrShard *current = node->shards[shard];
  gboolean owned = kr_membership_owns (node->membership, shard), any = FALSE;

  if (current && owned && holder->replaced_revision == kr_shard_token (current)) {
    kr_shard_set_token (current, holder->revision);
    return;
  }
  if (current)
    kr_shard_close (current);
  node->shards[shard] = owned ? kr_shard_new (node, shard, holder->revision) : NULL;
  for (guint i = 0; i < node->settings->shard_count; i++)
    any |= node->shards[i] != NULL;
  if (!any)
    kr_watch_stop (node->job_watch);
  update_rate_limits (node);
}

static void
records_changed (guint shard, gpointer data)
{
  KrNode *node = data;
  if (node->shards[shard])
    kr_shard_record_changed (node->shards[shard]);
}

static void
machine_removed (const char *machine, gpointer data)
{
  KrNode *node = data;
  if (node->provisioner)
    kr_provisioner_machine_removed (node->provisioner, machine);
}

static void
summary_stored (guint shard, json_t *value, gpointer data)
{
  KrNode *node = data;
  kr_provisioner_note_summary (node->provisioner, shard, value);
}

static void
membership_relisted (gpointer data)
{
  KrNode *node = data;
  kr_provisioner_records_relisted (node->provisioner);
  for (guint shard = 0; shard < node->settings->shard_count; shard++)
    if (node->shards[shard])
      kr_shard_membership_relisted (node->shards[shard]);
}

static void
jobs_listed (json_t *items, guint64 revision, gpointer data)
{
  KrNode *node = data;
  for (guint shard = 0; shard < node->settings->shard_count; shard++)
    if (node->shards[shard])
      kr_shard_jobs_listed (node->shards[shard], items);
}

static void
job_event (const KrKeyValue *item, gpointer data)
{
  KrNode *node = data;
  for (guint shard = 0; shard < node->settings->shard_count; shard++)
    if (node->shards[shard])
      kr_shard_job_event (node->shards[shard], item);
}

/* --- requests ------------------------------------------------------------------------ */
void
kr_node_note_malformed (KrNode *node, KrRequest *request, const char *interface, const char *id,
                        const char *field)
{
  const char *syntax_error = kr_request_json_error (request);
  kr_refusal_log_note (node->refusals,
                       &(KrRefusal){ syntax_error ? KR_REFUSAL_NOT_JSON : KR_REFUSAL_INVALID_FIELD,
                                     interface, id, syntax_error ? syntax_error : field,
                                     kr_request_body_bytes (request) });
}

static void
handle_report (KrNode *node, KrRequest *request)
{
  g_autoptr (KrReport) report =
      kr_request_json (request) ? kr_wire_report_parse (kr_request_json (request)) : NULL;
  if (!report) {
    kr_node_note_malformed (node, request, "report", NULL, "not a report");
    kr_request_reply (request, 400, kr_wire_error ("not a report"), 0);
    return;
  }
  const KrMachineRecord *record = kr_machine_records_find (node->machine_records, report->machine);
  gint shard = record ? (gint) record->shard : -1;
  if (shard >= 0 && node->shards[shard]) {
    kr_shard_handle_report (node->shards[shard], request, report);
    return;
  }
  const KrHolder *holder = shard >= 0 ? kr_membership_holder (node->membership, (guint) shard)
                                      : kr_membership_leader (node->membership);
  gboolean held_by_this_node =
      holder->node && g_str_equal (holder->node, node->settings->node_name);
  if (shard < 0 && held_by_this_node)
    kr_provisioner_unassigned_reported (node->provisioner, report);
  /* While only this node cannot reach the state service, its knowledge of the owner may be
   * outdated. If this node redirected a worker on that basis, the worker would go back and forth
   * between this node and an owner that is gone. */
  gboolean names_owner = !held_by_this_node && !node->state_unreachable;
  kr_request_reply (request, 421, kr_wire_redirect (names_owner ? holder->node : NULL), 0);
}

/* Returns why the node is not ready for requests; NULL if it is ready. */
static const char *
find_not_ready_reason (const KrNode *node)
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
  const char *reason = find_not_ready_reason (node);
  if (reason)
    kr_request_reply (request, 503, kr_wire_error (reason), KR_RETRY_AFTER_S);
  else
    kr_request_reply (request, 200, NULL, 0);
}

static void
log_readiness (KrNode *node)
{
  const char *reason = find_not_ready_reason (node);
  if (reason == node->not_ready_reason)
    return;
  node->not_ready_reason = reason;
  kr_info ("%s: %s", reason ? "not ready" : "ready", reason ? reason : "accepting requests");
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
    handle_report (node, request);
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
state_reachable (KrNode *node)
{
  return kr_state_seconds_since_answer (node->state_client) < KR_STATE_UNREACHABLE_S;
}

static void
serve_peer (KrRequest *request, gpointer data)
{
  KrNode *node = data;
  if (kr_request_json_error (request) && kr_request_body_bytes (request))
    kr_node_note_malformed (node, request, kr_request_path (request), NULL, NULL);
  if (g_str_equal (kr_request_path (request), KR_PEER_SUMMARIES))
    kr_request_reply (request, 200, kr_provisioner_build_summaries (node->provisioner), 0);
  else if (g_str_equal (kr_request_path (request), KR_PEER_BUDGET))
    kr_request_reply (
        request, kr_provisioner_handle_write_budget (node->provisioner, kr_request_json (request)),
        NULL, 0);
  else if (g_str_equal (kr_request_path (request), KR_PEER_DIRECTIVES)) {
    json_t *body = kr_request_json (request);
    guint64 leader = kr_json_uint (json_object_get (body, "Leader"));
    gboolean applied = kr_provisioner_apply_directives (node->provisioner,
                                                        json_object_get (body, "Wishes"), leader);
    kr_request_reply (request, applied ? 200 : 409, NULL, 0);
  } else if (g_str_equal (kr_request_path (request), KR_PEER_CANCELLATIONS))
    kr_request_reply (request, kr_cancel_handle_request (node, kr_request_json (request)), NULL, 0);
  else if (g_str_equal (kr_request_path (request), KR_PEER_TAKEOVERS))
    kr_request_reply (request, kr_takeover_handle_request (node, kr_request_json (request)), NULL,
                      0);
  else if (g_str_equal (kr_request_path (request), KR_PEER_HEALTH))
    kr_request_reply (
        request, 200,
        json_pack ("{sf si so so}", "Silence", kr_state_seconds_since_answer (node->state_client),
                   "LostCalls", (int) kr_http_client_lost_calls (), "Polls",
                   kr_api_health (node->api), "Refused", kr_refusal_log_to_json (node->refusals)),
        0);
  else
    kr_request_reply (request, 404, NULL, 0);
}

static void
on_peer_silence (double silence_s, gpointer data)
{
  KrNode *node = data;
  /* At the start of an outage for all nodes, the last answer to some peers is a little newer than
   * the last answer to this node. Such a peer does not count as reaching the state service; only a
   * peer that was answered within the interval of its lease renewals does. */
  if (!node->state_unreachable && !state_reachable (node) && silence_s < KR_PEER_REACHES_STATE_S) {
    kr_info ("state: a peer reaches it but this node does not, reporting not ready to the load "
             "balancer");
    node->state_unreachable = TRUE;
  }
}

/* A node that cannot reach the state service can answer no request. It reports itself as not ready
 * only if a peer does reach the service, as seen from the peers' answers to pings: in an outage for
 * all nodes, leaving the load balancer would gain nothing. */
static gboolean
check_health (gpointer data)
{
  KrNode *node = data;
  update_rate_limits (node);
  log_readiness (node);
  if (state_reachable (node))
    node->state_unreachable = FALSE;
  kr_detector_tick (node->detector);
  if (++node->ticks % (guint) KR_POLL_LOG_INTERVAL_S == 0)
    kr_api_log_unanswered_polls (node->api);
  return G_SOURCE_CONTINUE;
}

/* --- start and end ------------------------------------------------------------------- */
KrNode *
kr_node_new (const KrSettings *settings, GError **error)
{
  const KrMembershipEvents events = { holder_changed, summary_stored, membership_relisted };
  const KrMachineRecordEvents record_events = { records_changed, machine_removed };
  KrNode *node = g_new0 (KrNode, 1);
  guint client_connections = (guint) (settings->sockets * KR_CLIENT_SOCKET_SHARE);

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
      kr_watch_new (node->state_client, "job/", node->cancel, jobs_listed, job_event, node);
  node->machine_records = kr_machine_records_new (settings, &record_events, node);
  node->membership = kr_membership_new (settings, node->state_client, node->machine_records,
                                        node->cancel, &events, node);
  node->detector = kr_detector_new (settings, node->state_client, node->peer_client,
                                    node->membership, node->cancel, on_peer_silence, node);
  node->provisioner = kr_provisioner_new (node);
  node->api = kr_api_new (node);
  node->refusals = kr_refusal_log_new ();
  node->public_server =
      kr_http_server_new (settings->client_listen, client_connections, KR_CONN_IDLE_S, node->cancel,
                          serve_public, node, error);
  if (node->public_server)
    node->peer_server =
        kr_http_server_new (settings->internal_addr, 4 * MAX (1, settings->peers->len),
                            KR_CONN_IDLE_S, node->cancel, serve_peer, node, error);
  if (!node->peer_server) {
    kr_node_free (node);
    return NULL;
  }
  node->health_timer = kr_timer_add (KR_TICK_MS, check_health, node);
  kr_info ("%s in zone %s, home shard %u of %u, listening for users on %s", settings->node_name,
           settings->zone, settings->self_index, settings->shard_count, settings->client_listen);
  return node;
}

void
kr_node_run (KrNode *node)
{
  g_main_loop_run (node->loop);
}

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
  kr_refusal_log_free (node->refusals);
  g_main_loop_unref (node->loop);
}
