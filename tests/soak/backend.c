#include "backend.h"
#include "http-client.h"
#include "http-server.h"
#include <signal.h>
#include <string.h>
#include <sys/prctl.h>

#define CONNECTIONS 4000 /* that a stand-in takes, and that the world opens */
#define STATE_PORT 2379
#define IDLE_S 60 /* of a silent connection */
#define TIMER_STEP_MS 2
#define USER_SESSIONS 64
#define PER_HOST 250 /* machines with the third byte of the address in common */
#define FIRST_MACHINES 10
#define FIRST_PROXY 100

typedef struct {
  GPid pid;
  gboolean alive, stopped;
  guint starts;
} Process;

static struct {
  guint net;
  char *program, *dir;
  gint64 began;
  GMainLoop *loop;
  GSequence *timers; /* Timer */
  guint64 order;
  GHashTable *clients; /* who asks -> KrHttpClient */
  guint users;         /* requests of users so far */
  GCancellable *cancel;
  Process nodes[SIM_MAX_NODES];
} backend;

/* --- time ---------------------------------------------------------------------------- */
typedef struct {
  gint64 at;
  guint64 order;
  GSourceFunc func;
  gpointer data;
} Timer;

static void
update_now (void)
{
  fakes.now = g_get_monotonic_time () - backend.began;
}

static int
earlier (gconstpointer a, gconstpointer b, gpointer data)
{
  const Timer *x = a, *y = b;
  if (x->at != y->at)
    return x->at < y->at ? -1 : 1;
  return x->order < y->order ? -1 : x->order > y->order;
}

/* One source for all timers: the main loop looks at each source in each turn, and the world has
 * thousands. */
static gboolean
run_timers (gpointer data)
{
  update_now ();
  for (;;) {
    GSequenceIter *first = g_sequence_get_begin_iter (backend.timers);
    if (g_sequence_iter_is_end (first) || ((Timer *) g_sequence_get (first))->at > fakes.now)
      return G_SOURCE_CONTINUE;
    Timer timer = *(Timer *) g_sequence_get (first);
    g_sequence_remove (first);
    timer.func (timer.data);
  }
}

void
schedule_after (double s, GSourceFunc func, gpointer data)
{
  Timer *timer = g_new (Timer, 1);
  *timer = (Timer){ fakes.now + (gint64) (s * 1e6), ++backend.order, func, data };
  g_sequence_insert_sorted (backend.timers, timer, earlier, NULL);
}

double
sim_now (void)
{
  return fakes.now / 1e6;
}

static gboolean
run_over (gpointer data)
{
  g_main_loop_quit (backend.loop);
  return G_SOURCE_REMOVE;
}

void
sim_run (double seconds)
{
  g_timeout_add ((guint) (seconds * 1000), run_over, NULL);
  g_main_loop_run (backend.loop);
  update_now ();
}

/* --- addresses ----------------------------------------------------------------------- */
static char *
loopback_address (guint third, guint fourth, guint port)
{
  return g_strdup_printf ("127.%u.%u.%u:%u", backend.net, third, fourth, port);
}

char *
sim_node_address (guint node, guint port)
{
  return loopback_address (0, node + 1, port);
}

char *
sim_state_address (guint node)
{
  return loopback_address (2, node + 1, STATE_PORT);
}

char *
sim_cloud_address (guint node)
{
  return loopback_address (3, node + 1, 8443);
}

char *
sim_peer_address (guint node, guint peer)
{
  return loopback_address (FIRST_PROXY + node, peer + 1, SIM_PEER_PORT);
}

/* The node's name behind an address for users, workers or peers. */
static char *
node_of (const char *host)
{
  const char *byte = strrchr (host, '.');
  return g_strdup_printf ("n%d", atoi (byte + 1) - 1);
}

/* One session each: a session looks at all its calls whenever one of them goes on, so that hundreds
 * of machines in one would hold the whole world up. */
static KrHttpClient *
client_of (const char *from)
{
  g_autofree char *name = g_str_equal (from, "user")
                              ? g_strdup_printf ("user %u", backend.users++ % USER_SESSIONS)
                              : g_strdup (from);
  KrHttpClient *client = g_hash_table_lookup (backend.clients, name);
  if (!client) {
    client = kr_http_client_new (CONNECTIONS, CONNECTIONS, IDLE_S);
    g_hash_table_insert (backend.clients, g_steal_pointer (&name), client);
  }
  return client;
}

/* --- the world is asked -------------------------------------------------------------- */
/* Who asks whom at a listening address. */
typedef struct {
  char *from, *to;
} Link;

static gboolean
answer_leaves (gpointer data)
{
  Call *c = data;
  kr_request_reply (c->http_request, c->status, c->response, 0);
  return G_SOURCE_REMOVE;
}

void
fakes_respond (Call *c, guint status, json_t *body)
{
  c->status = status;
  c->response = body;
  fakes_deliver (c->to, c->from, answer_leaves, c);
}

