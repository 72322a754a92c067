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
kr_state_list_page (KrStateClient *state, const char *prefix, const char *after_key,
                    GCancellable *cancel, KrHttpResponseFunc callback, gpointer data)
{
  request_start (state, "GET", kr_wire_store_list_path (prefix, after_key, KR_STORE_LIST_PAGE_KEYS),
                 NULL, 0, KR_QUEUE_HIGH, KR_STATE_TIMEOUT_MS, cancel, callback, data);
}

void
kr_state_follow (KrStateClient *state, const char *prefix, guint64 after, GCancellable *cancel,
                 KrHttpResponseFunc callback, gpointer data)
{
  request_start (state, "GET", kr_wire_watch_path (prefix, after, KR_WATCH_HOLD_MS), NULL, 0,
                 KR_QUEUE_HIGH, KR_WATCH_HOLD_MS + KR_WATCH_TIMEOUT_SLACK_MS, cancel, callback,
                 data);
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
