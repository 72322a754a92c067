#include "state-client.h"
#include "clock.h"
#include "constants.h"
#include "log.h"

struct KrStateClient {
  KrHttpClient *client;
  char *host;
  KrRateLimiter *requests, *writes;
  gint64 heard, failed; /* monotonic us; 0: not yet */
};

typedef struct {
  KrStateClient *state;
  const char *method;
  char *path;
  json_t *body;
  KrQueueClass turn;
  guint timeout_ms;
  GCancellable *cancel;
  KrHttpResponseFunc reply;
  gpointer data;
  KrRateLimiter *limit; /* in which it waits */
  guint timer;          /* until it has waited long enough */
} Op;

KrStateClient *
kr_state_new (const KrSettings *settings)
{
  KrStateClient *state = g_new0 (KrStateClient, 1);
  state->client =
      kr_http_client_new (KR_STATE_CONNS, KR_STATE_CONNS, 0 /* its watches are always under way */);
  state->host = g_strdup (settings->state);
  state->requests = kr_rate_limiter_new (settings->state_rps / settings->shard_count, 1);
  state->writes = kr_rate_limiter_new (settings->state_write_rps / settings->shard_count, 1);
  return state;
}

void
kr_state_free (KrStateClient *state)
{
  kr_http_client_free (state->client);
  kr_rate_limiter_free (state->requests);
  kr_rate_limiter_free (state->writes);
  g_free (state->host);
  g_free (state);
}

double
kr_state_write_wait (KrStateClient *state)
{
  return kr_rate_limiter_wait_s (state->writes);
}

double
kr_state_request_rate (KrStateClient *state)
{
  return kr_rate_limiter_rate (state->requests);
}

guint
kr_state_write_burst (KrStateClient *state)
{
  return (guint) kr_rate_limiter_burst (state->writes);
}

guint
kr_state_spare_writes (KrStateClient *state)
{
  return (guint) kr_rate_limiter_spare (state->writes);
}

double
kr_state_queued_writes (KrStateClient *state)
{
  return kr_rate_limiter_queued_cost (state->writes);
}

void
kr_state_set_rates (KrStateClient *state, double requests, double writes)
{
  kr_rate_limiter_set_rate (state->requests, requests);
  kr_rate_limiter_set_rate (state->writes, writes);
}

double
kr_state_seconds_since_answer (KrStateClient *state)
{
  return state->heard ? (double) (kr_now () - state->heard) / G_USEC_PER_SEC : G_MAXINT;
}

double
kr_state_seconds_since_failure (KrStateClient *state)
{
  return state->failed ? (double) (kr_now () - state->failed) / G_USEC_PER_SEC : G_MAXINT;
}

static void
op_free (Op *op)
{
  kr_timer_clear (&op->timer);
  g_free (op->path);
  json_decref (op->body);
  g_clear_object (&op->cancel);
  g_free (op);
}

static void
op_done (guint status, json_t *body, gpointer data)
{
  Op *op = data;
  if (status && status != 503)
    op->state->heard = kr_now ();
  else if (!op->cancel || !g_cancellable_is_cancelled (op->cancel))
    op->state->failed = kr_now ();
  op->reply (status, body, op->data);
  op_free (op);
}

static void
op_refuse (Op *op)
{
  op->reply (429, NULL, op->data);
  op_free (op);
}

/* Guards against one that others keep from its turn for as long as they use the limit up. */
static gboolean
op_late (gpointer data)
{
  Op *op = data;
  op->timer = 0;
  kr_rate_limiter_cancel (op->limit, op);
  op_refuse (op);
  return G_SOURCE_REMOVE;
}

static void
op_send (gboolean granted, gpointer data)
{
  Op *op = data;
  if (!granted) {
    op_refuse (op);
    return;
  }
  kr_timer_clear (&op->timer);
  kr_http_client_call (op->state->client, op->method, op->state->host, op->path,
                       g_steal_pointer (&op->body), op->timeout_ms, op->cancel, op_done, op);
}

static void
op_request (gboolean granted, gpointer data)
{
  Op *op = data;
  op->limit = op->state->requests;
  if (granted)
    kr_rate_limiter_acquire (op->limit, 1, op->turn, op_send, op);
  else
    op_refuse (op);
}

