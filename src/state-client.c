#include "state-client.h"
#include "clock.h"
#include "constants.h"
#include "log.h"

struct KrStateClient {
  KrHttpClient *client;
  char *host;
  KrRateLimiter *request_limiter, *write_limiter;
  gint64 answered_at, failed_at; /* monotonic us of the newest answer and failure; 0: none yet */
};

/* A call that waits for the rate limiters or is in flight. */
typedef struct {
  KrStateClient *state;
  const char *method;
  char *path;
  json_t *body;
  KrQueueClass queue_class;
  guint timeout_ms;
  GCancellable *cancel;
  KrHttpResponseFunc callback;
  gpointer data;
  KrRateLimiter *limiter; /* the rate limiter in whose queue the request waits */
  guint timer;            /* ends the wait for the rate limiters */
} Request;

KrStateClient *
kr_state_new (const KrSettings *settings)
{
  KrStateClient *state = g_new0 (KrStateClient, 1);
  state->client = kr_http_client_new (KR_STATE_CONNS, KR_STATE_CONNS,
                                      0 /* never idle: watches are always in flight */);
  state->host = g_strdup (settings->state);
  state->request_limiter = kr_rate_limiter_new (settings->state_rps / settings->shard_count, 1);
  state->write_limiter = kr_rate_limiter_new (settings->state_write_rps / settings->shard_count, 1);
  return state;
}

void
kr_state_free (KrStateClient *state)
{
  kr_http_client_free (state->client);
  kr_rate_limiter_free (state->request_limiter);
  kr_rate_limiter_free (state->write_limiter);
  g_free (state->host);
  g_free (state);
}

double
kr_state_write_wait (KrStateClient *state)
{
  return kr_rate_limiter_wait_s (state->write_limiter);
}

double
kr_state_request_rate (KrStateClient *state)
{
  return kr_rate_limiter_rate (state->request_limiter);
}

guint
kr_state_write_burst (KrStateClient *state)
{
  return (guint) kr_rate_limiter_burst (state->write_limiter);
}

guint
kr_state_spare_writes (KrStateClient *state)
{
  return (guint) kr_rate_limiter_spare (state->write_limiter);
}

double
kr_state_queued_writes (KrStateClient *state)
{
  return kr_rate_limiter_queued_cost (state->write_limiter);
}

void
kr_state_set_rates (KrStateClient *state, double requests_per_s, double writes_per_s)
{
  kr_rate_limiter_set_rate (state->request_limiter, requests_per_s);
  kr_rate_limiter_set_rate (state->write_limiter, writes_per_s);
}

KrRateLimiterStats
kr_state_request_stats (KrStateClient *state)
{
  return kr_rate_limiter_stats (state->request_limiter);
}

double
kr_state_seconds_since_answer (KrStateClient *state)
{
  return state->answered_at ? (double) (kr_now () - state->answered_at) / G_USEC_PER_SEC : G_MAXINT;
}

double
kr_state_seconds_since_failure (KrStateClient *state)
{
  return state->failed_at ? (double) (kr_now () - state->failed_at) / G_USEC_PER_SEC : G_MAXINT;
}

static void
request_free (Request *request)
{
  kr_timer_clear (&request->timer);
  g_free (request->path);
  json_decref (request->body);
  g_clear_object (&request->cancel);
  g_free (request);
}

static void
request_done (guint status, json_t *body, gpointer data)
{
  Request *request = data;
  if (status && status != 503)
    request->state->answered_at = kr_now ();
  else if (!request->cancel || !g_cancellable_is_cancelled (request->cancel))
    request->state->failed_at = kr_now ();
  request->callback (status, body, request->data);
  request_free (request);
}

static void
request_refuse (Request *request)
{
  request->callback (429, NULL, request->data);
  request_free (request);
}

/* Refuses a request that has waited too long. Without this, a request would wait for as long as
 * requests ahead of it use up the rate limit. */
static gboolean
request_expired (gpointer data)
{
  Request *request = data;
  request->timer = 0;
  kr_rate_limiter_cancel (request->limiter, request);
  request_refuse (request);
  return G_SOURCE_REMOVE;
}

static void
request_send (gboolean granted, gpointer data)
{
  Request *request = data;
  if (!granted) {
    request_refuse (request);
    return;
  }
  kr_timer_clear (&request->timer);
  kr_http_client_call (request->state->client, request->method, request->state->host, request->path,
                       g_steal_pointer (&request->body), request->timeout_ms, request->cancel,
                       request_done, request);
}

/* The rate limiter for writes has granted the request. The rate limiter for requests comes next. */
static void
request_acquire (gboolean granted, gpointer data)
{
  Request *request = data;
  request->limiter = request->state->request_limiter;
  if (granted)
    kr_rate_limiter_acquire (request->limiter, 1, request->queue_class, request_send, request);
  else
    request_refuse (request);
}

