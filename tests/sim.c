/* Backend in simulated time: a queue of events drives the nodes, the fakes (fakes.c) and the
 * messages between them, one event at a time. */
#include "fakes.h"
#include "clock.h"
#include "constants.h"
#include "http-client.h"
#include "http-server.h"
#include "shard.h"
#include "wire.h"
#include <math.h>
#include <string.h>

#define TXN_MAX_BYTES 65536 /* the protocol's limit for a transaction */

#define STATE_ADDRESS "10.2.0.1:2379"
#define CLOUD_ADDRESS "10.2.0.2:8443"

/* --- events ---------------------------------------------------------------------------- */
typedef struct {
  gint64 at;
  guint64 sequence;
  guint id;          /* of a node's timer; 0: the event is not a timer */
  gint node;         /* the node that handles the event; -1: a fake does */
  guint incarnation; /* of that node: the event is void in a later one */
  GSourceFunc func;
  gpointer data;
  guint interval_ms; /* of a timer that repeats while `func` returns TRUE; 0: once */
} Event;

typedef struct {
  KrNode *node;
  KrSettings *settings;
  gboolean alive, paused;
  gint64 paused_at;
  guint incarnation;
  /* as set by kr_stall_detector_add() */
  gint64 stall_limit_us;
  GSourceFunc stall_func;
  gpointer stall_data;
} Node;

static struct {
  GSequence *queue;
  GHashTable *timers; /* id -> GSequenceIter of its event */
  guint64 sequence;
  guint next_id;
  gint current_node; /* the node whose code runs now; -1: none */
  Node nodes[SIM_MAX_NODES];
  GHashTable *servers;            /* address -> KrHttpServer */
  guint reports;                  /* worker reports handled */
  guint64 report_steps;           /* machines visited for them, see walk_steps() */
  GHashTable *commands_in_flight; /* address -> number of POST /commands requests */
  guint max_commands;             /* the highest number in flight to one address */
  guint drop_range_reads[SIM_MAX_NODES];
  gboolean drop_peer_requests[SIM_MAX_NODES];
  json_t *replaced_summaries[SIM_MAX_NODES]; /* of sim_replace_summaries(); NULL: none */
} sim;

static int
compare_events (gconstpointer a, gconstpointer b, gpointer data)
{
  const Event *x = a, *y = b;
  if (x->at != y->at)
    return x->at < y->at ? -1 : 1;
  return x->sequence < y->sequence ? -1 : x->sequence > y->sequence;
}

static GSequenceIter *
add_event (gint64 at, gint node, GSourceFunc func, gpointer data)
{
  Event *e = g_new0 (Event, 1);
  e->at = at;
  e->sequence = ++sim.sequence;
  e->node = node;
  e->incarnation = node >= 0 ? sim.nodes[node].incarnation : 0;
  e->func = func;
  e->data = data;
  return g_sequence_insert_sorted (sim.queue, e, compare_events, NULL);
}

void
schedule_after (double s, GSourceFunc func, gpointer data)
{
  add_event (fakes.now + (gint64) (s * 1e6), -1, func, data);
}

gint64
kr_now (void)
{
  return (gint64) ((double) fakes.now * (1 + fakes.options.clock_drift)) + 1000000;
}

double
kr_wall_clock_s (void)
{
  return 1790000000.0 + fakes.now / 1e6;
}

guint
kr_timer_add (guint ms, GSourceFunc func, gpointer data)
{
  GSequenceIter *i = add_event (fakes.now + (gint64) ms * 1000, sim.current_node, func, data);
  Event *e = g_sequence_get (i);
  e->id = ++sim.next_id;
  e->interval_ms = MAX (1, ms);
  g_hash_table_insert (sim.timers, GUINT_TO_POINTER (e->id), i);
  return e->id;
}

void
kr_timer_remove (guint id)
{
  GSequenceIter *i = g_hash_table_lookup (sim.timers, GUINT_TO_POINTER (id));
  if (!i)
    return;
  g_hash_table_remove (sim.timers, GUINT_TO_POINTER (id));
  g_sequence_remove (i);
}

