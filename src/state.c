#include "state.h"
#include "clock.h"
#include "constants.h"
#include "log.h"

struct KrState {
  KrClient *client;
  char *host;
  KrBucket *requests, *writes;
  gint64 heard, failed; /* monotonic us; 0: not yet */
};

typedef struct {
  KrState *state;
  const char *method;
  char *path;
  json_t *body;
  KrTurn turn;
  guint timeout_ms;
  GCancellable *cancel;
  KrReply reply;
  gpointer data;
  KrBucket *limit; /* in which it waits */
  guint timer;     /* until it has waited long enough */
} Op;

KrState *
kr_state_new (const KrSettings *settings)
{
  KrState *state = g_new0 (KrState, 1);
  state->client =
      kr_client_new (KR_STATE_CONNS, KR_STATE_CONNS, 0 /* its watches are always under way */);
  state->host = g_strdup (settings->state);
  state->requests = kr_bucket_new (settings->state_rps / settings->size, 1);
  state->writes = kr_bucket_new (settings->state_write_rps / settings->size, 1);
  return state;
}

void
kr_state_free (KrState *state)
{
  kr_client_free (state->client);
  kr_bucket_free (state->requests);
  kr_bucket_free (state->writes);
  g_free (state->host);
  g_free (state);
}

double
kr_state_write_wait (KrState *state)
{
  return kr_bucket_wait_s (state->writes);
}

double
kr_state_request_rate (KrState *state)
{
  return kr_bucket_rate (state->requests);
}

guint
kr_state_burst_writes (KrState *state)
{
  return (guint) kr_bucket_burst (state->writes);
}

guint
kr_state_spare_writes (KrState *state)
{
  return (guint) kr_bucket_spare (state->writes);
}

double
kr_state_waiting_writes (KrState *state)
{
  return kr_bucket_waiting (state->writes);
}

void
kr_state_set_rates (KrState *state, double requests, double writes)
{
  kr_bucket_set_rate (state->requests, requests);
  kr_bucket_set_rate (state->writes, writes);
}

double
kr_state_silence (KrState *state)
{
  return state->heard ? (double) (kr_now () - state->heard) / G_USEC_PER_SEC : G_MAXINT;
}

double
kr_state_trouble (KrState *state)
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
  kr_bucket_leave (op->limit, op);
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
  kr_client_call (op->state->client, op->method, op->state->host, op->path,
                  g_steal_pointer (&op->body), op->timeout_ms, op->cancel, op_done, op);
}

static void
op_request (gboolean granted, gpointer data)
{
  Op *op = data;
  op->limit = op->state->requests;
  if (granted)
    kr_bucket_take (op->limit, 1, op->turn, op_send, op);
  else
    op_refuse (op);
}

static void
start (KrState *state, const char *method, char *path, json_t *body, double puts, KrTurn turn,
       guint timeout_ms, GCancellable *cancel, KrReply reply, gpointer data)
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
  op->timer = kr_timer_add (turn == KR_LAST ? timeout_ms : KR_LIMIT_WAIT_MS, op_late, op);
  if (puts > 0)
    kr_bucket_take (op->limit, puts, turn, op_request, op);
  else
    op_request (TRUE, op);
}

void
kr_state_get (KrState *state, const char *key, KrTurn turn, guint timeout_ms, GCancellable *cancel,
              KrReply reply, gpointer data)
{
  start (state, "GET", kr_wire_key_path (key), NULL, 0, turn, timeout_ms, cancel, reply, data);
}

void
kr_state_changes (KrState *state, const char *prefix, guint64 after, guint timeout_ms,
                  GCancellable *cancel, KrReply reply, gpointer data)
{
  start (state, "GET", kr_wire_follow_path (prefix, after, 0), NULL, 0, KR_NORMAL, timeout_ms,
         cancel, reply, data);
}

void
kr_state_commit (KrState *state, KrTxn *txn, KrTurn turn, guint timeout_ms, GCancellable *cancel,
                 KrReply reply, gpointer data)
{
  start (state, "POST", g_strdup (KR_PATH_COMMIT), kr_txn_body (txn), kr_txn_ops (txn), turn,
         timeout_ms, cancel, reply, data);
  kr_txn_free (txn);
}

void
kr_state_lease (KrState *state, guint64 lease, guint life_ms, GCancellable *cancel, KrReply reply,
                gpointer data)
{
  start (state, "POST", lease ? kr_wire_lease_extend_path (lease) : g_strdup (KR_PATH_LEASES),
         kr_wire_lease_body (life_ms), 0, KR_FIRST, KR_STATE_TIMEOUT_MS, cancel, reply, data);
}

void
kr_state_end_lease (KrState *state, guint64 lease, GCancellable *cancel, KrReply reply,
                    gpointer data)
{
  start (state, "DELETE", kr_wire_lease_path (lease), NULL, 0, KR_FIRST, KR_STATE_TIMEOUT_MS,
         cancel, reply, data);
}

/* --- follower ------------------------------------------------------------------------ */
struct KrFollow {
  KrState *state;
  char *prefix;
  GCancellable *parent, *cancel; /* cancel: of the call under way */
  KrFollowScan on_scan;
  KrFollowEvent on_event;
  gpointer data;
  guint64 from;
  gboolean scanned;
  json_t *items; /* pages so far */
  guint64 first_revision;
  guint timer; /* until the next call; while one is under way: until it counts as lost */
};

