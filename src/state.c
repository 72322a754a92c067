#include "state.h"
#include "clock.h"
#include "constants.h"
#include "log.h"

struct KrState {
  KrClient *client;
  char *host;
  KrBucket *requests, *writes;
  gint64 heard;
};

typedef struct {
  KrState *state;
  const char *method;
  char *path;
  json_t *body;
  double puts;
  KrTurn turn;
  guint timeout_ms;
  GCancellable *cancel;
  KrReply reply;
  gpointer data;
} Op;

KrState *
kr_state_new (const KrSettings *s)
{
  KrState *st = g_new0 (KrState, 1);
  st->client = kr_client_new (KR_STATE_CONNS, KR_STATE_CONNS, KR_CLIENT_IDLE_S);
  st->host = g_strdup (s->state);
  st->requests = kr_bucket_new (s->state_rps / s->size, 1);
  st->writes = kr_bucket_new (s->state_write_rps / s->size, 1);
  return st;
}

void
kr_state_free (KrState *st)
{
  kr_client_free (st->client);
  kr_bucket_free (st->requests);
  kr_bucket_free (st->writes);
  g_free (st->host);
  g_free (st);
}

double
kr_state_write_wait (KrState *st)
{
  return kr_bucket_wait_s (st->writes);
}

double
kr_state_request_rate (KrState *st)
{
  return kr_bucket_rate (st->requests);
}

guint
kr_state_burst_writes (KrState *st)
{
  return (guint) kr_bucket_burst (st->writes);
}

guint
kr_state_spare_writes (KrState *st)
{
  return (guint) kr_bucket_spare (st->writes);
}

double
kr_state_waiting_writes (KrState *st)
{
  return kr_bucket_waiting (st->writes);
}

void
kr_state_set_rates (KrState *st, double requests, double writes)
{
  kr_bucket_set_rate (st->requests, requests);
  kr_bucket_set_rate (st->writes, writes);
}

double
kr_state_silence (KrState *st)
{
  return st->heard ? (double) (kr_now () - st->heard) / G_USEC_PER_SEC : G_MAXINT;
}

static void
op_free (Op *op)
{
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
  op->reply (status, body, op->data);
  op_free (op);
}

static void
op_send (gboolean granted, gpointer data)
{
  Op *op = data;
  if (!granted) {
    op->reply (429, NULL, op->data);
    op_free (op);
    return;
  }
  kr_client_call (op->state->client, op->method, op->state->host, op->path,
                  g_steal_pointer (&op->body), op->timeout_ms, op->cancel, op_done, op);
}

static void
op_request (gboolean granted, gpointer data)
{
  Op *op = data;
  if (granted)
    kr_bucket_take (op->state->requests, 1, op->turn, op_send, op);
  else
    op_send (FALSE, op);
}

static void
start (KrState *st, const char *method, char *path, json_t *body, double puts, KrTurn turn,
       guint timeout_ms, GCancellable *cancel, KrReply reply, gpointer data)
{
  Op *op = g_new (Op, 1);
  *op = (Op){ st,    method, path,       body,
              puts,  turn,   timeout_ms, cancel ? g_object_ref (cancel) : NULL,
              reply, data };
  if (puts > 0)
    kr_bucket_take (st->writes, puts, turn, op_request, op);
  else
    op_request (TRUE, op);
}

void
kr_state_get (KrState *st, const char *key, KrTurn turn, guint timeout_ms, GCancellable *cancel,
              KrReply reply, gpointer data)
{
  start (st, "GET", kr_wire_key_path (key), NULL, 0, turn, timeout_ms, cancel, reply, data);
}

void
kr_state_changes (KrState *st, const char *prefix, guint64 after, guint timeout_ms,
                  GCancellable *cancel, KrReply reply, gpointer data)
{
  start (st, "GET", kr_wire_follow_path (prefix, after, 0), NULL, 0, KR_NORMAL, timeout_ms, cancel,
         reply, data);
}

void
kr_state_commit (KrState *st, KrTxn *txn, KrTurn turn, guint timeout_ms, GCancellable *cancel,
                 KrReply reply, gpointer data)
{
  start (st, "POST", g_strdup (KR_PATH_COMMIT), kr_txn_body (txn), kr_txn_ops (txn), turn,
         timeout_ms, cancel, reply, data);
  kr_txn_free (txn);
}

void
kr_state_lease (KrState *st, guint64 lease, guint life_ms, GCancellable *cancel, KrReply reply,
                gpointer data)
{
  start (st, "POST", lease ? kr_wire_lease_extend_path (lease) : g_strdup (KR_PATH_LEASES),
         kr_wire_lease_body (life_ms), 0, KR_FIRST, KR_STATE_TIMEOUT_MS, cancel, reply, data);
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
  guint timer;
};