static void
start (KrStateClient *state, const char *method, char *path, json_t *body, double puts,
       KrQueueClass turn, guint timeout_ms, GCancellable *cancel, KrHttpResponseFunc reply,
       gpointer data)
{
  Op *op = g_new0 (Op, 1);
  *op = (Op){ .state = state,
              .method = method,
              .path = path,
              .body = body,
              .turn = turn,
              .timeout_ms = timeout_ms,
              .cancel = cancel ? g_object_ref (cancel) : NULL,
              .reply = reply,
              .data = data,
              .limit = state->writes };
  op->timer =
      kr_timer_add (turn == KR_QUEUE_LOW ? timeout_ms : KR_LIMITER_WAIT_MAX_MS, op_late, op);
  if (puts > 0)
    kr_rate_limiter_acquire (op->limit, puts, turn, op_request, op);
  else
    op_request (TRUE, op);
}

void
kr_state_get (KrStateClient *state, const char *key, KrQueueClass turn, guint timeout_ms,
              GCancellable *cancel, KrHttpResponseFunc reply, gpointer data)
{
  start (state, "GET", kr_wire_key_path (key), NULL, 0, turn, timeout_ms, cancel, reply, data);
}

void
kr_state_changes (KrStateClient *state, const char *prefix, guint64 after, guint timeout_ms,
                  GCancellable *cancel, KrHttpResponseFunc reply, gpointer data)
{
  start (state, "GET", kr_wire_watch_path (prefix, after, 0), NULL, 0, KR_QUEUE_NORMAL, timeout_ms,
         cancel, reply, data);
}

void
kr_state_commit (KrStateClient *state, KrTxn *txn, KrQueueClass turn, guint timeout_ms,
                 GCancellable *cancel, KrHttpResponseFunc reply, gpointer data)
{
  start (state, "POST", g_strdup (KR_PATH_COMMIT), kr_txn_to_json (txn), kr_txn_write_count (txn),
         turn, timeout_ms, cancel, reply, data);
  kr_txn_free (txn);
}

void
kr_state_grant_or_renew_lease (KrStateClient *state, guint64 lease, guint life_ms,
                               GCancellable *cancel, KrHttpResponseFunc reply, gpointer data)
{
  start (state, "POST", lease ? kr_wire_lease_extend_path (lease) : g_strdup (KR_PATH_LEASES),
         kr_wire_lease_request (life_ms), 0, KR_QUEUE_HIGH, KR_STATE_TIMEOUT_MS, cancel, reply,
         data);
}

void
kr_state_revoke_lease (KrStateClient *state, guint64 lease, GCancellable *cancel,
                       KrHttpResponseFunc reply, gpointer data)
{
  start (state, "DELETE", kr_wire_lease_path (lease), NULL, 0, KR_QUEUE_HIGH, KR_STATE_TIMEOUT_MS,
         cancel, reply, data);
}

/* --- follower ------------------------------------------------------------------------ */
struct KrWatch {
  KrStateClient *state;
  char *prefix;
  GCancellable *parent, *cancel; /* cancel: of the call under way */
  KrWatchListFunc on_scan;
  KrWatchEventFunc on_event;
  gpointer data;
  guint64 from;
  gboolean scanned;
  json_t *items; /* pages so far */
  guint64 first_revision;
  guint timer; /* until the next call; while one is under way: until it counts as lost */
};

/* A call under way; it may outlive the follower's interest in it. */
typedef struct {
  KrWatch *follow;
  GCancellable *cancel;
} Turn;

static void step (KrWatch *follow);

static gboolean
step_again (gpointer data)
{
  KrWatch *follow = data;
  follow->timer = 0;
  step (follow);
  return G_SOURCE_REMOVE;
}

static void
step_later (KrWatch *follow, guint ms)
{
  kr_timer_clear (&follow->timer);
  follow->timer = kr_timer_add (ms, step_again, follow);
}

/* Drops the interest in the call under way. */
static void
leave_call (KrWatch *follow)
{
  GCancellable *cancel = g_steal_pointer (&follow->cancel);
  if (!cancel)
    return;
  g_cancellable_cancel (cancel);
  g_object_unref (cancel);
}

/* Every other step follows from an answer: without one the prefix would never be read again. */
static gboolean
call_lost (gpointer data)
{
  KrWatch *follow = data;
  follow->timer = 0;
  kr_info ("state: a read of %s had no end, reading on", follow->prefix);
  leave_call (follow);
  step_later (follow, KR_STATE_RETRY_MS);
  return G_SOURCE_REMOVE;
}

