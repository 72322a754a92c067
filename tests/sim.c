/* Simulated time, network and nodes: the world (fakes.c) around real nodes, one event at a time. */
#include "fakes.h"
#include "clock.h"
#include "constants.h"
#include "http-client.h"
#include "http-server.h"
#include "shard.h"
#include "wire.h"
#include <math.h>
#include <string.h>

#define TXN_BYTES 65536 /* of a transaction, by the protocol */

#define STATE_ADDRESS "10.2.0.1:2379"
#define CLOUD_ADDRESS "10.2.0.2:8443"

/* --- events ---------------------------------------------------------------------------- */
typedef struct {
  gint64 at;
  guint64 order;
  guint id;   /* timers */
  gint owner; /* node on whose behalf; -1: the world */
  guint life; /* of that node */
  GSourceFunc func;
  gpointer data;
  guint every_ms; /* timers repeat while func says so */
} Event;

typedef struct {
  KrNode *node;
  KrSettings *settings;
  gboolean alive, hung;
  gint64 hung_at;
  guint life;
  /* its watch over standing still */
  gint64 stall_us;
  GSourceFunc stalled;
  gpointer stalled_data;
} Node;

static struct {
  GSequence *queue;
  GHashTable *timers; /* id -> GSequenceIter of its event */
  guint64 order;
  guint next_id;
  gint current; /* node whose code runs */
  Node nodes[SIM_MAX_NODES];
  GHashTable *servers; /* address -> KrHttpServer */
  guint beats;         /* reports handled */
  guint64 beat_steps;
  GHashTable *commands; /* address -> direct commands to it under way */
  guint commands_most;  /* to one address at once, so far */
  guint lose_reads[SIM_MAX_NODES];
  gboolean refuse_peers[SIM_MAX_NODES];
} sim;

static int
event_order (gconstpointer a, gconstpointer b, gpointer data)
{
  const Event *x = a, *y = b;
  if (x->at != y->at)
    return x->at < y->at ? -1 : 1;
  return x->order < y->order ? -1 : x->order > y->order;
}

static GSequenceIter *
push (gint64 at, gint owner, GSourceFunc func, gpointer data)
{
  Event *e = g_new0 (Event, 1);
  e->at = at;
  e->order = ++sim.order;
  e->owner = owner;
  e->life = owner >= 0 ? sim.nodes[owner].life : 0;
  e->func = func;
  e->data = data;
  return g_sequence_insert_sorted (sim.queue, e, event_order, NULL);
}

void
schedule_after (double s, GSourceFunc func, gpointer data)
{
  push (fakes.now + (gint64) (s * 1e6), -1, func, data);
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
  GSequenceIter *i = push (fakes.now + (gint64) ms * 1000, sim.current, func, data);
  Event *e = g_sequence_get (i);
  e->id = ++sim.next_id;
  e->every_ms = MAX (1, ms);
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
  Node *n = &sim.nodes[sim.current];
  n->stall_us = (gint64) ms * 1000;
  n->stalled = func;
  n->stalled_data = data;
}

static gboolean
alive (gint owner, guint life)
{
  return owner < 0 || (sim.nodes[owner].alive && sim.nodes[owner].life == life);
}

/* What happens to a node that stands still is looked at again after this long. */
#define HANG_STEP_US 20000

static gboolean
hung (gint owner)
{
  return owner >= 0 && sim.nodes[owner].hung;
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
    /* Out of the queue first, so that func may remove its own timer. */
    Event copy = *e;
    fakes.now = MAX (fakes.now, e->at);
    e->at = e->at + MAX (1, (gint64) copy.every_ms * 1000);
    if (!copy.every_ms)
      g_sequence_remove (i);
    else
      g_sequence_sort_changed (i, event_order, NULL);
    if (!alive (copy.owner, copy.life)) {
      if (copy.every_ms)
        kr_timer_remove (copy.id);
      continue;
    }
    if (hung (copy.owner)) { /* it finds the timer over when it goes on */
      e->at = fakes.now + HANG_STEP_US;
      g_sequence_sort_changed (i, event_order, NULL);
      continue;
    }
    sim.current = copy.owner;
    gboolean again = copy.func (copy.data);
    sim.current = -1;
    if (copy.every_ms && !again)
      kr_timer_remove (copy.id);
  }
  fakes.now = end;
}