static void
request_start (KrStateClient *state, const char *method, char *path, json_t *body,
               double write_count, KrQueueClass queue_class, guint timeout_ms, GCancellable *cancel,
               KrHttpResponseFunc callback, gpointer data)
{
  Request *request = g_new0 (Request, 1);
  *request = (Request){ .state = state,
                        .method = method,
                        .path = path,
                        .body = body,
                        .queue_class = queue_class,
                        .timeout_ms = timeout_ms,
                        .cancel = cancel ? g_object_ref (cancel) : NULL,
                        .callback = callback,
                        .data = data,
                        .limiter = state->write_limiter };
  request->timer = kr_timer_add (queue_class == KR_QUEUE_LOW ? timeout_ms : KR_LIMITER_WAIT_MAX_MS,
                                 request_expired, request);
  if (write_count > 0)
    kr_rate_limiter_acquire (request->limiter, write_count, queue_class, request_acquire, request);
  else
    request_acquire (TRUE, request);
}

void
kr_state_get (KrStateClient *state, const char *key, KrQueueClass queue_class, guint timeout_ms,
              GCancellable *cancel, KrHttpResponseFunc callback, gpointer data)
{
  request_start (state, "GET", kr_wire_key_path (key), NULL, 0, queue_class, timeout_ms, cancel,
                 callback, data);
}

void
kr_state_changes (KrStateClient *state, const char *prefix, guint64 after, guint timeout_ms,
                  GCancellable *cancel, KrHttpResponseFunc callback, gpointer data)
{
  request_start (state, "GET", kr_wire_watch_path (prefix, after, 0), NULL, 0, KR_QUEUE_NORMAL,
                 timeout_ms, cancel, callback, data);
}

void
kr_state_commit (KrStateClient *state, KrTxn *txn, KrQueueClass queue_class, guint timeout_ms,
                 GCancellable *cancel, KrHttpResponseFunc callback, gpointer data)
{
  request_start (state, "POST", g_strdup (KR_PATH_COMMIT), kr_txn_to_json (txn),
                 kr_txn_write_count (txn), queue_class, timeout_ms, cancel, callback, data);
  kr_txn_free (txn);
}

void
kr_state_grant_or_renew_lease (KrStateClient *state, guint64 lease, guint ttl_ms,
                               GCancellable *cancel, KrHttpResponseFunc callback, gpointer data)
{
  request_start (state, "POST",
                 lease ? kr_wire_lease_extend_path (lease) : g_strdup (KR_PATH_LEASES),
                 kr_wire_lease_request (ttl_ms), 0, KR_QUEUE_HIGH, KR_STATE_TIMEOUT_MS, cancel,
                 callback, data);
}

void
kr_state_revoke_lease (KrStateClient *state, guint64 lease, GCancellable *cancel,
                       KrHttpResponseFunc callback, gpointer data)
{
  request_start (state, "DELETE", kr_wire_lease_path (lease), NULL, 0, KR_QUEUE_HIGH,
                 KR_STATE_TIMEOUT_MS, cancel, callback, data);
}

/* --- watch --------------------------------------------------------------------------- */
struct KrWatch {
  KrStateClient *state;
  char *prefix;
  GCancellable *parent, *cancel; /* cancel: of the call in flight */
  KrWatchListFunc on_list;
  KrWatchEventFunc on_event;
  gpointer data;
  guint64 revision;   /* the changes up to this revision are known; valid once listed */
  gboolean listed;    /* the list is complete; its changes are being followed */
  guint64 pages_read; /* of all lists */
  json_t *items;      /* the pages of the list read so far */
  /* Revision of the first page. The watch starts there: the pages may lack later changes. */
  guint64 list_revision;
  guint timer; /* until the next call; while a call is in flight: until it counts as lost */
};

/* A call in flight. It may end after the watch has abandoned it. */
typedef struct {
  KrWatch *watch;
  GCancellable *cancel;
} WatchCall;

static void send_next_call (KrWatch *watch);

static gboolean
next_call_due (gpointer data)
{
  KrWatch *watch = data;
  watch->timer = 0;
  send_next_call (watch);
  return G_SOURCE_REMOVE;
}

static void
schedule_next_call (KrWatch *watch, guint ms)
{
  kr_timer_clear (&watch->timer);
  watch->timer = kr_timer_add (ms, next_call_due, watch);
}

/* Cancels the call in flight; its response will be ignored. */
static void
abandon_call (KrWatch *watch)
{
  GCancellable *cancel = g_steal_pointer (&watch->cancel);
  if (!cancel)
    return;
  g_cancellable_cancel (cancel);
  g_object_unref (cancel);
}

/* Guards against a call whose end is never reported. Each call is scheduled when the previous one
 * ends, so the prefix would never be read again. */
static gboolean
call_lost (gpointer data)
{
  KrWatch *watch = data;
  watch->timer = 0;
  kr_info ("state: the end of a read of %s was never reported, reading again", watch->prefix);
  abandon_call (watch);
  schedule_next_call (watch, KR_STATE_RETRY_MS);
  return G_SOURCE_REMOVE;
}