void
kr_timer_clear (guint *id)
{
  if (*id)
    kr_timer_remove (*id);
  *id = 0;
}

void
kr_stall_detector_add (guint ms, GSourceFunc func, gpointer data)
{
  Node *n = &sim.nodes[sim.current_node];
  n->stall_limit_us = (gint64) ms * 1000;
  n->stall_func = func;
  n->stall_data = data;
}

guint
kr_longest_iteration_ms (void)
{
  return 0; /* no simulated time passes in an iteration */
}

static gboolean
is_alive (gint node, guint incarnation)
{
  return node < 0 || (sim.nodes[node].alive && sim.nodes[node].incarnation == incarnation);
}

/* Interval at which events of a paused node are tried again. */
#define PAUSED_POLL_US 20000

static gboolean
is_paused (gint node)
{
  return node >= 0 && sim.nodes[node].paused;
}

void
sim_run (double seconds)
{
  gint64 end = fakes.now + (gint64) (seconds * 1e6);
  for (;;) {
    GSequenceIter *i = g_sequence_get_begin_iter (sim.queue);
    Event *e = g_sequence_iter_is_end (i) ? NULL : g_sequence_get (i);
    if (!e || e->at > end)
      break;
    /* Requeued or removed before the call, so that `func` may remove its own timer. */
    Event copy = *e;
    fakes.now = MAX (fakes.now, e->at);
    e->at = e->at + MAX (1, (gint64) copy.interval_ms * 1000);
    if (!copy.interval_ms)
      g_sequence_remove (i);
    else
      g_sequence_sort_changed (i, compare_events, NULL);
    if (!is_alive (copy.node, copy.incarnation)) {
      if (copy.interval_ms)
        kr_timer_remove (copy.id);
      continue;
    }
    if (is_paused (copy.node)) { /* the timer fires when the node continues */
      e->at = fakes.now + PAUSED_POLL_US;
      g_sequence_sort_changed (i, compare_events, NULL);
      continue;
    }
    sim.current_node = copy.node;
    gboolean again = copy.func (copy.data);
    sim.current_node = -1;
    if (copy.interval_ms && !again)
      kr_timer_remove (copy.id);
  }
  fakes.now = end;
}

double
sim_now (void)
{
  return fakes.now / 1e6;
}

/* --- HTTP ----------------------------------------------------------------------------------- */
struct KrHttpClient {
  gint node;
};

struct KrHttpServer {
  KrHttpHandler handler;
  gpointer data;
  gint node;
  guint incarnation;
};

struct KrRequest {
  Call *call;
  gint node;
  guint incarnation;
};

static gboolean response_arrives (gpointer data);

/* Counts a POST /commands request from a node that starts (+1) or ends (-1). */
static void
count_command_change (const Call *c, gint change)
{
  if (c->sender_node < 0 || !g_str_equal (c->path, "/commands"))
    return;
  guint now =
      GPOINTER_TO_UINT (g_hash_table_lookup (sim.commands_in_flight, c->host)) + (guint) change;
  g_hash_table_insert (sim.commands_in_flight, g_strdup (c->host), GUINT_TO_POINTER (now));
  sim.max_commands = MAX (sim.max_commands, now);
}

void
sim_node_drop_peer_requests (guint i, gboolean on)
{
  sim.drop_peer_requests[i] = on;
}

void
sim_replace_summaries (guint node, const char *body)
{
  json_decref (sim.replaced_summaries[node]);
  sim.replaced_summaries[node] = body ? kr_json_decode (body, strlen (body), NULL) : NULL;
}

void
sim_drop_range_reads (guint node, guint n)
{
  sim.drop_range_reads[node] = n;
}

guint
sim_max_concurrent_commands (void)
{
  return sim.max_commands;
}

