#include "node.h"
#include "api.h"
#include "clock.h"
#include "constants.h"
#include "log.h"
#include "part.h"
#include "rent.h"
#include <string.h>

const KrType *
kr_node_type (KrNode *n, const char *name)
{
  for (guint i = 0; n->types && i < n->types->len; i++) {
    const KrType *t = n->types->pdata[i];
    if (g_str_equal (t->name, name))
      return t;
  }
  return NULL;
}

guint
kr_node_worker_conns (const KrSettings *s)
{
  return MAX (KR_FENCE_WINDOW, (guint) (s->sockets * KR_WORKER_SOCKET_SHARE));
}

/* --- shares of the budgets ------------------------------------------------------------ */
/* Parts up to the number of teams have work. */
static guint
busy_parts (const KrNode *n)
{
  return MIN (n->settings->teams->len, n->settings->size);
}

static gboolean
holds (const KrHolder *h, const char *name)
{
  return h->node && g_str_equal (h->node, name);
}

/* A node's share of a limit that holds for all, by the keys that it has as far as we know. */
static double
share_of (KrNode *n, const char *name, double node, double part, double lead)
{
  double own = node + (holds (kr_membership_leader (n->membership), name) ? lead : 0);
  for (guint p = 0; p < busy_parts (n); p++)
    own += holds (kr_membership_holder (n->membership, p), name) ? part : 0;
  return own / (n->settings->size * node + busy_parts (n) * part + lead);
}

static double
state_share (KrNode *n, const char *name)
{
  return share_of (n, name, KR_STATE_WEIGHT_NODE, KR_STATE_WEIGHT_PART, KR_STATE_WEIGHT_LEAD);
}

double
kr_node_base_writes (KrNode *n, const char *name)
{
  return state_share (n, name) * n->settings->state_write_rps;
}

double
kr_node_waiting_writes (KrNode *n)
{
  double waiting = kr_state_waiting_writes (n->state);
  for (guint p = 0; p < n->settings->size; p++)
    waiting += n->parts[p] ? kr_part_waiting_ends (n->parts[p]) : 0;
  return waiting;
}

/* The limits are of all nodes together. What is weighed by a key (a part, the lead) is used by its
 * holder only; where a holder does not know yet that it lost the key, the sum is passed for as long
 * as it takes to hear of it, and the service's 429 settles that. */
static void
set_shares (KrNode *n)
{
  const char *own = n->settings->node_name;
  double writes = kr_now () < n->writes_until ? n->writes : kr_node_base_writes (n, own);
  kr_state_set_rates (n->state, state_share (n, own) * n->settings->state_rps, writes);
  kr_cloud_set_share (n->cloud, share_of (n, own, KR_CLOUD_WEIGHT_NODE, KR_CLOUD_WEIGHT_PART,
                                          KR_CLOUD_WEIGHT_LEAD));
}

void
kr_node_allot_writes (KrNode *n, double writes)
{
  n->writes = writes;
  n->writes_until = kr_now () + (gint64) (KR_BUDGET_VALID_S * G_USEC_PER_SEC);
  set_shares (n);
}

/* --- membership's events ------------------------------------------------------------- */
static void
holder_changed (guint part, gpointer data)
{
  KrNode *n = data;
  const KrHolder *h = kr_membership_holder (n->membership, part);
  KrPart *p = n->parts[part];
  gboolean ours = kr_membership_owns (n->membership, part), any = FALSE;

  if (p && ours && h->from == kr_part_token (p)) {
    kr_part_renewed (p, h->revision);
    return;
  }
  if (p)
    kr_part_drop (p);
  n->parts[part] = ours ? kr_part_new (n, part, h->revision) : NULL;
  for (guint i = 0; i < n->settings->size; i++)
    any |= n->parts[i] != NULL;
  if (!any)
    kr_follow_stop (n->jobs);
  set_shares (n);
}

static void
record_changed (guint part, gpointer data)
{
  KrNode *n = data;
  if (n->parts[part])
    kr_part_record_changed (n->parts[part]);
}