static void
handle_list_page (KrWatch *watch, json_t *body)
{
  gboolean more;
  json_t *items = kr_wire_store_list_items (body, &more);
  KrKeyValue last;

  if (!json_is_array (items)) {
    schedule_next_call (watch, KR_STATE_RETRY_MS);
    return;
  }
  if (!watch->items) {
    watch->items = json_array ();
    watch->list_revision = kr_wire_revision (body);
  }
  watch->pages_read++;
  json_array_extend (watch->items, items);
  if (more && json_array_size (items) > 0 &&
      kr_wire_key_value_parse (json_array_get (items, json_array_size (items) - 1), &last)) {
    send_next_call (watch);
    return;
  }
  json_t *all = g_steal_pointer (&watch->items);
  watch->listed = TRUE;
  watch->revision = watch->list_revision;
  watch->on_list (all, watch->revision, watch->data);
  json_decref (all);
  if (watch->listed && !watch->cancel)
    schedule_next_call (watch, KR_WATCH_INTERVAL_MS);
}

static void
handle_watch_events (KrWatch *watch, json_t *body)
{
  json_t *events = kr_wire_watch_events (body), *event;
  size_t i;
  guint64 revision = kr_wire_revision (body);

  if (revision > watch->revision)
    watch->revision = revision;
  json_array_foreach (events, i, event)
  {
    KrKeyValue item;
    if (kr_wire_watch_event_parse (event, &item))
      watch->on_event (&item, watch->data);
    if (!watch->listed) /* the callback has called kr_watch_relist() or kr_watch_stop() */
      return;
  }
  schedule_next_call (watch, KR_WATCH_INTERVAL_MS);
}

static void
call_done (guint status, json_t *body, gpointer data)
{
  WatchCall *call = data;
  KrWatch *watch = call->watch;
  gboolean current = watch->cancel == call->cancel;

  g_object_unref (call->cancel);
  g_free (call);
  if (!current || g_cancellable_is_cancelled (watch->parent))
    return;
  g_clear_object (&watch->cancel);
  kr_timer_clear (&watch->timer);
  if (status == 410) {
    kr_info ("state: the watch of %s is too far behind, listing it again", watch->prefix);
    kr_watch_relist (watch);
  } else if (status != 200)
    schedule_next_call (watch, KR_STATE_RETRY_MS);
  else if (watch->listed)
    handle_watch_events (watch, body);
  else
    handle_list_page (watch, body);
}

static void
send_next_call (KrWatch *watch)
{
  WatchCall *call = g_new (WatchCall, 1);
  char *path;
  guint timeout = KR_STATE_TIMEOUT_MS;

  if (watch->listed) {
    path = kr_wire_watch_path (watch->prefix, watch->revision, KR_WATCH_HOLD_MS);
    timeout = KR_WATCH_HOLD_MS + KR_WATCH_TIMEOUT_SLACK_MS;
  } else {
    KrKeyValue last = { 0 };
    size_t n = json_array_size (watch->items);
    if (n)
      kr_wire_key_value_parse (json_array_get (watch->items, n - 1), &last);
    path = kr_wire_store_list_path (watch->prefix, last.key, KR_STORE_LIST_PAGE_KEYS);
  }
  watch->cancel = kr_cancellable_new_child (watch->parent);
  *call = (WatchCall){ watch, g_object_ref (watch->cancel) };
  kr_timer_clear (&watch->timer);
  watch->timer = kr_timer_add (timeout + KR_WATCH_LOST_MS, call_lost, watch);
  request_start (watch->state, "GET", path, NULL, 0, KR_QUEUE_HIGH, timeout, watch->cancel,
                 call_done, call);
}

KrWatch *
kr_watch_new (KrStateClient *state, const char *prefix, GCancellable *cancel,
              KrWatchListFunc on_list, KrWatchEventFunc on_event, gpointer data)
{
  KrWatch *watch = g_new0 (KrWatch, 1);
  watch->state = state;
  watch->prefix = g_strdup (prefix);
  watch->parent = kr_cancellable_new_child (cancel);
  watch->on_list = on_list;
  watch->on_event = on_event;
  watch->data = data;
  return watch;
}

void
kr_watch_stop (KrWatch *watch)
{
  kr_timer_clear (&watch->timer);
  g_clear_pointer (&watch->items, json_decref);
  watch->listed = FALSE;
  abandon_call (watch);
}

void
kr_watch_relist (KrWatch *watch)
{
  kr_watch_stop (watch);
  send_next_call (watch);
}

guint64
kr_watch_revision (const KrWatch *watch)
{
  return watch->listed ? watch->revision : 0;
}

guint64
kr_watch_pages_read (const KrWatch *watch)
{
  return watch->pages_read;
}