static void
complete_call (Call *c, guint status, json_t *body)
{
  if (c->completed)
    return;
  gboolean caller_alive = is_alive (c->sender_node, c->incarnation);
  if (caller_alive && is_paused (c->sender_node)) {
    c->status = status;
    c->response = body;
    schedule_after (PAUSED_POLL_US / 1e6, response_arrives, c);
    return;
  }
  c->completed = TRUE;
  count_command_change (c, -1);
  if (!caller_alive)
    return;
  gint before = sim.current_node;
  sim.current_node = c->sender_node;
  c->reply (status, body, c->data);
  sim.current_node = before;
}

static gboolean
call_timed_out (gpointer data)
{
  complete_call (data, 0, NULL);
  return FALSE;
}

static gboolean
response_arrives (gpointer data)
{
  Call *c = data;
  complete_call (c, c->status, c->response);
  return FALSE;
}

void
fakes_respond (Call *c, guint status, json_t *body)
{
  c->status = status;
  c->response = body;
  if (fakes_link_state (c->to, c->from) == SIM_LINK_DROP) {
    json_t *orders = json_object_get (body, "Orders"), *o;
    size_t i;
    json_array_foreach (
        orders, i, o) if (g_strcmp0 (json_string_value (json_object_get (o, "Order")), "run") == 0)
        fakes_count_lost_run (c->from);
  }
  fakes_deliver (c->to, c->from, response_arrives, c);
}

/* Returns the number of machines that a node has visited in walks over all machines of a shard. */
static guint64
walk_steps (gint i)
{
  const Node *n = &sim.nodes[i];
  guint64 sum = 0;
  for (guint p = 0; n->node && p < fakes.options.nodes; p++)
    sum += n->node->shards[p] ? kr_shard_machine_visits (n->node->shards[p]) : 0;
  return sum;
}

guint
sim_reports_handled (guint64 *steps)
{
  *steps = sim.report_steps;
  return sim.reports;
}

static gboolean
is_peer_address (const char *address)
{
  g_autofree char *port = g_strdup_printf (":%u", SIM_PEER_PORT);
  return g_str_has_suffix (address, port);
}

static gboolean
request_arrives (gpointer data)
{
  Call *c = data;
  KrHttpServer *s = g_hash_table_lookup (sim.servers, c->host);
  if (!s) {
    fakes_handle_request (c);
    return FALSE;
  }
  if (!is_alive (s->node, s->incarnation) ||
      (sim.drop_peer_requests[s->node] && is_peer_address (c->host)))
    return FALSE;
  if (is_paused (s->node)) {
    schedule_after (PAUSED_POLL_US / 1e6, request_arrives, c);
    return FALSE;
  }
  KrRequest *r = g_new0 (KrRequest, 1);
  r->call = c;
  r->node = s->node;
  r->incarnation = s->incarnation;
  guint64 before = walk_steps (s->node);
  gboolean is_report = g_str_equal (c->path, "/agent/beat");
  sim.current_node = s->node;
  s->handler (r, s->data);
  sim.current_node = -1;
  if (is_report) {
    sim.reports++;
    sim.report_steps += walk_steps (s->node) - before;
  }
  return FALSE;
}

static char *
host_name (const char *address)
{
  if (g_str_equal (address, STATE_ADDRESS))
    return g_strdup ("state");
  if (g_str_equal (address, CLOUD_ADDRESS))
    return g_strdup ("cloud");
  if (g_str_has_prefix (address, "10.0.0."))
    return g_strdup_printf ("n%d", atoi (address + 7) - 1);
  return g_strdup_printf ("host-%06d", atoi (address + strlen ("10.1.0.")));
}

static void
duplicate_later (const Call *c)
{
  fakes_send_duplicate_later (c->from, c->method, c->host, c->path, c->body);
}

static gboolean
send_request (gpointer data)
{
  Call *c = data;
  fakes_deliver (c->from, c->to, request_arrives, c);
  return FALSE;
}