double
sim_now (void)
{
  return fakes.now / 1e6;
}

/* --- http: calls -------------------------------------------------------------------------- */
struct KrHttpClient {
  gint owner;
};

struct KrHttpServer {
  KrHttpHandler handler;
  gpointer data;
  gint owner;
  guint life;
};

struct KrRequest {
  Call *call;
  gint owner;
  guint life;
};

static gboolean answer_arrives (gpointer data);

/* Notes that a direct command to a worker begins or ends. */
static void
count_command (const Call *c, gint change)
{
  if (c->owner < 0 || !g_str_equal (c->path, "/commands"))
    return;
  guint now = GPOINTER_TO_UINT (g_hash_table_lookup (sim.commands, c->host)) + (guint) change;
  g_hash_table_insert (sim.commands, g_strdup (c->host), GUINT_TO_POINTER (now));
  sim.commands_most = MAX (sim.commands_most, now);
}

void
sim_node_drop_peer_requests (guint i, gboolean on)
{
  sim.refuse_peers[i] = on;
}

void
sim_drop_range_reads (guint node, guint n)
{
  sim.lose_reads[node] = n;
}

guint
sim_max_concurrent_commands (void)
{
  return sim.commands_most;
}

static void
call_end (Call *c, guint status, json_t *body)
{
  if (c->completed)
    return;
  gboolean asker_lives = alive (c->owner, c->incarnation);
  if (asker_lives && hung (c->owner)) {
    c->status = status;
    c->response = body;
    schedule_after (HANG_STEP_US / 1e6, answer_arrives, c);
    return;
  }
  c->completed = TRUE;
  count_command (c, -1);
  if (!asker_lives)
    return;
  gint before = sim.current;
  sim.current = c->owner;
  c->reply (status, body, c->data);
  sim.current = before;
}

static gboolean
call_late (gpointer data)
{
  call_end (data, 0, NULL);
  return FALSE;
}

static gboolean
answer_arrives (gpointer data)
{
  Call *c = data;
  call_end (c, c->status, c->response);
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
  fakes_deliver (c->to, c->from, answer_arrives, c);
}

/* Steps of walks over all machines of a part, in a node so far. */
static guint64
walked (gint i)
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
  *steps = sim.beat_steps;
  return sim.beats;
}

static gboolean
is_peer_address (const char *address)
{
  g_autofree char *port = g_strdup_printf (":%u", SIM_PEER_PORT);
  return g_str_has_suffix (address, port);
}