/* A call under way; it may outlive the follower's interest in it. */
typedef struct {
  KrFollow *follow;
  GCancellable *cancel;
} Turn;

static void step (KrFollow *f);

static gboolean
step_again (gpointer data)
{
  KrFollow *f = data;
  f->timer = 0;
  step (f);
  return G_SOURCE_REMOVE;
}

static void
step_later (KrFollow *f, guint ms)
{
  kr_timer_clear (&f->timer);
  f->timer = kr_timer_add (ms, step_again, f);
}

static void
scan_page (KrFollow *f, json_t *body)
{
  gboolean more;
  json_t *items = kr_wire_items (body, &more);
  KrItem last;

  if (!json_is_array (items)) {
    step_later (f, KR_RETRY_MS);
    return;
  }
  if (!f->items) {
    f->items = json_array ();
    f->first_revision = kr_wire_revision (body);
  }
  json_array_extend (f->items, items);
  if (more && json_array_size (items) > 0 &&
      kr_wire_item_parse (json_array_get (items, json_array_size (items) - 1), &last)) {
    step (f);
    return;
  }
  json_t *all = g_steal_pointer (&f->items);
  f->scanned = TRUE;
  f->from = f->first_revision;
  f->on_scan (all, f->from, f->data);
  json_decref (all);
  if (f->scanned && !f->cancel)
    step_later (f, KR_FOLLOW_PAUSE_MS);
}

static void
events (KrFollow *f, json_t *body)
{
  json_t *a = kr_wire_events (body), *o;
  size_t i;
  guint64 revision = kr_wire_revision (body);

  if (revision > f->from)
    f->from = revision;
  json_array_foreach (a, i, o)
  {
    KrItem item;
    if (kr_wire_event_parse (o, &item))
      f->on_event (&item, f->data);
    if (!f->scanned) /* an event made somebody ask for a rescan */
      return;
  }
  step_later (f, KR_FOLLOW_PAUSE_MS);
}

static void
step_done (guint status, json_t *body, gpointer data)
{
  Turn *turn = data;
  KrFollow *f = turn->follow;
  gboolean current = f->cancel == turn->cancel;

  g_object_unref (turn->cancel);
  g_free (turn);
  if (!current || g_cancellable_is_cancelled (f->parent))
    return;
  g_clear_object (&f->cancel);
  if (status == 410) {
    kr_info ("state: watch of %s is too old, reading it anew", f->prefix);
    kr_follow_rescan (f);
  } else if (status != 200)
    step_later (f, KR_RETRY_MS);
  else if (f->scanned)
    events (f, body);
  else
    scan_page (f, body);
}

static void
step (KrFollow *f)
{
  Turn *turn = g_new (Turn, 1);
  char *path;
  guint timeout = KR_STATE_TIMEOUT_MS;

  if (f->scanned) {
    path = kr_wire_follow_path (f->prefix, f->from, KR_FOLLOW_HOLD_MS);
    timeout = KR_FOLLOW_HOLD_MS + KR_FOLLOW_SLACK_MS;
  } else {
    KrItem last = { 0 };
    size_t n = json_array_size (f->items);
    if (n)
      kr_wire_item_parse (json_array_get (f->items, n - 1), &last);
    path = kr_wire_scan_path (f->prefix, last.key, KR_SCAN_PAGE);
  }
  f->cancel = kr_cancellable_child (f->parent);
  *turn = (Turn){ f, g_object_ref (f->cancel) };
  start (f->state, "GET", path, NULL, 0, KR_FIRST, timeout, f->cancel, step_done, turn);
}

KrFollow *
kr_follow_new (KrState *state, const char *prefix, GCancellable *cancel, KrFollowScan on_scan,
               KrFollowEvent on_event, gpointer data)
{
  KrFollow *f = g_new0 (KrFollow, 1);
  f->state = state;
  f->prefix = g_strdup (prefix);
  f->parent = kr_cancellable_child (cancel);
  f->on_scan = on_scan;
  f->on_event = on_event;
  f->data = data;
  return f;
}

void
kr_follow_stop (KrFollow *f)
{
  GCancellable *c = g_steal_pointer (&f->cancel);
  kr_timer_clear (&f->timer);
  g_clear_pointer (&f->items, json_decref);
  f->scanned = FALSE;
  if (c) {
    g_cancellable_cancel (c);
    g_object_unref (c);
  }
}

void
kr_follow_rescan (KrFollow *f)
{
  kr_follow_stop (f);
  step (f);
}