Call *
fakes_call_delayed (const char *from, const char *method, const char *address, const char *path,
                    json_t *body, double timeout_s, double delay_s, KrHttpResponseFunc reply,
                    gpointer data)
{
  Call *c = g_new0 (Call, 1);
  c->from = g_strdup (from);
  c->to = host_name (address);
  c->host = g_strdup (address);
  c->method = g_strdup (method);
  c->path = g_strdup (path);
  c->body = body;
  c->sender_node = sim.current_node;
  c->incarnation = c->sender_node >= 0 ? sim.nodes[c->sender_node].incarnation : 0;
  c->reply = reply;
  c->data = data;
  count_command_change (c, 1);
  schedule_after (timeout_s, call_timed_out, c);
  if (delay_s > 0)
    schedule_after (delay_s, send_request, c);
  else
    send_request (c);
  if (!fakes_sending_duplicate && !g_str_has_prefix (from, "host-") &&
      g_rand_double (fakes.rng) < fakes.options.duplicate_requests)
    duplicate_later (c);
  return c;
}

Call *
fakes_call (const char *from, const char *method, const char *address, const char *path,
            json_t *body, double timeout_s, KrHttpResponseFunc reply, gpointer data)
{
  return fakes_call_delayed (from, method, address, path, body, timeout_s, 0, reply, data);
}

static gboolean
complete_cancelled_call (gpointer data)
{
  complete_call (data, 0, NULL);
  return FALSE;
}

static void
call_cancelled (GCancellable *cancel, gpointer data)
{
  schedule_after (0, complete_cancelled_call, data);
}

KrHttpClient *
kr_http_client_new (guint conns, guint conns_per_host, guint idle_s)
{
  KrHttpClient *c = g_new0 (KrHttpClient, 1);
  c->node = sim.current_node;
  return c;
}

guint
kr_http_client_lost_calls (void)
{
  return 0;
}

void
kr_http_client_free (KrHttpClient *c)
{
  g_free (c);
}

void
kr_http_client_call (KrHttpClient *client, const char *method, const char *host, const char *path,
                     json_t *body, guint timeout_ms, GCancellable *cancel,
                     KrHttpResponseFunc callback, gpointer data)
{
  g_autofree char *from = g_strdup_printf ("n%d", sim.current_node);
  if (sim.drop_range_reads[sim.current_node] && g_str_has_prefix (path, "/store?")) {
    sim.drop_range_reads[sim.current_node]--;
    json_decref (body);
    return;
  }
  Call *c = fakes_call (from, method, host, path, body, timeout_ms / 1000.0, callback, data);
  if (cancel && g_cancellable_is_cancelled (cancel))
    schedule_after (0, complete_cancelled_call, c);
  else if (cancel)
    g_signal_connect (cancel, "cancelled", G_CALLBACK (call_cancelled), c);
}

KrHttpServer *
kr_http_server_new (const char *address, guint conns, guint idle_s, GCancellable *cancel,
                    KrHttpHandler handler, gpointer data, GError **error)
{
  KrHttpServer *s = g_new0 (KrHttpServer, 1);
  *s = (KrHttpServer){ handler, data, sim.current_node, sim.nodes[sim.current_node].incarnation };
  g_hash_table_replace (sim.servers, g_strdup (address), s);
  return s;
}

void
kr_http_server_free (KrHttpServer *s)
{
}

KrHttpServerStats
kr_http_server_stats (const KrHttpServer *server)
{
  return (KrHttpServerStats){ 0 }; /* the simulated network has no connections */
}

const char *
kr_request_method (KrRequest *r)
{
  return r->call->method;
}

const char *
kr_request_path (KrRequest *r)
{
  return r->call->path;
}

json_t *
kr_request_json (KrRequest *r)
{
  return r->call->body;
}

void
kr_request_discard_json (KrRequest *r)
{
}

const char *
kr_request_json_error (KrRequest *r)
{
  return r->call->body ? NULL : "no body";
}