static void
scan_page (KrWatch *follow, json_t *body)
{
  gboolean more;
  json_t *items = kr_wire_store_list_items (body, &more);
  KrKeyValue last;

  if (!json_is_array (items)) {
    step_later (follow, KR_STATE_RETRY_MS);
    return;
  }
  if (!follow->items) {
    follow->items = json_array ();
    follow->first_revision = kr_wire_revision (body);
  }
  json_array_extend (follow->items, items);
  if (more && json_array_size (items) > 0 &&
      kr_wire_key_value_parse (json_array_get (items, json_array_size (items) - 1), &last)) {
    step (follow);
    return;
  }
  json_t *all = g_steal_pointer (&follow->items);
  follow->scanned = TRUE;
  follow->from = follow->first_revision;
  follow->on_scan (all, follow->from, follow->data);
  json_decref (all);
  if (follow->scanned && !follow->cancel)
    step_later (follow, KR_WATCH_INTERVAL_MS);
}

static void
events (KrWatch *follow, json_t *body)
{
  json_t *a = kr_wire_watch_events (body), *o;
  size_t i;
  guint64 revision = kr_wire_revision (body);

  if (revision > follow->from)
    follow->from = revision;
  json_array_foreach (a, i, o)
  {
    KrKeyValue item;
    if (kr_wire_watch_event_parse (o, &item))
      follow->on_event (&item, follow->data);
    if (!follow->scanned) /* an event made somebody ask for a rescan */
      return;
  }
  step_later (follow, KR_WATCH_INTERVAL_MS);
}

static void
step_done (guint status, json_t *body, gpointer data)
{
  Turn *turn = data;
  KrWatch *follow = turn->follow;
  gboolean current = follow->cancel == turn->cancel;

  g_object_unref (turn->cancel);
  g_free (turn);
  if (!current || g_cancellable_is_cancelled (follow->parent))
    return;
  g_clear_object (&follow->cancel);
  kr_timer_clear (&follow->timer);
  if (status == 410) {
    kr_info ("state: watch of %s is too old, reading it anew", follow->prefix);
    kr_watch_relist (follow);
  } else if (status != 200)
    step_later (follow, KR_STATE_RETRY_MS);
  else if (follow->scanned)
    events (follow, body);
  else
    scan_page (follow, body);
}

static void
step (KrWatch *follow)
{
  Turn *turn = g_new (Turn, 1);
  char *path;
  guint timeout = KR_STATE_TIMEOUT_MS;

  if (follow->scanned) {
    path = kr_wire_watch_path (follow->prefix, follow->from, KR_WATCH_HOLD_MS);
    timeout = KR_WATCH_HOLD_MS + KR_WATCH_TIMEOUT_SLACK_MS;
  } else {
    KrKeyValue last = { 0 };
    size_t n = json_array_size (follow->items);
    if (n)
      kr_wire_key_value_parse (json_array_get (follow->items, n - 1), &last);
    path = kr_wire_store_list_path (follow->prefix, last.key, KR_STORE_LIST_PAGE_KEYS);
  }
  follow->cancel = kr_cancellable_new_child (follow->parent);
  *turn = (Turn){ follow, g_object_ref (follow->cancel) };
  kr_timer_clear (&follow->timer);
  follow->timer = kr_timer_add (timeout + KR_WATCH_LOST_MS, call_lost, follow);
  start (follow->state, "GET", path, NULL, 0, KR_QUEUE_HIGH, timeout, follow->cancel, step_done,
         turn);
}

KrWatch *
kr_watch_new (KrStateClient *state, const char *prefix, GCancellable *cancel,
              KrWatchListFunc on_scan, KrWatchEventFunc on_event, gpointer data)
{
  KrWatch *follow = g_new0 (KrWatch, 1);
  follow->state = state;
  follow->prefix = g_strdup (prefix);
  follow->parent = kr_cancellable_new_child (cancel);
  follow->on_scan = on_scan;
  follow->on_event = on_event;
  follow->data = data;
  return follow;
}

void
kr_watch_stop (KrWatch *follow)
{
  kr_timer_clear (&follow->timer);
  g_clear_pointer (&follow->items, json_decref);
  follow->scanned = FALSE;
  leave_call (follow);
}

void
kr_watch_relist (KrWatch *follow)
{
  kr_watch_stop (follow);
  step (follow);
}

guint64
kr_watch_revision (const KrWatch *follow)
{
  return follow->scanned ? follow->from : 0;
}