/* A call under way; it may outlive the follower's interest in it. */
typedef struct {
  KrFollow *follow;
  GCancellable *cancel;
} Turn;

static void step (KrFollow *follow);

static gboolean
step_again (gpointer data)
{
  KrFollow *follow = data;
  follow->timer = 0;
  step (follow);
  return G_SOURCE_REMOVE;
}

static void
step_later (KrFollow *follow, guint ms)
{
  kr_timer_clear (&follow->timer);
  follow->timer = kr_timer_add (ms, step_again, follow);
}

/* Drops the interest in the call under way. */
static void
leave_call (KrFollow *follow)
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
  KrFollow *follow = data;
  follow->timer = 0;
  kr_info ("state: a read of %s had no end, reading on", follow->prefix);
  leave_call (follow);
  step_later (follow, KR_RETRY_MS);
  return G_SOURCE_REMOVE;
}

static void
scan_page (KrFollow *follow, json_t *body)
{
  gboolean more;
  json_t *items = kr_wire_items (body, &more);
  KrItem last;

  if (!json_is_array (items)) {
    step_later (follow, KR_RETRY_MS);
    return;
  }
  if (!follow->items) {
    follow->items = json_array ();
    follow->first_revision = kr_wire_revision (body);
  }
  json_array_extend (follow->items, items);
  if (more && json_array_size (items) > 0 &&
      kr_wire_item_parse (json_array_get (items, json_array_size (items) - 1), &last)) {
    step (follow);
    return;
  }
  json_t *all = g_steal_pointer (&follow->items);
  follow->scanned = TRUE;
  follow->from = follow->first_revision;
  follow->on_scan (all, follow->from, follow->data);
  json_decref (all);
  if (follow->scanned && !follow->cancel)
    step_later (follow, KR_FOLLOW_PAUSE_MS);
}

static void
events (KrFollow *follow, json_t *body)
{
  json_t *a = kr_wire_events (body), *o;
  size_t i;
  guint64 revision = kr_wire_revision (body);

  if (revision > follow->from)
    follow->from = revision;
  json_array_foreach (a, i, o)
  {
    KrItem item;
    if (kr_wire_event_parse (o, &item))
      follow->on_event (&item, follow->data);
    if (!follow->scanned) /* an event made somebody ask for a rescan */
      return;
  }
  step_later (follow, KR_FOLLOW_PAUSE_MS);
}

static void
step_done (guint status, json_t *body, gpointer data)
{
  Turn *turn = data;
  KrFollow *follow = turn->follow;
  gboolean current = follow->cancel == turn->cancel;

  g_object_unref (turn->cancel);
  g_free (turn);
  if (!current || g_cancellable_is_cancelled (follow->parent))
    return;
  g_clear_object (&follow->cancel);
  kr_timer_clear (&follow->timer);
  if (status == 410) {
    kr_info ("state: watch of %s is too old, reading it anew", follow->prefix);
    kr_follow_rescan (follow);
  } else if (status != 200)
    step_later (follow, KR_RETRY_MS);
  else if (follow->scanned)
    events (follow, body);
  else
    scan_page (follow, body);
}

static void
step (KrFollow *follow)
{
  Turn *turn = g_new (Turn, 1);
  char *path;
  guint timeout = KR_STATE_TIMEOUT_MS;

  if (follow->scanned) {
    path = kr_wire_follow_path (follow->prefix, follow->from, KR_FOLLOW_HOLD_MS);
    timeout = KR_FOLLOW_HOLD_MS + KR_FOLLOW_SLACK_MS;
  } else {
    KrItem last = { 0 };
    size_t n = json_array_size (follow->items);
    if (n)
      kr_wire_item_parse (json_array_get (follow->items, n - 1), &last);
    path = kr_wire_scan_path (follow->prefix, last.key, KR_SCAN_PAGE);
  }
  follow->cancel = kr_cancellable_child (follow->parent);
  *turn = (Turn){ follow, g_object_ref (follow->cancel) };
  kr_timer_clear (&follow->timer);
  follow->timer = kr_timer_add (timeout + KR_FOLLOW_LOST_MS, call_lost, follow);
  start (follow->state, "GET", path, NULL, 0, KR_FIRST, timeout, follow->cancel, step_done, turn);
}

KrFollow *
kr_follow_new (KrState *state, const char *prefix, GCancellable *cancel, KrFollowScan on_scan,
               KrFollowEvent on_event, gpointer data)
{
  KrFollow *follow = g_new0 (KrFollow, 1);
  follow->state = state;
  follow->prefix = g_strdup (prefix);
  follow->parent = kr_cancellable_child (cancel);
  follow->on_scan = on_scan;
  follow->on_event = on_event;
  follow->data = data;
  return follow;
}

void
kr_follow_stop (KrFollow *follow)
{
  kr_timer_clear (&follow->timer);
  g_clear_pointer (&follow->items, json_decref);
  follow->scanned = FALSE;
  leave_call (follow);
}

void
kr_follow_rescan (KrFollow *follow)
{
  kr_follow_stop (follow);
  step (follow);
}

guint64
kr_follow_revision (const KrFollow *follow)
{
  return follow->scanned ? follow->from : 0;
}