static gboolean
call_arrives (gpointer data)
{
  Call *c = data;
  KrHttpServer *s = g_hash_table_lookup (sim.servers, c->host);
  if (!s) {
    fakes_handle_request (c);
    return FALSE;
  }
  if (!alive (s->owner, s->life) || (sim.refuse_peers[s->owner] && is_peer_address (c->host)))
    return FALSE;
  if (hung (s->owner)) {
    schedule_after (HANG_STEP_US / 1e6, call_arrives, c);
    return FALSE;
  }
  KrRequest *r = g_new0 (KrRequest, 1);
  r->call = c;
  r->owner = s->owner;
  r->life = s->life;
  guint64 before = walked (s->owner);
  gboolean beat = g_str_equal (c->path, "/agent/beat");
  sim.current = s->owner;
  s->handler (r, s->data);
  sim.current = -1;
  if (beat) {
    sim.beats++;
    sim.beat_steps += walked (s->owner) - before;
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
copy_later (const Call *c)
{
  fakes_send_duplicate_later (c->from, c->method, c->host, c->path, c->body);
}

/* Sent, it arrives after `late_s` beyond the usual. */
static gboolean
call_sent (gpointer data)
{
  Call *c = data;
  fakes_deliver (c->from, c->to, call_arrives, c);
  return FALSE;
}

Call *
fakes_call_delayed (const char *from, const char *method, const char *address, const char *path,
                    json_t *body, double timeout_s, double late_s, KrHttpResponseFunc reply,
                    gpointer data)
{
  Call *c = g_new0 (Call, 1);
  c->from = g_strdup (from);
  c->to = host_name (address);
  c->host = g_strdup (address);
  c->method = g_strdup (method);
  c->path = g_strdup (path);
  c->body = body;
  c->owner = sim.current;
  c->incarnation = c->owner >= 0 ? sim.nodes[c->owner].life : 0;
  c->reply = reply;
  c->data = data;
  count_command (c, 1);
  schedule_after (timeout_s, call_late, c);
  if (late_s > 0)
    schedule_after (late_s, call_sent, c);
  else
    call_sent (c);
  if (!fakes_sending_duplicate && !g_str_has_prefix (from, "host-") &&
      g_rand_double (fakes.rng) < fakes.options.duplicate_requests)
    copy_later (c);
  return c;
}

Call *
fakes_call (const char *from, const char *method, const char *address, const char *path,
            json_t *body, double timeout_s, KrHttpResponseFunc reply, gpointer data)
{
  return fakes_call_delayed (from, method, address, path, body, timeout_s, 0, reply, data);
}

static gboolean
call_cancelled_now (gpointer data)
{
  call_end (data, 0, NULL);
  return FALSE;
}

static void
call_cancelled (GCancellable *cancel, gpointer data)
{
  schedule_after (0, call_cancelled_now, data);
}

KrHttpClient *
kr_http_client_new (guint conns, guint conns_per_host, guint idle_s)
{
  KrHttpClient *c = g_new0 (KrHttpClient, 1);
  c->owner = sim.current;
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
                     json_t *body, guint timeout_ms, GCancellable *cancel, KrHttpResponseFunc reply,
                     gpointer data)
{
  g_autofree char *from = g_strdup_printf ("n%d", sim.current);
  if (sim.lose_reads[sim.current] && g_str_has_prefix (path, "/store?")) {
    sim.lose_reads[sim.current]--;
    json_decref (body);
    return;
  }
  Call *c = fakes_call (from, method, host, path, body, timeout_ms / 1000.0, reply, data);
  if (cancel && g_cancellable_is_cancelled (cancel))
    schedule_after (0, call_cancelled_now, c);
  else if (cancel)
    g_signal_connect (cancel, "cancelled", G_CALLBACK (call_cancelled), c);
}

KrHttpServer *
kr_http_server_new (const char *address, guint conns, guint idle_s, GCancellable *cancel,
                    KrHttpHandler handler, gpointer data, GError **error)
{
  KrHttpServer *s = g_new0 (KrHttpServer, 1);
  *s = (KrHttpServer){ handler, data, sim.current, sim.nodes[sim.current].life };
  g_hash_table_replace (sim.servers, g_strdup (address), s);
  return s;
}

void
kr_http_server_free (KrHttpServer *s)
{
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

gboolean
kr_request_disconnected (KrRequest *r)
{
  return r->call->completed;
}

void
kr_request_reply (KrRequest *r, guint status, json_t *body, guint retry_after_s)
{
  fakes_respond (r->call, status, body ? body : json_object ());
  g_free (r);
}
/* --- nodes and life
 * -------------------------------------------------------------------------------- */
static KrSettings *
settings (guint node)
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
  n->life++;
  n->settings = settings (i);
  sim.current = (gint) i;
  n->node = kr_node_new (n->settings, NULL);
  sim.current = -1;
}

/* As the platform does it: no signal, nothing is told to anyone. */
void
sim_node_kill (guint i)
{
  sim.nodes[i].alive = sim.nodes[i].hung = FALSE;
}

void
sim_node_pause (guint i, gboolean on)
{
  Node *n = &sim.nodes[i];
  if (n->hung && !on && fakes.now - n->hung_at > n->stall_us) {
    sim.current = (gint) i;
    n->stalled (n->stalled_data);
    sim.current = -1;
  }
  n->hung = on;
  n->hung_at = fakes.now;
}

/* With KR_TEST_LOG set: what the nodes log, with simulated time and node. */
static GLogWriterOutput
write_log (GLogLevelFlags level, const GLogField *fields, gsize n_fields, gpointer data)
{
  for (gsize i = 0; i < n_fields; i++)
    if (g_str_equal (fields[i].key, "MESSAGE"))
      g_printerr ("%9.3f n%d %s\n", sim_now (), sim.current, (const char *) fields[i].value);
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
  sim.current = -1;
  sim.servers = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  sim.commands = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  fakes_start (seed, options);
  for (guint i = 0; i < fakes.options.nodes; i++)
    sim_node_start (i);
}

void
sim_stop (void)
{
  g_sequence_free (sim.queue);
  g_hash_table_unref (sim.timers);
  g_hash_table_unref (sim.commands);
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