static void
machine_left (const char *machine, gpointer data)
{
  KrNode *n = data;
  if (n->rent)
    kr_rent_left (n->rent, machine);
}

static void
needs_told (guint part, json_t *value, gpointer data)
{
  KrNode *n = data;
  kr_rent_needs (n->rent, part, value);
}

static void
scanned (gpointer data)
{
  KrNode *n = data;
  kr_rent_scanned (n->rent);
  for (guint p = 0; p < n->settings->size; p++)
    if (n->parts[p])
      kr_part_scanned (n->parts[p]);
}

static void
jobs_scanned (json_t *items, guint64 revision, gpointer data)
{
  KrNode *n = data;
  for (guint p = 0; p < n->settings->size; p++)
    if (n->parts[p])
      kr_part_jobs_scanned (n->parts[p], items);
}

static void
job_event (const KrItem *item, gpointer data)
{
  KrNode *n = data;
  for (guint p = 0; p < n->settings->size; p++)
    if (n->parts[p])
      kr_part_job_event (n->parts[p], item);
}

/* --- requests ------------------------------------------------------------------------ */
static void
beat (KrNode *n, KrRequest *request)
{
  g_autoptr (KrReport) r =
      kr_request_json (request) ? kr_wire_report_parse (kr_request_json (request)) : NULL;
  if (!r) {
    kr_request_reply (request, 400, kr_wire_error ("not a report"), 0);
    return;
  }
  const KrMember *m = kr_records_find (n->records, r->machine);
  gint part = m ? (gint) m->part : -1;
  if (part >= 0 && n->parts[part]) {
    kr_part_beat (n->parts[part], request, r);
    return;
  }
  const KrHolder *h = part >= 0 ? kr_membership_holder (n->membership, (guint) part)
                                : kr_membership_leader (n->membership);
  gboolean self = h->node && g_str_equal (h->node, n->settings->node_name);
  if (part < 0 && self)
    kr_rent_seen (n->rent, r);
  kr_request_reply (request, 421, kr_wire_redirect (self ? NULL : h->node), 0);
}