gsize
kr_request_body_bytes (KrRequest *r)
{
  return r->call->body ? json_dumpb (r->call->body, NULL, 0, JSON_COMPACT) : 0;
}

gboolean
kr_request_disconnected (KrRequest *r)
{
  return r->call->completed;
}

void
kr_request_reply (KrRequest *r, guint status, json_t *body, guint retry_after_s)
{
  json_t *replaced = sim.current_node >= 0 ? sim.replaced_summaries[sim.current_node] : NULL;
  if (replaced && g_str_equal (r->call->path, "/summaries")) {
    json_decref (body);
    body = json_incref (replaced);
  }
  fakes_respond (r->call, status, body ? body : json_object ());
  g_free (r);
}

/* --- nodes ---------------------------------------------------------------------------------- */
static KrSettings *
parse_settings (guint node)
{
  g_autoptr (GError) error = NULL;
  json_t *root = fakes_node_settings (node);
  KrSettings *s = kr_settings_from_json (root, &error);
  g_assert_no_error (error);
  json_decref (root);
  return s;
}

void
sim_node_start (guint i)
{
  Node *n = &sim.nodes[i];
  n->alive = TRUE;
  n->incarnation++;
  n->settings = parse_settings (i);
  sim.current_node = (gint) i;
  n->node = kr_node_new (n->settings, NULL);
  sim.current_node = -1;
}

/* Ends the node without notice, as the platform does: it gets no signal that it could handle, and
 * no one is told. */
void
sim_node_kill (guint i)
{
  sim.nodes[i].alive = sim.nodes[i].paused = FALSE;
}

void
sim_node_pause (guint i, gboolean on)
{
  Node *n = &sim.nodes[i];
  if (n->paused && !on && fakes.now - n->paused_at > n->stall_limit_us) {
    sim.current_node = (gint) i;
    n->stall_func (n->stall_data);
    sim.current_node = -1;
  }
  n->paused = on;
  n->paused_at = fakes.now;
}

/* Log writer for KR_TEST_LOG: prints each message with the simulated time and the node. */
static GLogWriterOutput
write_log (GLogLevelFlags level, const GLogField *fields, gsize n_fields, gpointer data)
{
  for (gsize i = 0; i < n_fields; i++)
    if (g_str_equal (fields[i].key, "MESSAGE"))
      g_printerr ("%9.3f n%d %s\n", sim_now (), sim.current_node, (const char *) fields[i].value);
  return G_LOG_WRITER_HANDLED;
}

void
sim_log_to_stderr (void)
{
  g_log_set_writer_func (write_log, NULL, NULL);
}

void
sim_start (guint32 seed, const SimOptions *options)
{
  memset (&sim, 0, sizeof sim);
  sim.queue = g_sequence_new (g_free);
  sim.timers = g_hash_table_new (g_direct_hash, g_direct_equal);
  sim.current_node = -1;
  sim.servers = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  sim.commands_in_flight = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  fakes_start (seed, options);
  for (guint i = 0; i < fakes.options.nodes; i++)
    sim_node_start (i);
}

void
sim_stop (void)
{
  g_sequence_free (sim.queue);
  g_hash_table_unref (sim.timers);
  g_hash_table_unref (sim.commands_in_flight);
  fakes_stop ();
}

char *
sim_node_address (guint node, guint port)
{
  return g_strdup_printf ("10.0.0.%u:%u", node + 1, port);
}

char *
sim_machine_address (guint number)
{
  return g_strdup_printf ("10.1.0.%u:9000", number);
}

gboolean
sim_node_alive (guint node)
{
  return sim.nodes[node].alive;
}

char *
sim_state_address (guint node)
{
  return g_strdup (STATE_ADDRESS);
}

char *
sim_cloud_address (guint node)
{
  return g_strdup (CLOUD_ADDRESS);
}

char *
sim_peer_address (guint node, guint peer)
{
  return sim_node_address (peer, SIM_PEER_PORT);
}