static void
peer_answered (guint status, json_t *body, gpointer data)
{
  update_now ();
  if (status)
    fakes_respond (data, status, json_incref (body));
}

static gboolean
request_arrives (gpointer data)
{
  Call *c = data;
  if (c->to[0] != 'n') {
    fakes_handle_request (c);
    return G_SOURCE_REMOVE;
  }
  g_autofree char *host = sim_node_address ((guint) atoi (c->to + 1), SIM_PEER_PORT);
  kr_http_client_call (client_of (c->from), c->method, host, c->path, json_incref (c->body), 5000,
                       NULL, peer_answered, c);
  return G_SOURCE_REMOVE;
}

static void
asked (KrRequest *request, gpointer data)
{
  const Link *link = data;
  const char *query = kr_request_query (request);
  update_now ();
  Call *c = g_new0 (Call, 1);
  c->from = g_strdup (link->from);
  c->to = g_strdup (link->to);
  c->method = g_strdup (kr_request_method (request));
  c->path = g_strconcat (kr_request_path (request), query ? "?" : "", query ? query : "", NULL);
  c->body = json_incref (kr_request_json (request));
  c->owner = -1;
  c->http_request = request;
  fakes_deliver (c->from, c->to, request_arrives, c);
}

static void
listen_at (char *where, char *from, char *to)
{
  g_autoptr (GError) error = NULL;
  Link *link = g_new (Link, 1);
  *link = (Link){ from, to };
  if (!kr_http_server_new (where, CONNECTIONS, IDLE_S, backend.cancel, asked, link, &error))
    g_error ("%s", error->message);
  g_free (where);
}

/* Which node commands a machine cannot be told from its address: cuts are of its reports. */
char *
sim_machine_address (guint number)
{
  char *where = loopback_address (FIRST_MACHINES + number / PER_HOST, 1 + number % PER_HOST, 9000);
  listen_at (g_strdup (where), g_strdup ("nodes"), g_strdup_printf ("host-%06u", number));
  return where;
}

/* --- the world asks ------------------------------------------------------------------ */
static gboolean
call_over (gpointer data)
{
  Call *c = data;
  if (c->completed)
    return G_SOURCE_REMOVE;
  c->completed = TRUE;
  c->reply (c->status, c->response, c->data);
  return G_SOURCE_REMOVE;
}

static gboolean
call_late (gpointer data)
{
  Call *c = data;
  if (!c->completed) {
    c->status = 0;
    c->response = NULL;
  }
  return call_over (c);
}

static void
node_answered (guint status, json_t *body, gpointer data)
{
  Call *c = data;
  update_now ();
  if (c->completed)
    return;
  c->status = status;
  c->response = json_incref (body);
  fakes_deliver (c->to, c->from, call_over, c);
}

static gboolean
call_arrives (gpointer data)
{
  Call *c = data;
  kr_http_client_call (client_of (c->from), c->method, c->host, c->path, json_incref (c->body),
                       5000, NULL, node_answered, c);
  return G_SOURCE_REMOVE;
}

static gboolean
call_leaves (gpointer data)
{
  Call *c = data;
  fakes_deliver (c->from, c->to, call_arrives, c);
  return G_SOURCE_REMOVE;
}

Call *
fakes_call_delayed (const char *from, const char *method, const char *address, const char *path,
                    json_t *body, double timeout_s, double late_s, KrHttpResponseFunc reply,
                    gpointer data)
{
  Call *c = g_new0 (Call, 1);
  c->from = g_strdup (from);
  c->to = node_of (address);
  c->host = g_strdup (address);
  c->method = g_strdup (method);
  c->path = g_strdup (path);
  c->body = body;
  c->owner = -1;
  c->reply = reply;
  c->data = data;
  schedule_after (timeout_s, call_late, c);
  if (late_s > 0)
    schedule_after (late_s, call_leaves, c);
  else
    call_leaves (c);
  return c;
}

Call *
fakes_call (const char *from, const char *method, const char *address, const char *path,
            json_t *body, double timeout_s, KrHttpResponseFunc reply, gpointer data)
{
  return fakes_call_delayed (from, method, address, path, body, timeout_s, 0, reply, data);
}

/* --- processes ----------------------------------------------------------------------- */
/* JSON as a value of TOML: an inline table has "=" where an object has ":". */
static char *
toml_value (json_t *value)
{
  char *json = json_dumps (value, JSON_ENCODE_ANY);
  GString *text = g_string_new (json);
  free (json);
  g_string_replace (text, "\": ", "\" = ", 0);
  return g_string_free (text, FALSE);
}

static char *
settings_file (guint node)
{
  g_autoptr (GString) text = g_string_new (NULL);
  json_t *root = fakes_node_settings (node), *value;
  const char *key;
  json_object_foreach (root, key, value)
  {
    g_autofree char *toml = toml_value (value);
    g_string_append_printf (text, "%s = %s\n", key, toml);
  }
  json_decref (root);
  char *path = g_strdup_printf ("%s/n%u.toml", backend.dir, node);
  g_autoptr (GError) error = NULL;
  if (!g_file_set_contents (path, text->str, -1, &error))
    g_error ("%s", error->message);
  return path;
}

