#include "backend.h"
#include "http-client.h"
#include "http-server.h"
#include <signal.h>
#include <string.h>
#include <sys/prctl.h>

#define MAX_CONNECTIONS 4000 /* limit of each fake's server and of each HTTP client */
#define STATE_PORT 2379
#define IDLE_S 60 /* after which an unused connection is closed */
#define TIMER_INTERVAL_MS 2
#define USER_CLIENTS 64
#define MACHINES_PER_BYTE 250 /* machines that share the third byte of the address */
#define FIRST_MACHINE_BYTE 10 /* third byte of the first machines' addresses */
#define FIRST_PROXY_BYTE 100  /* third byte of the addresses at which node 0 reaches its peers */

typedef struct {
  GPid pid;
  gboolean alive, paused;
  guint starts;
} Process;

static struct {
  guint net;
  char *program, *dir;
  gint64 started_at;
  GMainLoop *loop;
  GSequence *timers; /* Timer */
  guint64 sequence;
  GHashTable *clients; /* sender -> KrHttpClient */
  guint user_requests; /* number of users' requests so far */
  GCancellable *cancel;
  Process nodes[SIM_MAX_NODES];
} backend;

/* --- time ---------------------------------------------------------------------------- */
typedef struct {
  gint64 at;
  guint64 sequence;
  GSourceFunc func;
  gpointer data;
} Timer;

static void
update_now (void)
{
  fakes.now = g_get_monotonic_time () - backend.started_at;
}

static int
compare_timers (gconstpointer a, gconstpointer b, gpointer data)
{
  const Timer *x = a, *y = b;
  if (x->at != y->at)
    return x->at < y->at ? -1 : 1;
  return x->sequence < y->sequence ? -1 : x->sequence > y->sequence;
}

/* One GSource serves all timers: the main loop checks each of its sources in each iteration, and
 * the fakes have thousands of timers. */
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
  *timer = (Timer){ fakes.now + (gint64) (s * 1e6), ++backend.sequence, func, data };
  g_sequence_insert_sorted (backend.timers, timer, compare_timers, NULL);
}

double
sim_now (void)
{
  return fakes.now / 1e6;
}

static gboolean
quit_loop (gpointer data)
{
  g_main_loop_quit (backend.loop);
  return G_SOURCE_REMOVE;
}

void
sim_run (double seconds)
{
  g_timeout_add ((guint) (seconds * 1000), quit_loop, NULL);
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
  return loopback_address (FIRST_PROXY_BYTE + node, peer + 1, SIM_PEER_PORT);
}

/* Returns the name of the node at an address for users, workers or peers. */
static char *
node_name (const char *host)
{
  const char *byte = strrchr (host, '.');
  return g_strdup_printf ("n%d", atoi (byte + 1) - 1);
}

/* Each machine and node has its own HTTP client, and users share USER_CLIENTS of them: a
 * SoupSession walks all its messages whenever one of them makes progress, so that hundreds of
 * machines in one session would stall all fakes. */
static KrHttpClient *
client_for (const char *from)
{
  g_autofree char *name = g_str_equal (from, "user")
                              ? g_strdup_printf ("user %u", backend.user_requests++ % USER_CLIENTS)
                              : g_strdup (from);
  KrHttpClient *client = g_hash_table_lookup (backend.clients, name);
  if (!client) {
    client = kr_http_client_new (MAX_CONNECTIONS, MAX_CONNECTIONS, IDLE_S);
    g_hash_table_insert (backend.clients, g_steal_pointer (&name), client);
  }
  return client;
}

/* --- requests from the nodes --------------------------------------------------------- */
/* The sender and the receiver of the requests that arrive at a listening address. */
typedef struct {
  char *from, *to;
} Link;

static gboolean
send_response (gpointer data)
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
  fakes_deliver (c->to, c->from, send_response, c);
}

static void
peer_responded (guint status, json_t *body, gpointer data)
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
  kr_http_client_call (client_for (c->from), c->method, host, c->path, json_incref (c->body), 5000,
                       NULL, peer_responded, c);
  return G_SOURCE_REMOVE;
}

static void
handle_request (KrRequest *request, gpointer data)
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
  c->sender_node = -1;
  c->http_request = request;
  fakes_deliver (c->from, c->to, request_arrives, c);
}

/* Starts a server at `address` for the requests of `from` to `to`. Takes over all three strings. */
static void
listen_on (char *address, char *from, char *to)
{
  g_autoptr (GError) error = NULL;
  Link *link = g_new (Link, 1);
  *link = (Link){ from, to };
  if (!kr_http_server_new (address, MAX_CONNECTIONS, IDLE_S, backend.cancel, handle_request, link,
                           &error))
    g_error ("%s", error->message);
  g_free (address);
}

/* A machine has one address for all nodes, so the sender of a command isn't known: a link fault
 * between one node and a machine affects only the machine's reports and their responses. */
char *
sim_machine_address (guint number)
{
  char *address = loopback_address (FIRST_MACHINE_BYTE + number / MACHINES_PER_BYTE,
                                    1 + number % MACHINES_PER_BYTE, 9000);
  listen_on (g_strdup (address), g_strdup ("nodes"), g_strdup_printf ("host-%06u", number));
  return address;
}