static void
serve_public (KrRequest *request, gpointer data)
{
  KrNode *n = data;
  g_autofree char *id = NULL;

  switch (kr_wire_route (kr_request_method (request), kr_request_path (request), &id)) {
  case KR_ROUTE_READY:
    if (kr_membership_seen (n->membership) && n->types && !n->state_cut)
      kr_request_reply (request, 200, NULL, 0);
    else
      kr_request_reply (request, 503, kr_wire_error ("not able to take requests"),
                        KR_RETRY_AFTER_S);
    break;
  case KR_ROUTE_BEAT:
    beat (n, request);
    break;
  case KR_ROUTE_SUBMIT:
    kr_api_submit (n->api, request);
    break;
  case KR_ROUTE_POLL:
    kr_api_poll (n->api, request, id);
    break;
  case KR_ROUTE_ABORT:
    kr_api_abort (n->api, request, id);
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
state_heard (KrNode *n)
{
  return kr_state_silence (n->state) < KR_STATE_SILENCE_S;
}

static void
serve_peer (KrRequest *request, gpointer data)
{
  KrNode *n = data;
  if (g_str_equal (kr_request_path (request), KR_PEER_SUMMARIES))
    kr_request_reply (request, 200, kr_rent_summaries (n->rent), 0);
  else if (g_str_equal (kr_request_path (request), KR_PEER_BUDGET))
    kr_request_reply (request, kr_rent_budget (n->rent, kr_request_json (request)), NULL, 0);
  else if (g_str_equal (kr_request_path (request), KR_PEER_WISHES)) {
    json_t *body = kr_request_json (request);
    guint64 leader = (guint64) json_integer_value (json_object_get (body, "Leader"));
    gboolean done = kr_rent_fulfil (n->rent, json_object_get (body, "Wishes"), leader);
    kr_request_reply (request, done ? 200 : 409, NULL, 0);
  } else if (g_str_equal (kr_request_path (request), KR_PEER_CANCELLATIONS))
    kr_request_reply (request, kr_cancel_answer (n, kr_request_json (request)), NULL, 0);
  else if (g_str_equal (kr_request_path (request), "/health"))
    kr_request_reply (request, 200, json_pack ("{sf}", "Silence", kr_state_silence (n->state)), 0);
  else
    kr_request_reply (request, 404, NULL, 0);
}

static void
peer_health (guint status, json_t *body, gpointer data)
{
  KrNode *n = data;
  json_t *silence = json_object_get (body, "Silence");
  /* At the beginning of an outage for all some have heard it a little later than we: that is not
   * served, as only a node that has heard it within the period of its own renewals is. */
  if (!n->state_cut && !state_heard (n) && json_is_number (silence) &&
      json_number_value (silence) < KR_PEER_SERVED_S) {
    kr_info ("state: a peer reaches it and we do not, leaving the balancer");
    n->state_cut = TRUE;
  }
}

/* Without the state service a node can answer nothing; but in an outage for all, leaving the
 * balancer would gain nothing. A peer's word tells the two apart. */
static gboolean
check_health (gpointer data)
{
  KrNode *n = data;
  set_shares (n);
  if (state_heard (n)) {
    n->state_cut = FALSE;
    return G_SOURCE_CONTINUE;
  }
  for (guint i = 0; i < n->settings->others->len; i++) {
    const KrPeerSettings *o = n->settings->others->pdata[i];
    kr_client_call (n->peers, "GET", o->addr, "/health", NULL, KR_PEER_TIMEOUT_MS, n->cancel,
                    peer_health, n);
  }
  return G_SOURCE_CONTINUE;
}

/* --- life ---------------------------------------------------------------------------- */
KrNode *
kr_node_new (const KrSettings *s, GError **error)
{
  const KrMembershipEvents events = { holder_changed, needs_told, scanned };
  const KrRecordEvents record_events = { record_changed, machine_left };
  KrNode *n = g_new0 (KrNode, 1);
  guint conns = (guint) (s->sockets * KR_CLIENT_SOCKET_SHARE);

  n->settings = s;
  n->loop = g_main_loop_new (NULL, FALSE);
  n->cancel = g_cancellable_new ();
  n->parts = g_new0 (KrPart *, s->size);
  n->state = kr_state_new (s);
  n->cloud = kr_cloud_new (s);
  n->workers = kr_client_new (kr_node_worker_conns (s), 2, KR_WORKER_IDLE_S);
  n->peers =
      kr_client_new (KR_PEER_CONNS * MAX (1, s->others->len), KR_PEER_CONNS, KR_CLIENT_IDLE_S);
  n->jobs = kr_follow_new (n->state, "job/", n->cancel, jobs_scanned, job_event, n);
  n->records = kr_records_new (s, &record_events, n);
  n->membership = kr_membership_new (s, n->state, n->records, n->cancel, &events, n);
  n->rent = kr_rent_new (n);
  n->api = kr_api_new (n);
  n->public_server =
      kr_server_new (s->client_listen, conns, KR_CLIENT_IDLE_S, n->cancel, serve_public, n, error);
  if (n->public_server)
    n->peer_server = kr_server_new (s->internal_addr, 4 * MAX (1, s->others->len), KR_CLIENT_IDLE_S,
                                    n->cancel, serve_peer, n, error);
  if (!n->peer_server) {
    kr_node_free (n);
    return NULL;
  }
  n->health = kr_timer_add (KR_TICK_MS, check_health, n);
  kr_info ("%s in %s, part %u of %u, users on %s", s->node_name, s->zone, s->self, s->size,
           s->client_listen);
  return n;
}

void
kr_node_run (KrNode *n)
{
  g_main_loop_run (n->loop);
}

/* Ends all duties; the process ends right after. */
void
kr_node_free (KrNode *n)
{
  g_cancellable_cancel (n->cancel);
  kr_timer_clear (&n->health);
  if (n->public_server)
    kr_server_free (n->public_server);
  if (n->peer_server)
    kr_server_free (n->peer_server);
  kr_rent_free (n->rent);
  kr_api_free (n->api);
  kr_membership_free (n->membership);
  kr_records_free (n->records);
  g_main_loop_unref (n->loop);
}