static void
process_ended (GPid pid, gint status, gpointer data)
{
  Process *process = data;
  update_now ();
  /* A killed one is noted as such before, and may have a successor by now. */
  if (process->alive && process->pid == pid) {
    process->alive = FALSE;
    record_violation ("n%d ended by itself (status %d)", (int) (process - backend.nodes), status);
  }
  g_spawn_close_pid (pid);
}

/* In the new process: no run that fails leaves one behind. */
static void
die_with_parent (gpointer data)
{
  prctl (PR_SET_PDEATHSIG, SIGKILL);
}

void
sim_node_start (guint i)
{
  Process *process = &backend.nodes[i];
  g_autofree char *config = settings_file (i);
  g_autofree char *log = g_strdup_printf ("%s/n%u.log", backend.dir, i);
  g_autofree char *command = g_strdup_printf ("exec \"$0\" --config \"$1\" 2>>\"$2\"");
  char *const argv[] = {
    (char *) "/bin/sh", (char *) "-c", command, backend.program, config, log, NULL
  };
  g_autoptr (GError) error = NULL;
  if (!g_spawn_async (NULL, (char **) argv, NULL, G_SPAWN_DO_NOT_REAP_CHILD, die_with_parent, NULL,
                      &process->pid, &error))
    g_error ("%s", error->message);
  process->alive = TRUE;
  process->stopped = FALSE;
  process->starts++;
  g_child_watch_add (process->pid, process_ended, process);
}

void
sim_node_kill (guint i)
{
  Process *process = &backend.nodes[i];
  if (process->alive)
    kill (process->pid, SIGKILL);
  process->alive = process->stopped = FALSE;
}

void
sim_node_pause (guint i, gboolean on)
{
  Process *process = &backend.nodes[i];
  if (process->alive && process->stopped != on)
    kill (process->pid, on ? SIGSTOP : SIGCONT);
  process->stopped = process->alive && on;
}

gboolean
sim_node_alive (guint node)
{
  return backend.nodes[node].alive;
}

int
backend_leader (void)
{
  json_t *leader = fakes_stored_value ("c/leader");
  const char *name = json_string_value (json_object_get (leader, "Node"));
  return name ? atoi (name + strlen ("berth-")) : -1;
}

void
backend_check_logs (void)
{
  for (guint i = 0; i < fakes.options.nodes; i++) {
    g_autofree char *path = g_strdup_printf ("%s/n%u.log", backend.dir, i);
    g_autofree char *text = NULL;
    if (!g_file_get_contents (path, &text, NULL, NULL))
      continue;
    g_auto (GStrv) lines = g_strsplit (text, "\n", -1);
    for (char **line = lines; *line; line++)
      if (strstr (*line, " error ") || strstr (*line, "runtime error") ||
          strstr (*line, "AddressSanitizer"))
        record_violation ("n%u: %s", i, *line);
  }
}

gboolean
backend_net_is_free (guint net)
{
  g_autofree char *host = g_strdup_printf ("127.%u.2.1", net);
  g_autoptr (GSocketAddress) probe = g_inet_socket_address_new_from_string (host, STATE_PORT);
  g_autoptr (GSocketListener) listener = g_socket_listener_new ();
  return g_socket_listener_add_address (listener, probe, G_SOCKET_TYPE_STREAM,
                                        G_SOCKET_PROTOCOL_TCP, NULL, NULL, NULL);
}

/* --- life ---------------------------------------------------------------------------- */
void
backend_start (guint net, const char *program, const char *dir, guint32 seed,
               const SimOptions *options)
{
  backend.net = net;
  backend.program = g_strdup (program);
  backend.dir = g_strdup (dir);
  backend.began = g_get_monotonic_time ();
  backend.loop = g_main_loop_new (NULL, FALSE);
  backend.clients = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  backend.cancel = g_cancellable_new ();
  backend.timers = g_sequence_new (g_free);
  g_timeout_add (TIMER_STEP_MS, run_timers, NULL);
  fakes_start (seed, options);
  for (guint i = 0; i < options->nodes; i++) {
    listen_at (sim_state_address (i), g_strdup_printf ("n%u", i), g_strdup ("state"));
    listen_at (sim_cloud_address (i), g_strdup_printf ("n%u", i), g_strdup ("cloud"));
    for (guint k = 0; k < options->nodes; k++)
      if (k != i)
        listen_at (sim_peer_address (i, k), g_strdup_printf ("n%u", i), g_strdup_printf ("n%u", k));
  }
  for (guint i = 0; i < options->nodes; i++)
    sim_node_start (i);
}

void
backend_stop (void)
{
  for (guint i = 0; i < fakes.options.nodes; i++)
    sim_node_kill (i);
}