/* --- requests from the fakes --------------------------------------------------------- */
static gboolean
complete_call (gpointer data)
{
  Call *c = data;
  if (c->completed)
    return G_SOURCE_REMOVE;
  c->completed = TRUE;
  c->reply (c->status, c->response, c->data);
  return G_SOURCE_REMOVE;
}

static gboolean
call_timed_out (gpointer data)
{
  Call *c = data;
  if (!c->completed) {
    c->status = 0;
    c->response = NULL;
  }
  return complete_call (c);
}

static void
node_responded (guint status, json_t *body, gpointer data)
{
  Call *c = data;
  update_now ();
  if (c->completed)
    return;
  c->status = status;
  c->response = json_incref (body);
  fakes_deliver (c->to, c->from, complete_call, c);
}

static gboolean
forward_call (gpointer data)
{
  Call *c = data;
  kr_http_client_call (client_for (c->from), c->method, c->host, c->path, json_incref (c->body),
                       5000, NULL, node_responded, c);
  return G_SOURCE_REMOVE;
}

static gboolean
send_call (gpointer data)
{
  Call *c = data;
  fakes_deliver (c->from, c->to, forward_call, c);
  return G_SOURCE_REMOVE;
}

Call *
fakes_call_delayed (const char *from, const char *method, const char *address, const char *path,
                    json_t *body, double timeout_s, double delay_s, KrHttpResponseFunc reply,
                    gpointer data)
{
  Call *c = g_new0 (Call, 1);
  c->from = g_strdup (from);
  c->to = node_name (address);
  c->host = g_strdup (address);
  c->method = g_strdup (method);
  c->path = g_strdup (path);
  c->body = body;
  c->sender_node = -1;
  c->reply = reply;
  c->data = data;
  schedule_after (timeout_s, call_timed_out, c);
  if (delay_s > 0)
    schedule_after (delay_s, send_call, c);
  else
    send_call (c);
  return c;
}

Call *
fakes_call (const char *from, const char *method, const char *address, const char *path,
            json_t *body, double timeout_s, KrHttpResponseFunc reply, gpointer data)
{
  return fakes_call_delayed (from, method, address, path, body, timeout_s, 0, reply, data);
}

/* --- processes ----------------------------------------------------------------------- */
/* Returns a JSON value as TOML: an inline table has "=" where an object has ":". The caller frees
 * it with g_free(). */
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
write_settings (guint node)
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
  /* sim_node_kill() clears `alive` first, and a new process may have been started since. */
  if (process->alive && process->pid == pid) {
    process->alive = FALSE;
    record_violation ("n%d exited unexpectedly (status %d)", (int) (process - backend.nodes),
                      status);
  }
  g_spawn_close_pid (pid);
}

/* Runs in the new process: the kernel kills it when the soak ends, so that a failed run leaves no
 * process behind. */
static void
kill_with_parent (gpointer data)
{
  prctl (PR_SET_PDEATHSIG, SIGKILL);
}

void
sim_node_start (guint i)
{
  Process *process = &backend.nodes[i];
  g_autofree char *config = write_settings (i);
  g_autofree char *log = g_strdup_printf ("%s/n%u.log", backend.dir, i);
  g_autofree char *command = g_strdup_printf ("exec \"$0\" --config \"$1\" 2>>\"$2\"");
  char *const argv[] = {
    (char *) "/bin/sh", (char *) "-c", command, backend.program, config, log, NULL
  };
  g_autoptr (GError) error = NULL;
  if (!g_spawn_async (NULL, (char **) argv, NULL, G_SPAWN_DO_NOT_REAP_CHILD, kill_with_parent, NULL,
                      &process->pid, &error))
    g_error ("%s", error->message);
  process->alive = TRUE;
  process->paused = FALSE;
  process->starts++;
  g_child_watch_add (process->pid, process_ended, process);
}

void
sim_node_kill (guint i)
{
  Process *process = &backend.nodes[i];
  if (process->alive)
    kill (process->pid, SIGKILL);
  process->alive = process->paused = FALSE;
}

void
sim_node_pause (guint i, gboolean on)
{
  Process *process = &backend.nodes[i];
  if (process->alive && process->paused != on)
    kill (process->pid, on ? SIGSTOP : SIGCONT);
  process->paused = process->alive && on;
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

/* --- start and stop ------------------------------------------------------------------ */
void
backend_start (guint net, const char *program, const char *dir, guint32 seed,
               const SimOptions *options)
{
  backend.net = net;
  backend.program = g_strdup (program);
  backend.dir = g_strdup (dir);
  backend.started_at = g_get_monotonic_time ();
  backend.loop = g_main_loop_new (NULL, FALSE);
  backend.clients = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  backend.cancel = g_cancellable_new ();
  backend.timers = g_sequence_new (g_free);
  g_timeout_add (TIMER_INTERVAL_MS, run_timers, NULL);
  fakes_start (seed, options);
  for (guint i = 0; i < options->nodes; i++) {
    listen_on (sim_state_address (i), g_strdup_printf ("n%u", i), g_strdup ("state"));
    listen_on (sim_cloud_address (i), g_strdup_printf ("n%u", i), g_strdup ("cloud"));
    for (guint k = 0; k < options->nodes; k++)
      if (k != i)
        listen_on (sim_peer_address (i, k), g_strdup_printf ("n%u", i), g_strdup_printf ("n%u", k));
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
